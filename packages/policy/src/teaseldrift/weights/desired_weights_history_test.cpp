#include "teaseldrift/weights/desired_weights_history.hpp"

#include <catch2/catch.hpp>

namespace teaseldrift {

namespace {

constexpr Duration grace = 12s;
const Instant start(1000s);

} // namespace

TEST_CASE("older weights are allowed for the grace period after a change")
{
    DesiredWeightsHistory history;
    CHECK(history.add(2, start, ChangeTimeSource::Observed, start));
    CHECK(history.minVersion(start + 12s, grace) == 0);
    CHECK(history.minVersion(start + 13s, grace) == 2);
}

TEST_CASE("the earliest observation of a change counts, in any order")
{
    DesiredWeightsHistory history;
    const Instant learned = start + 4s;
    CHECK(history.add(2, learned, ChangeTimeSource::Observed, learned));
    CHECK(history.add(2, start, ChangeTimeSource::Observed, learned + 1s));
    CHECK_FALSE(history.add(2, start + 3s, ChangeTimeSource::Observed, learned + 2s));
    CHECK(history.changedAt(2) == start);
    CHECK(history.minVersion(start + 13s, grace) == 2);
}

TEST_CASE("an assumed age counts only until another source is available")
{
    DesiredWeightsHistory history;
    CHECK(history.add(2, start - 6s, ChangeTimeSource::Assumed, start));
    CHECK(history.minVersion(start + 7s, grace) == 2);
    CHECK(history.add(2, start - 1s, ChangeTimeSource::Recorded, start));
    CHECK(history.minVersion(start + 7s, grace) == 0);
    CHECK_FALSE(history.add(2, start - 6s, ChangeTimeSource::Assumed, start));
}

// A VM that learned last would otherwise give a VM that started before it more time.
TEST_CASE("no source moves a change past the time at which this VM learned of it")
{
    DesiredWeightsHistory history;
    history.add(3, start - 6s, ChangeTimeSource::Assumed, start);
    CHECK_FALSE(history.add(3, start + 5s, ChangeTimeSource::Observed, start + 5s));
    CHECK_FALSE(history.add(3, start + 5s, ChangeTimeSource::Recorded, start + 5s));
    CHECK(history.changedAt(3) == start - 6s);
}

TEST_CASE("a record with a wrong clock does not override an observation")
{
    DesiredWeightsHistory history;
    history.add(3, start, ChangeTimeSource::Observed, start);
    history.setPrevious(3, 0);
    CHECK_FALSE(history.add(3, start - 60s, ChangeTimeSource::Recorded, start));
    CHECK(history.minVersion(start + 5s, grace) == 0);
}

// A VM that was suspended during two changes reads only the newer one in the store, at its own
// time.
TEST_CASE("the grace period of a skipped version ends although a newer one was learned first")
{
    DesiredWeightsHistory history;
    const Instant learned = start + 10s;
    history.add(4, learned, ChangeTimeSource::Observed, learned);
    CHECK(history.add(3, start, ChangeTimeSource::Observed, learned));
    CHECK(history.minVersion(start + 13s, grace) == 3);
    CHECK(history.minVersion(start + 23s, grace) == 4);
}

TEST_CASE("recorded and assumed times are not passed on as observations")
{
    DesiredWeightsHistory history;
    history.add(2, start, ChangeTimeSource::Recorded, start);
    history.add(3, start, ChangeTimeSource::Assumed, start);
    history.add(4, start + 1s, ChangeTimeSource::Observed, start + 1s);
    history.add(4, start, ChangeTimeSource::Recorded, start + 1s);
    const std::vector<DesiredWeights> observed = history.observed();
    REQUIRE(observed.size() == 1);
    CHECK(observed[0].version == 4);
    CHECK(observed[0].changedAt == start + 1s);
}

TEST_CASE("dropping versions without effect keeps the oldest allowed one")
{
    DesiredWeightsHistory history;
    history.add(2, start, ChangeTimeSource::Observed, start);
    history.add(3, start + 1s, ChangeTimeSource::Observed, start + 1s);
    history.dropOlderThan(history.minVersion(start + 20s, grace));
    CHECK_FALSE(history.changedAt(2).has_value());
    CHECK(history.minVersion(start + 20s, grace) == 3);
}

TEST_CASE("a version that was not learned counts from the change before it")
{
    DesiredWeightsHistory history;
    history.add(2, start, ChangeTimeSource::Observed, start);
    history.add(5, start + 6s, ChangeTimeSource::Observed, start + 6s);
    CHECK(history.latestStart(2, grace) == start + grace);
    CHECK(history.latestStart(3, grace) == start + grace);
    CHECK(history.latestStart(4, grace) == start + 6s + grace);
    CHECK(history.minVersion(start + 13s, grace) == 4);
    history.setPrevious(5, 2);
    CHECK(history.latestStart(2, grace) == start + 6s + grace);
    CHECK(history.minVersion(start + 13s, grace) == 2);
}

TEST_CASE("without a known change before it, the version before the oldest known one is the oldest "
          "that is allowed")
{
    DesiredWeightsHistory history;
    history.add(5, start, ChangeTimeSource::Recorded, start);
    CHECK(history.minVersion(start, grace) == 4);
    CHECK(history.latestStart(4, grace) == start + grace);
    REQUIRE(history.latestStart(3, grace));
    CHECK(*history.latestStart(3, grace) < start);
}

TEST_CASE("a version of unknown time counts from the change before it, or as long past")
{
    DesiredWeightsHistory history;
    CHECK(history.add(4, start, ChangeTimeSource::Unknown, start));
    CHECK(history.minVersion(start, grace) == 4);
    CHECK(history.known().empty());
    history.add(3, start - 2s, ChangeTimeSource::Recorded, start);
    CHECK(history.latestStart(3, grace) == start - 2s + grace);
    CHECK(history.add(4, start - 1s, ChangeTimeSource::Observed, start));
    CHECK(history.latestStart(3, grace) == start - 1s + grace);
}

TEST_CASE("a version without effect is one that a VM observed to be superseded")
{
    DesiredWeightsHistory history;
    history.add(3, start, ChangeTimeSource::Recorded, start);
    CHECK(history.newestSettled(start + 60s, grace) == 0);
    history.add(4, start, ChangeTimeSource::Observed, start);
    CHECK(history.newestSettled(start + grace, grace) == 0);
    CHECK(history.newestSettled(start + 13s, grace) == 4);
}

TEST_CASE("the number of versions is bounded, and the oldest count as long past")
{
    DesiredWeightsHistory history;
    for (uint64_t version = 1; version <= 1000; ++version) {
        history.add(version, start, ChangeTimeSource::Observed, start);
    }
    CHECK(history.known().size() == 32);
    CHECK(history.minVersion(start, grace) == 968);
}

TEST_CASE("the first change to a newer version bounds the start on an older one")
{
    DesiredWeightsHistory history;
    history.add(2, start, ChangeTimeSource::Observed, start);
    CHECK(history.latestStart(1, grace) == start + grace);
    CHECK_FALSE(history.latestStart(2, grace));
    history.add(3, start + 3s, ChangeTimeSource::Observed, start + 3s);
    history.add(4, start + 6s, ChangeTimeSource::Observed, start + 6s);
    CHECK(history.latestStart(1, grace) == start + grace);
    CHECK(history.latestStart(2, grace) == start + 3s + grace);
    CHECK(history.latestStart(3, grace) == start + 6s + grace);
}

} // namespace teaseldrift
