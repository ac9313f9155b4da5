#include "teaseldrift/rollout/rollout_controller.hpp"

#include <catch2/catch.hpp>

namespace teaseldrift {

namespace {

constexpr uint64_t order = 4;
constexpr Instant orderedAt(100s);

/// Counters of one VM whose responses all succeed.
RolloutCounts countsAt(Duration time, uint64_t newPerSecond)
{
    const auto seconds = static_cast<uint64_t>(toSeconds(time));
    RolloutCounts counts{.order = order,
                         .vms = 1,
                         .requests = 200 * seconds,
                         .newRequests = newPerSecond * seconds,
                         .oldInFlight = 3};
    counts.responses[{.route = 9}] = {.responses = counts.requests - counts.newRequests};
    counts.responses[{.route = 9, .target = 1}] = {.responses = counts.newRequests};
    return counts;
}

/// Runs a rollout up to a time.
void runUntil(RolloutController &controller, Duration end, uint64_t newPerSecond,
              std::span<const uint32_t> targets)
{
    for (Duration time(0); time <= end; time += 100ms) {
        controller.update({.counts = countsAt(time, newPerSecond), .vms = 1, .newTargets = targets},
                          orderedAt + time);
    }
}

} // namespace

// Guards against a version that is completed because nothing is known against it.
TEST_CASE("a version without enough evidence is rolled back at the end", "[rollout]")
{
    const std::vector<uint32_t> targets{1, 2, 3, 4};
    RolloutController controller({}, order, orderedAt, 12s);
    runUntil(controller, 11700ms, 0, targets);
    CHECK(controller.decision().state == RolloutState::Running);
    CHECK(controller.decision().share <= 0.06);
    controller.update({.counts = countsAt(11700ms, 0), .vms = 1, .newTargets = targets},
                      orderedAt + 11800ms);
    CHECK(controller.decision().state == RolloutState::RolledBack);
}

// Guards against requests that are bound to a version whose targets have all stopped.
TEST_CASE("a version that loses its targets in the last step gets no requests", "[rollout]")
{
    const std::vector<uint32_t> targets{1, 2, 3, 4};
    RolloutController controller({}, order, orderedAt, 12s);
    runUntil(controller, 11600ms, 6, targets);
    REQUIRE(controller.decision().share == 1.0);
    controller.update({.counts = countsAt(11600ms, 6), .vms = 1}, orderedAt + 11650ms);
    CHECK(controller.decision().share == 0.0);
    CHECK_FALSE(controller.decision().fullFrom);
    controller.update({.counts = countsAt(11600ms, 6), .vms = 1}, orderedAt + 12s);
    CHECK(controller.decision().state == RolloutState::RolledBack);
}

// Guards against `completed` while a VM still sends requests to old targets.
TEST_CASE("a rollout is completed once no request is at an old target", "[rollout]")
{
    const std::vector<uint32_t> targets{1, 2, 3, 4};
    RolloutController controller({}, order, orderedAt, 12s);
    runUntil(controller, 11600ms, 6, targets);
    controller.announced(7, 5);
    RolloutCounts counts = countsAt(11600ms, 6);
    counts.oldInFlight = 0;
    counts.fencing = 7;
    counts.sequence = 4;
    const RolloutInput late{.counts = counts, .vms = 1, .newTargets = targets};
    CHECK(controller.update(late, orderedAt + 11610ms).state == RolloutState::Running);
    counts.sequence = 5;
    const RolloutInput missing{.counts = counts, .vms = 2, .newTargets = targets};
    CHECK(controller.update(missing, orderedAt + 11620ms).state == RolloutState::Running);
    const RolloutInput all{.counts = counts, .vms = 1, .newTargets = targets};
    CHECK(controller.update(all, orderedAt + 11630ms).state == RolloutState::Completed);
}

} // namespace teaseldrift
