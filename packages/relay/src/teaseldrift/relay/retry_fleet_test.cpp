#include "retry_fleet_simulation_test.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace teaseldrift::relay {

namespace {

using namespace retrysimulation;

constexpr int stepsPerSecond = 20;

constexpr Interval seconds(int from, int length)
{
    return {.from = from * stepsPerSecond, .length = length * stepsPerSecond};
}

void checkRule(const FleetSimulation &simulation)
{
    const std::optional<Excess> worst = simulation.worstExcess();
    if (worst) {
        INFO("window from step " << worst->from << " at " << worst->service);
        CHECK(worst->retries <= worst->allowed);
    }
    CHECK_FALSE(worst);
}

std::vector<Interval> genIntervals(int steps, int maxLength, int maxCount)
{
    std::vector<Interval> intervals(
            *rc::gen::inRange<size_t>(0, static_cast<size_t>(maxCount) + 1));
    for (Interval &interval : intervals) {
        interval = {.from = *rc::gen::inRange(0, steps),
                    .length = *rc::gen::inRange(1, maxLength + 1)};
    }
    return intervals;
}

/// Restarts of single VMs and of all at once, several of them within one window.
void addOutages(Scenario &scenario)
{
    constexpr int spread = 300;
    constexpr int maxRestarts = 6;
    const int base = *rc::gen::inRange(0, scenario.steps);
    const int restarts = *rc::gen::inRange(0, maxRestarts + 1);
    for (int i = 0; i < restarts; ++i) {
        const Interval interval{.from = base + *rc::gen::inRange(0, spread),
                                .length = *rc::gen::element(4, 10, 40, 200)};
        const bool isHerd = *rc::gen::arbitrary<bool>();
        const size_t first = *rc::gen::inRange<size_t>(0, scenario.vms);
        for (size_t vm = 0; vm < (isHerd ? scenario.vms : 1); ++vm) {
            scenario.outages.push_back({.vm = first + vm, .interval = interval});
        }
    }
}

} // namespace

// Retries that the requests for other services had earned were spent at a small service.
TEST_CASE("retries at a small service stay within its own requests' budget")
{
    FleetSimulation simulation(
            {.services
             = {{.name = "engines", .requestsPerSecond = 75.6, .streams = true},
                {.name = "returns", .requestsPerSecond = 26.5, .failures = {seconds(20, 25)}}}});
    simulation.run();
    checkRule(simulation);
}

// Each start gave a VM new tokens, so that a series of restarts added up within one window.
TEST_CASE("restarted VMs bring no new retries")
{
    Scenario scenario{
            .services
            = {{.name = "returns", .requestsPerSecond = 26.5, .failures = {seconds(20, 25)}}}};
    for (const int at : {22, 24, 26, 28, 30}) {
        for (size_t vm = 0; vm < scenario.vms; ++vm) {
            scenario.outages.push_back({.vm = vm, .interval = seconds(at, 1)});
        }
    }
    FleetSimulation simulation(scenario);
    simulation.run();
    checkRule(simulation);
}

// While VM records were missing, each VM took most of the fleet's reserve for streams.
TEST_CASE("missing VM records do not raise the retries of streams")
{
    FleetSimulation simulation({.services = {{.name = "engines",
                                              .requestsPerSecond = 20.0,
                                              .streams = true,
                                              .failures = {seconds(20, 25)}}},
                                .recordsLost = {{.from = 22 * stepsPerSecond, .length = 30}}});
    simulation.run();
    checkRule(simulation);
}

// VMs that had not read the list of VMs since their start assumed a fleet of three.
TEST_CASE("VMs that start while the store is down stay within the rule")
{
    Scenario scenario{
            .services
            = {{.name = "returns", .requestsPerSecond = 26.5, .failures = {seconds(40, 15)}}},
            .storeDown = {seconds(21, 39)}};
    for (size_t vm = 0; vm < scenario.vms; ++vm) {
        scenario.outages.push_back({.vm = vm, .interval = seconds(22, 1)});
    }
    FleetSimulation simulation(scenario);
    simulation.run();
    checkRule(simulation);
}

// Each VM kept a whole token, however small its part of the slack was.
TEST_CASE("the retries of many VMs stay within a small slack")
{
    FleetSimulation simulation({.vms = 120,
                                .slack = 40.0,
                                .services = {{.name = "returns",
                                              .requestsPerSecond = 60.0,
                                              .failures = {seconds(45, 15)},
                                              .calmFraction = 0.2,
                                              .busy = {seconds(0, 30)}}}});
    simulation.run();
    checkRule(simulation);
}

TEST_CASE("retries at each service stay within the rule in every window")
{
    CHECK(rc::check([] {
        constexpr int maxLostRecords = 30;
        Scenario scenario{.vms = *rc::gen::inRange<size_t>(2, 13),
                          .slack = *rc::gen::inRange(40, 181) * 1.0,
                          .steps = 1000,
                          .recordsLost = genIntervals(1000, maxLostRecords, 2),
                          .storeDown = genIntervals(1000, 400, 2),
                          .seed = *rc::gen::arbitrary<uint32_t>()};
        const size_t services = *rc::gen::inRange<size_t>(1, 4);
        for (size_t i = 0; i < services; ++i) {
            scenario.services.push_back({.name = "service-" + std::to_string(i),
                                         .requestsPerSecond = *rc::gen::element(4.0, 25.0, 120.0),
                                         .streams = *rc::gen::arbitrary<bool>(),
                                         .failures = genIntervals(1000, 600, 3),
                                         .calmFraction = *rc::gen::element(0.05, 0.5, 1.0),
                                         .busy = genIntervals(1000, 400, 3)});
        }
        addOutages(scenario);
        FleetSimulation simulation(scenario);
        simulation.run();
        const std::optional<Excess> worst = simulation.worstExcess();
        if (worst) {
            RC_LOG() << scenario.vms << " VMs, slack " << scenario.slack << ", " << worst->service
                     << " from step " << worst->from << ": " << worst->retries << " retries, "
                     << worst->allowed << " allowed";
        }
        RC_ASSERT(!worst);
    }));
}

} // namespace teaseldrift::relay
