/// Rollouts of good and bad versions in fleets of several sizes, judged by what the targets see.

#include <catch2/catch.hpp>

#include "rollout_simulation_test.hpp"

namespace teaseldrift {

namespace {

using Request = RolloutSimulation::Request;
using Result = RolloutSimulation::Result;
using Options = RolloutSimulation::Options;

struct Fleet
{
    size_t vms = 0;
    double requestsPerSecond = 0.0;
};

Options optionsOf(const Fleet &fleet, uint64_t seed)
{
    return {.vms = fleet.vms, .requestsPerSecond = fleet.requestsPerSecond, .seed = seed};
}

Fleet anyFleet()
{
    return GENERATE(Fleet{7, 210.0}, Fleet{63, 567.0}, Fleet{195, 1755.0});
}

Result run(const Options &options)
{
    return RolloutSimulation(options).run();
}

void requireBoundsHold(const Result &result)
{
    CHECK(result.excess() <= 0.0);
    CHECK(result.isStoppedInTime());
}

void requireRolledBack(const Options &options)
{
    const Result result = run(options);
    CAPTURE(options.vms, options.seed, result.reason, result.newRequests, result.requests);
    CHECK(result.state == RolloutState::RolledBack);
    requireBoundsHold(result);
}

void requireCompleted(const Options &options)
{
    const Result result = run(options);
    CAPTURE(options.vms, options.seed, result.reason, result.newRequests, result.requests);
    CHECK(result.state == RolloutState::Completed);
    CHECK(result.endedAt <= options.duration);
}

} // namespace

// Guards against a good version that is rolled back, or completed late, because messages are lost
// and VMs are suspended or restarted.
TEST_CASE("a good version is completed in time", "[rollout]")
{
    const Fleet fleet = anyFleet();
    for (uint64_t seed = 1; seed <= 8; ++seed) {
        requireCompleted(optionsOf(fleet, seed));
    }
}

// Guards against a new leader that forgets a rollout or starts it again.
TEST_CASE("a good version is completed by the next leader", "[rollout]")
{
    Options options = optionsOf(anyFleet(), 3);
    options.leaderLostAt = 4s;
    requireCompleted(options);
}

// Guards against load that is taken for a fault of the new version.
TEST_CASE("a good version is completed despite a load burst", "[rollout]")
{
    const Fleet fleet = anyFleet();
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        Options options = optionsOf(fleet, seed);
        const auto isBurst = [](Duration time) { return time > 4s && time < 7s; };
        options.load = [isBurst](Duration time) { return isBurst(time) ? 2.0 : 1.0; };
        options.timeFactor
                = [isBurst](const Request &request) { return isBurst(request.sentAt) ? 2.6 : 1.0; };
        requireCompleted(options);
    }
}

// Guards against one faulty target that is taken for a fault of its version. In doubt a version is
// rolled back: single failures of other targets at the start of the last step may cause that once.
TEST_CASE("a good version is completed despite a single bad target", "[rollout]")
{
    const Fleet fleet = anyFleet();
    const bool isSlow = GENERATE(false, true);
    size_t completed = 0;
    for (uint64_t target = 0; target < 12; ++target) {
        Options options = optionsOf(fleet, target + 1);
        const auto isBad = [target](const Request &request) {
            return request.isNew && request.target == target;
        };
        if (isSlow) {
            options.timeFactor
                    = [isBad](const Request &request) { return isBad(request) ? 4.0 : 1.0; };
        } else {
            options.failureRate
                    = [isBad](const Request &request) { return isBad(request) ? 0.8 : 0.003; };
        }
        const Result result = run(options);
        completed += result.state == RolloutState::Completed && result.endedAt <= options.duration
                             ? 1
                             : 0;
    }
    CHECK(completed == 12);
}

// Guards against a version that fails from the start and gets more than the canary's share.
TEST_CASE("a version that fails at once is rolled back", "[rollout]")
{
    const Fleet fleet = anyFleet();
    const double rate = GENERATE(0.2, 0.5, 1.0);
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        Options options = optionsOf(fleet, seed);
        options.failureRate
                = [rate](const Request &request) { return request.isNew ? rate : 0.003; };
        requireRolledBack(options);
    }
}

// Guards against a long good record that hides a fault, and against one that begins after the
// canary.
TEST_CASE("a version that fails late stays within the bounds", "[rollout]")
{
    const Fleet fleet = anyFleet();
    const Duration badFrom
            = GENERATE(Duration(5s), Duration(9s), Duration(10500ms), Duration(11500ms));
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        Options options = optionsOf(fleet, seed);
        options.failureRate = [badFrom](const Request &request) {
            return request.isNew && request.sentAt >= badFrom ? 0.5 : 0.003;
        };
        if (badFrom <= 10s) {
            requireRolledBack(options);
        } else {
            requireBoundsHold(run(options));
        }
    }
}

// Guards against a fault of one route that the other routes' responses hide.
TEST_CASE("a version that fails on a route with a tenth of the traffic is rolled back", "[rollout]")
{
    const Fleet fleet = anyFleet();
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        Options options = optionsOf(fleet, seed);
        options.failureRate = [](const Request &request) {
            return request.isNew && request.route == 2 ? 0.5 : 0.003;
        };
        requireRolledBack(options);
    }
}

// Guards against a fault that the canary cannot show because it has little load.
TEST_CASE("a version that fails under full load is rolled back", "[rollout]")
{
    const Fleet fleet = anyFleet();
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        Options options = optionsOf(fleet, seed);
        options.failureRate = [](const Request &request) {
            return request.isNew && request.isFullLoad ? 0.4 : 0.003;
        };
        requireRolledBack(options);
    }
}

// Guards against a version whose responses all succeed but take several times longer.
TEST_CASE("a version that is slow is rolled back", "[rollout]")
{
    const Fleet fleet = anyFleet();
    const double factor = GENERATE(3.0, 5.0);
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        Options options = optionsOf(fleet, seed);
        options.timeFactor
                = [factor](const Request &request) { return request.isNew ? factor : 1.0; };
        requireRolledBack(options);
    }
}

} // namespace teaseldrift
