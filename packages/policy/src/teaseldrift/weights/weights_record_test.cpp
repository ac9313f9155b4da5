#include "teaseldrift/weights/weights_record.hpp"

#include <algorithm>
#include <chrono>
#include <limits>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "teaseldrift/weights/desired_weights_history.hpp"

namespace teaseldrift {

namespace {

constexpr int64_t nowMs = 1'700'000'000'000;
constexpr int64_t allSettledMs = 0;

schema::WeightsNaming recordOf(std::span<const RecordedWeightsChange> changes)
{
    return mergeChanges({}, "m", changes, allSettledMs).value_or(schema::WeightsNaming());
}

RecordedWeightsChange change(uint64_t version, int64_t ageMs)
{
    return {.version = version, .changedAtUnixMs = nowMs - ageMs};
}

} // namespace

TEST_CASE("a record holds the newest version where earlier programs look for it")
{
    const schema::WeightsNaming record = recordOf(std::vector{change(4, 10), change(3, 4000)});
    CHECK(record.model() == "m");
    CHECK(record.version() == 4);
    CHECK(record.named_at_unix_ms() == nowMs - 10);
    const std::vector<RecordedWeightsChange> changes = changesOf(record);
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].version == 3);
}

// A write that is carried out late, or by a VM that learned late, must give no version more time.
TEST_CASE("the earliest time of each version counts, in whatever order the record is written")
{
    const schema::WeightsNaming record = recordOf(std::vector{change(3, 4000), change(4, 2000)});
    CHECK_FALSE(mergeChanges(record, "m", std::vector{change(3, 100), change(4, 100)}, 0));
    CHECK_FALSE(mergeChanges(record, "m", std::vector{change(2, 9000)}, nowMs - 3000));
    const std::optional<schema::WeightsNaming> earlier
            = mergeChanges(record, "m", std::vector{change(3, 6000)}, 0);
    REQUIRE(earlier);
    CHECK(earlier->version() == 4);
    CHECK(changesOf(*earlier).front().changedAtUnixMs == nowMs - 6000);
}

TEST_CASE("an assumed time is recorded only if there is no other")
{
    const schema::WeightsNaming record = recordOf(std::vector{change(3, 4000)});
    RecordedWeightsChange assumed = change(3, 9000);
    assumed.isAssumed = true;
    CHECK_FALSE(mergeChanges(record, "m", std::vector{assumed}, 0));
    assumed.version = 4;
    CHECK(mergeChanges(record, "m", std::vector{assumed}, 0));
}

TEST_CASE("a record that says the same is not written again")
{
    const schema::WeightsNaming record = recordOf(std::vector{change(3, 4000), change(4, 2000)});
    CHECK_FALSE(mergeChanges(record, "m", std::vector{change(3, 4100), change(4, 1900)}, 0));
    CHECK_FALSE(mergeChanges({}, "m", {}, 0));
}

TEST_CASE("changes without effect are dropped, and the record is bounded")
{
    const std::optional<schema::WeightsNaming> dropped = mergeChanges(
            recordOf(std::vector{change(2, 60000), change(3, 50000), change(4, 2000)}), "m",
            std::vector{change(5, 0)}, nowMs - 24000);
    REQUIRE(dropped);
    const std::vector<RecordedWeightsChange> left = changesOf(*dropped);
    REQUIRE(left.size() == 3);
    CHECK(left.front().version == 3);
    std::vector<RecordedWeightsChange> many;
    for (uint64_t version = 1; version <= 1000; ++version) {
        many.push_back(change(version, 0));
    }
    CHECK(changesOf(recordOf(many)).size() == 32);
    CHECK(recordOf(many).ByteSizeLong() < 1000);
}

TEST_CASE("times of any value in a record are bounded")
{
    schema::WeightsNaming odd;
    odd.set_version(3);
    odd.set_named_at_unix_ms(std::numeric_limits<int64_t>::max());
    odd.add_earlier()->set_named_at_unix_ms(std::numeric_limits<int64_t>::min());
    const std::optional<schema::WeightsNaming> merged
            = mergeChanges(odd, "m", std::vector{change(3, 0)}, 0);
    REQUIRE(merged);
    CHECK(merged->named_at_unix_ms() == nowMs);
}

// Each naming is recorded or not; then all VMs fail and know only what the store holds.
TEST_CASE("versions after a restart: none is used longer than its successor's change allows")
{
    using std::chrono::milliseconds;
    REQUIRE(rc::check("versions named in quick succession, then all VMs restart", [] {
        constexpr Duration grace = 12s;
        const Instant epoch(1000s);
        const int64_t epochMs = nowMs;
        std::vector<int64_t> namedAtMs{0};
        schema::WeightsNaming record;
        DesiredWeightsHistory running;
        const uint64_t versions = *rc::gen::inRange<uint64_t>(2, 7);
        for (uint64_t version = 2; version <= versions; ++version) {
            const int64_t atMs = namedAtMs.back() + *rc::gen::inRange<int64_t>(1000, 6000);
            namedAtMs.push_back(atMs);
            const Instant at = epoch + milliseconds(atMs);
            running.add(version, at, ChangeTimeSource::Observed, at);
            if (*rc::gen::inRange(0, 3) == 0) {
                continue;
            }
            const bool isOldProgram = *rc::gen::inRange(0, 4) == 0;
            std::vector<RecordedWeightsChange> known;
            for (const DesiredWeights &change : running.known()) {
                if (!isOldProgram || change.version == version) {
                    known.push_back(
                            {.version = change.version,
                             .changedAtUnixMs = epochMs + (change.changedAt - epoch) / 1ms});
                }
            }
            record = mergeChanges(isOldProgram ? schema::WeightsNaming() : record, "m", known,
                                  epochMs + atMs - 24000)
                             .value_or(record);
        }
        const int64_t restartMs = namedAtMs.back() + *rc::gen::inRange<int64_t>(0, 15000);
        const Instant restart = epoch + milliseconds(restartMs);
        DesiredWeightsHistory restarted;
        restarted.add(versions, restart, ChangeTimeSource::Unknown, restart);
        for (const RecordedWeightsChange &change : changesOf(record)) {
            restarted.add(change.version, epoch + milliseconds(change.changedAtUnixMs - epochMs),
                          ChangeTimeSource::Recorded, restart);
        }
        for (int64_t afterMs = 0; afterMs < 30000; afterMs += 100) {
            const Instant now = restart + milliseconds(afterMs);
            const uint64_t least = std::max<uint64_t>(1, restarted.minVersion(now, grace));
            // The first version is superseded by the second one, whose time is namedAtMs[1].
            RC_ASSERT(least == versions || now <= epoch + milliseconds(namedAtMs[least]) + grace);
            const std::optional<Instant> latest = restarted.latestStart(least, grace);
            RC_ASSERT(least == versions
                      || (latest && *latest <= epoch + milliseconds(namedAtMs[least]) + grace));
        }
    }));
}

} // namespace teaseldrift
