#include "teaseldrift/weights/weight_rollout.hpp"

#include <array>

#include <catch2/catch.hpp>

#include "teaseldrift/targets/peer_load_tracker.hpp"

namespace teaseldrift {

namespace {

const Instant start(100s);

std::vector<WeightTarget> eightTargets(std::array<uint64_t, 8> versions)
{
    static const std::array<std::string, 8> ids{"a", "b", "c", "d", "e", "f", "g", "h"};
    std::vector<WeightTarget> targets;
    for (size_t i = 0; i < ids.size(); ++i) {
        targets.push_back({.id = ids[i], .version = versions[i], .startedAtMs = 1});
    }
    return targets;
}

using Ids = std::vector<std::string>;

} // namespace

TEST_CASE("a quarter of the targets load at once, and others follow as these finish")
{
    WeightRollout rollout;
    CHECK(rollout.setDesiredVersion("m", 2));
    const std::vector<WeightTarget> targets = eightTargets({1, 1, 1, 1, 1, 1, 1, 1});
    CHECK(rollout.dueTargets("m", targets, start) == Ids{"a", "b"});
    CHECK(rollout.dueTargets("m", targets, start).empty());
    rollout.orderEnded("m", "a", WeightOrderOutcome::Accepted, start);
    CHECK(rollout.dueTargets("m", targets, start).empty());
    rollout.orderEnded("m", "b", WeightOrderOutcome::AlreadyLoaded, start);
    const std::vector<WeightTarget> later = eightTargets({1, 2, 1, 1, 1, 1, 1, 1});
    CHECK(rollout.dueTargets("m", later, start) == Ids{"c"});
}

TEST_CASE("targets with the oldest weights load first when versions follow each other quickly")
{
    WeightRollout rollout;
    rollout.setDesiredVersion("m", 3);
    CHECK(rollout.dueTargets("m", eightTargets({2, 2, 2, 2, 1, 2, 1, 2}), start) == Ids{"e", "g"});
}

TEST_CASE("a version that is not newer than the desired one is ignored")
{
    WeightRollout rollout;
    CHECK(rollout.setDesiredVersion("m", 3));
    CHECK_FALSE(rollout.setDesiredVersion("m", 2));
    CHECK_FALSE(rollout.setDesiredVersion("m", 3));
    CHECK(rollout.desiredVersion("m") == 3);
}

TEST_CASE("a target is queried again after a delay when an order was not answered")
{
    WeightRollout rollout;
    rollout.setDesiredVersion("m", 2);
    const std::vector<WeightTarget> targets = eightTargets({1, 2, 2, 2, 2, 2, 2, 2});
    CHECK(rollout.dueTargets("m", targets, start) == Ids{"a"});
    rollout.orderEnded("m", "a", WeightOrderOutcome::Unknown, start);
    CHECK(rollout.dueTargets("m", targets, start + 100ms).empty());
    CHECK(rollout.dueTargets("m", targets, start + 1s) == Ids{"a"});
}

TEST_CASE("a loading target is queried again, and a restart discards its progress")
{
    WeightRollout rollout;
    rollout.setDesiredVersion("m", 2);
    std::vector<WeightTarget> targets = eightTargets({1, 1, 1, 2, 2, 2, 2, 2});
    CHECK(rollout.dueTargets("m", targets, start) == Ids{"a", "b"});
    rollout.orderEnded("m", "a", WeightOrderOutcome::Accepted, start);
    rollout.orderEnded("m", "b", WeightOrderOutcome::Accepted, start);
    CHECK(rollout.dueTargets("m", targets, start + 300ms) == Ids{"a", "b"});
    rollout.orderEnded("m", "a", WeightOrderOutcome::Busy, start + 300ms);
    rollout.orderEnded("m", "b", WeightOrderOutcome::Busy, start + 300ms);
    targets[0].startedAtMs = 2;
    CHECK(rollout.dueTargets("m", targets, start + 310ms) == Ids{"a"});
}

TEST_CASE("a small service loads one target at a time")
{
    CHECK(maxConcurrentLoads(1) == 1);
    CHECK(maxConcurrentLoads(3) == 1);
    CHECK(maxConcurrentLoads(18) == 4);
}

TEST_CASE("targets with the fewest requests load first, and the order does not change later")
{
    WeightRollout rollout;
    rollout.setDesiredVersion("m", 2);
    std::vector<WeightTarget> targets = eightTargets({1, 1, 1, 1, 1, 1, 1, 1});
    for (WeightTarget &target : targets) {
        target.requests = 9;
    }
    targets[6].requests = 0;
    targets[3].requests = 1;
    CHECK(rollout.dueTargets("m", targets, start) == Ids{"g", "d"});
    targets[7].requests = 0;
    rollout.orderEnded("m", "g", WeightOrderOutcome::AlreadyLoaded, start);
    targets[6].version = 2;
    CHECK(rollout.dueTargets("m", targets, start) == Ids{"a"});
}

TEST_CASE("load pattern, new version during a load: a loaded target waits behind older ones")
{
    WeightRollout rollout;
    rollout.setDesiredVersion("m", 2);
    std::vector<WeightTarget> targets = eightTargets({1, 1, 1, 1, 1, 1, 1, 1});
    REQUIRE(rollout.dueTargets("m", targets, start) == Ids{"a", "b"});
    rollout.orderEnded("m", "a", WeightOrderOutcome::Accepted, start);
    rollout.orderEnded("m", "b", WeightOrderOutcome::Accepted, start);
    CHECK_FALSE(rollout.wasOrdered("m", "a", 1));
    CHECK(rollout.wasOrdered("m", "a", 2));
    CHECK_FALSE(rollout.wasOrdered("m", "c", 2));
    rollout.setDesiredVersion("m", 3);
    // Both are queried for version 3 while they load version 2; "a" has loaded it.
    REQUIRE(rollout.dueTargets("m", targets, start + 1s) == Ids{"a", "b"});
    CHECK(rollout.wasOrdered("m", "a", 2));
    rollout.orderEnded("m", "a", WeightOrderOutcome::OlderVersionLoaded, start + 1s);
    rollout.orderEnded("m", "b", WeightOrderOutcome::Busy, start + 1s);
    targets[0].version = 2;
    CHECK(rollout.dueTargets("m", targets, start + 1s) == Ids{"c"});
}

TEST_CASE("the plan lists loading targets, waiting targets in order, and loaded targets")
{
    WeightRollout rollout;
    rollout.setDesiredVersion("m", 2);
    const std::vector<WeightTarget> targets = eightTargets({1, 1, 2, 1, 1, 1, 1, 1});
    REQUIRE(rollout.dueTargets("m", targets, start) == Ids{"a", "b"});
    rollout.orderEnded("m", "a", WeightOrderOutcome::Accepted, start);
    const RolloutPlan plan = rollout.plan("m", targets);
    CHECK(plan.version == 2);
    CHECK(plan.batchSize == 2);
    CHECK(plan.loading == std::vector<uint32_t>{targetKeyOf("a")});
    REQUIRE(plan.waiting.size() == 6);
    // A target whose order has not been answered counts as waiting.
    CHECK(plan.waiting[0] == targetKeyOf("b"));
    CHECK(plan.waiting[1] == targetKeyOf("d"));
    CHECK(plan.loaded == std::vector<uint32_t>{targetKeyOf("c")});
}

TEST_CASE("a target that has asked to be sent nothing gets no report request until it returns")
{
    WeightRollout rollout;
    rollout.setDesiredVersion("m", 2);
    std::vector<WeightTarget> targets{{.id = "a", .version = 1, .isQuiet = true},
                                      {.id = "b", .version = 2}};
    CHECK(rollout.dueTargets("m", targets, Instant(100s)).empty());
    targets.front().isQuiet = false;
    CHECK(rollout.dueTargets("m", targets, Instant(101s)) == std::vector<std::string>{"a"});
}

} // namespace teaseldrift
