#include <catch2/catch.hpp>

#include "fleet_simulation_test.hpp"

namespace teaseldrift::allowance {

using simulation::FleetSimulation;

// The restarted member learned an older record, in which it is no member, and asked nobody again.
TEST_CASE("allowance: share lent to a member that restarts with an outdated record is not lost")
{
    for (const bool clocksStop : {false, true}) {
        FleetSimulation fleet(3, clocksStop);
        fleet.run(8s);
        fleet.delayCopies(3);
        fleet.replaceElsewhere(0);
        fleet.run(100ms);
        fleet.replaceElsewhere(0);
        fleet.drain(1);
        fleet.refreshList(0, 0);
        fleet.run(2025ms);
        fleet.replace(1);
        for (int message = 0; message < 3; ++message) {
            fleet.deliverDelayed(0);
        }
        CHECK(fleet.violation().empty());
        fleet.heal();
        CHECK(fleet.canAdmitBurst());
        CHECK(fleet.violation().empty());
    }
}

// Members without demand wrote nothing to the predecessor, so nothing told the new process.
TEST_CASE("allowance: a member that restarts with an outdated record is found without demand")
{
    FleetSimulation fleet(3, false);
    fleet.run(8s);
    fleet.delayCopies(3);
    fleet.replaceElsewhere(0);
    fleet.run(100ms);
    fleet.refreshAll();
    fleet.run(10s);
    REQUIRE(fleet.state("vm-6").isActive);
    REQUIRE(fleet.shares() == wholeShare);
    // A VM that leaves is no home, so it does not read the store.
    fleet.drain(2);
    fleet.refreshAll();
    fleet.run(3s);
    for (size_t vm = 0; vm < 3; ++vm) {
        fleet.admit(vm, fleet.limits.burst / 4);
    }
    fleet.run(20s);
    fleet.replace(2);
    // The third copy is the notice of the first record.
    fleet.deliverDelayed(2);
    REQUIRE(fleet.state("vm-6").record.epoch() == 1);
    fleet.run(FleetSimulation::recoveryTime);
    CHECK(fleet.state("vm-6").isActive);
    CHECK(fleet.shares() == wholeShare);
    CHECK(fleet.violation().empty());
}

// All buckets of a new organisation started empty, so its first requests were refused.
TEST_CASE("allowance: the first request of a new organisation is admitted on any VM")
{
    for (size_t vm = 0; vm < 3; ++vm) {
        FleetSimulation fleet(3, false);
        while (fleet.shares() < wholeShare) {
            fleet.run(10ms);
        }
        fleet.admit(vm, fleet.limits.burst / 4);
        fleet.run(50ms);
        CHECK(fleet.admissions() == 1);
        CHECK(fleet.violation().empty());
    }
}

} // namespace teaseldrift::allowance
