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
    CHECK(history.add(2, start, ChangeTimeSource::Observed));
    CHECK(history.minVersion(start + 12s, grace) == 0);
    CHECK(history.minVersion(start + 13s, grace) == 2);
}

TEST_CASE("the earliest observation or record of a change counts, in any order")
{
    DesiredWeightsHistory history;
    CHECK(history.add(2, start + 4s, ChangeTimeSource::Observed));
    CHECK(history.add(2, start + 1s, ChangeTimeSource::Recorded));
    CHECK(history.minVersion(start + 14s, grace) == 2);
    CHECK(history.add(2, start, ChangeTimeSource::Observed));
    CHECK_FALSE(history.add(2, start + 5s, ChangeTimeSource::Observed));
    CHECK_FALSE(history.add(2, start + 5s, ChangeTimeSource::Recorded));
    CHECK(history.changedAt(2) == start);
}

TEST_CASE("an assumed age counts only until another source is available")
{
    DesiredWeightsHistory history;
    CHECK(history.add(2, start - 6s, ChangeTimeSource::Assumed));
    CHECK(history.minVersion(start + 7s, grace) == 2);
    CHECK(history.add(2, start, ChangeTimeSource::Recorded));
    CHECK(history.minVersion(start + 7s, grace) == 0);
    CHECK_FALSE(history.add(2, start - 6s, ChangeTimeSource::Assumed));
}

// A VM that was suspended during two changes reads only the newer one in the store, at its own
// time.
TEST_CASE("the grace period of a skipped version ends although a newer one was learned first")
{
    DesiredWeightsHistory history;
    history.add(4, start + 10s, ChangeTimeSource::Observed);
    CHECK(history.add(3, start, ChangeTimeSource::Observed));
    CHECK(history.minVersion(start + 13s, grace) == 3);
    CHECK(history.minVersion(start + 23s, grace) == 4);
}

TEST_CASE("recorded and assumed times are not passed on as observations")
{
    DesiredWeightsHistory history;
    history.add(2, start, ChangeTimeSource::Recorded);
    history.add(3, start, ChangeTimeSource::Assumed);
    history.add(4, start + 1s, ChangeTimeSource::Observed);
    history.add(4, start, ChangeTimeSource::Recorded);
    const std::vector<DesiredWeights> observed = history.observed();
    REQUIRE(observed.size() == 1);
    CHECK(observed[0].version == 4);
    CHECK(observed[0].changedAt == start + 1s);
}

TEST_CASE("dropping versions without effect keeps the oldest allowed one")
{
    DesiredWeightsHistory history;
    history.add(2, start, ChangeTimeSource::Observed);
    history.add(3, start + 1s, ChangeTimeSource::Observed);
    history.dropOlderThan(history.minVersion(start + 20s, grace));
    CHECK_FALSE(history.changedAt(2).has_value());
    CHECK(history.minVersion(start + 20s, grace) == 3);
}

} // namespace teaseldrift
