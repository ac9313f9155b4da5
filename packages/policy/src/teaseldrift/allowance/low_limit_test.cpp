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

/// Admissions in each of some seconds, while the VMs `busy` request `requestsPerSecond` together.
std::vector<size_t> admissionsBySecond(FleetSimulation &fleet, const std::vector<size_t> &busy,
                                       size_t requestsPerSecond, size_t seconds)
{
    std::vector<size_t> bySecond;
    for (size_t second = 0; second < seconds; ++second) {
        const size_t before = fleet.admissions();
        for (size_t i = 0; i < requestsPerSecond; ++i) {
            fleet.admit(busy[i % busy.size()], microTokensPerToken);
            fleet.run(Duration(1s) / static_cast<int64_t>(requestsPerSecond));
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
    const std::vector<size_t> bySecond = admissionsBySecond(fleet, busy, 20, 20);
    CAPTURE(vms, busyVms, bySecond);
    CHECK(fleet.violation().empty());
    // One and a half times the limit, and five requests
    CHECK(mostInFourSeconds(bySecond) <= 17);
    CHECK(total(bySecond) >= 36);
}

} // namespace teaseldrift::allowance
