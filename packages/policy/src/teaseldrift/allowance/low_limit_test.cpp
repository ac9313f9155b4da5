/// A limit of a few requests a second, as targets name them, divided over the VMs.

#include <algorithm>
#include <numeric>
#include <vector>

#include <catch2/catch.hpp>

#include "fleet_simulation_test.hpp"

namespace teaseldrift::allowance {

using simulation::FleetSimulation;

namespace {

constexpr double perSecond = 2.0;
constexpr double burst = 2.0;
constexpr size_t requestsPerSecond = 20;

/// Admissions in each of some seconds, while the VMs `busy` request `perBusySecond` together.
std::vector<size_t> admissionsBySecond(FleetSimulation &fleet, const std::vector<size_t> &busy,
                                       size_t perBusySecond, size_t seconds)
{
    std::vector<size_t> bySecond;
    for (size_t second = 0; second < seconds; ++second) {
        const size_t before = fleet.admissions();
        for (size_t i = 0; i < perBusySecond; ++i) {
            fleet.admit(busy[i % busy.size()], microTokensPerToken);
            fleet.run(Duration(1s) / static_cast<int64_t>(perBusySecond));
        }
        bySecond.push_back(fleet.admissions() - before);
    }
    return bySecond;
}

size_t mostInFourSeconds(const std::vector<size_t> &bySecond)
{
    size_t most = 0;
    for (size_t i = 0; i + 4 <= bySecond.size(); ++i) {
        most = std::max(most, bySecond[i] + bySecond[i + 1] + bySecond[i + 2] + bySecond[i + 3]);
    }
    return most;
}

size_t total(const std::vector<size_t> &bySecond)
{
    return std::accumulate(bySecond.begin(), bySecond.end(), size_t{0});
}

} // namespace

// Guards against a limit of a target that is exceeded by all VMs together, and against one that is
// left unused because each VM's part is less than a request (LIMIT).
TEST_CASE("allowance: a limit of 2 requests a second is kept and used up by few or many busy VMs")
{
    const size_t vms = GENERATE(size_t{7}, size_t{195});
    const size_t busyVms = GENERATE(size_t{1}, size_t{3}, size_t{7});
    FleetSimulation fleet(vms, false);
    fleet.setLimits(limitsFromTokens(perSecond, burst));
    fleet.run(10s);
    std::vector<size_t> busy;
    for (size_t i = 0; i < busyVms; ++i) {
        busy.push_back(i * vms / busyVms);
    }
    const std::vector<size_t> bySecond = admissionsBySecond(fleet, busy, requestsPerSecond, 20);
    CAPTURE(vms, busyVms, bySecond);
    CHECK(fleet.violation().empty());
    // One and a half times the limit, and five requests
    CHECK(mostInFourSeconds(bySecond) <= 17);
    CHECK(total(bySecond) >= 36);
}

// Guards against VMs that give their part to one that does not respond, and are refused for lack of
// it.
TEST_CASE("allowance: while one of three VMs is paused the others use their parts of a low limit")
{
    constexpr size_t vms = 3;
    constexpr size_t seconds = 6;
    constexpr size_t phases = 40;
    size_t least = seconds * requestsPerSecond;
    size_t all = 0;
    for (size_t phase = 0; phase < phases; ++phase) {
        FleetSimulation fleet(vms, false);
        fleet.setLimits(limitsFromTokens(perSecond, burst + perSecond / 2));
        fleet.run(10s);
        admissionsBySecond(fleet, {0, 1, 2}, requestsPerSecond, 3);
        for (size_t i = 0; i < phase; ++i) {
            fleet.admit(i % vms, microTokensPerToken);
            fleet.run(Duration(1s) / static_cast<int64_t>(requestsPerSecond));
        }
        fleet.pause(2);
        const size_t admitted
                = total(admissionsBySecond(fleet, {0, 1}, requestsPerSecond, seconds));
        CHECK(fleet.violation().empty());
        least = std::min(least, admitted);
        all += admitted;
    }
    CAPTURE(least, all);
    // Two thirds of the limit are theirs.
    CHECK(least >= 7);
    CHECK(all >= 8 * phases);
}

} // namespace teaseldrift::allowance
