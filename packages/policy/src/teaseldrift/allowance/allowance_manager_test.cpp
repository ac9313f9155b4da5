#include "teaseldrift/allowance/allowance_manager.hpp"

#include <catch2/catch.hpp>

#include "fleet_simulation_test.hpp"
#include "teaseldrift/allowance/vm_registry.hpp"

namespace teaseldrift::allowance {

using simulation::FleetSimulation;

TEST_CASE("allowance: any VM can admit the whole burst, whether it is a member or not")
{
    for (size_t vm = 0; vm < 5; ++vm) {
        FleetSimulation fleet(5, false);
        fleet.run(10s);
        fleet.admit(vm, fleet.limits.burst);
        fleet.run(100ms);
        CHECK(fleet.admissions() == 1);
        fleet.admit(vm, fleet.limits.burst);
        fleet.run(100ms);
        CHECK(fleet.admissions() == 1);
        CHECK(fleet.violation().empty());
    }
}

TEST_CASE("allowance: VMs that restart one after another admit requests while the store is down")
{
    FleetSimulation fleet(5, false);
    fleet.run(10s);
    fleet.setStoreDown(true);
    for (size_t vm = 0; vm < 5; ++vm) {
        fleet.replace(vm);
        fleet.run(1s);
    }
    fleet.run(5s);
    CHECK(fleet.canAdmitBurst());
    CHECK(fleet.violation().empty());
}

TEST_CASE("allowance: after a simultaneous restart of all VMs the division is recovered")
{
    FleetSimulation fleet(5, false);
    fleet.run(10s);
    for (size_t vm = 0; vm < 5; ++vm) {
        fleet.replace(vm);
    }
    fleet.run(6s);
    CHECK(fleet.canAdmitBurst());
    CHECK(fleet.violation().empty());
}

TEST_CASE("allowance: tokens of a draining VM are available to the others at once")
{
    FleetSimulation fleet(3, false);
    fleet.run(10s);
    fleet.drain(0);
    fleet.run(100ms);
    fleet.kill(0);
    // Loans are not lent on, so the tokens that the drained VM lent to the third VM stay there
    // until the drained VM is removed from the VM list.
    fleet.admit(0, fleet.limits.burst * 8 / 10);
    fleet.run(100ms);
    CHECK(fleet.admissions() == 1);
}

TEST_CASE("allowance: a duplicate refund message of another VM counts once")
{
    for (size_t vm = 0; vm < 5; ++vm) {
        FleetSimulation fleet(5, false);
        fleet.run(10s);
        fleet.admit(vm, 1200 * microTokensPerToken);
        fleet.run(10ms);
        fleet.delayCopies(1);
        fleet.refund(0, 500 * microTokensPerToken);
        fleet.run(10ms);
        const MicroTokens before = fleet.levels();
        fleet.deliverDelayed(0);
        CHECK(fleet.levels() == before);
        CHECK(fleet.levels() >= fleet.limits.burst - 700 * microTokensPerToken);
    }
}

TEST_CASE("allowance: only a request above the burst is refused as larger than the burst")
{
    AllowanceManager manager({.vm = "vm-0", .incarnation = 1});
    const Instant now{};
    const Limits limits = limitsFromTokens(10, 100);
    manager.configure("a", limits, now);
    CHECK(manager.admit("a", limits.burst + 1, now).code == schema::LARGER_THAN_BURST);
    CHECK(manager.admit("a", limits.burst, now).code == schema::ALLOWANCE_UNCONFIRMED);
    manager.configure("a", limitsFromTokens(10, 50), now);
    CHECK(manager.admit("a", limits.burst, now).code == schema::LARGER_THAN_BURST);
}

TEST_CASE("allowance: an unlisted VM is gone only if it was listed before or the list is newer")
{
    VmRegistry registry(30s);
    const Instant start{};
    const std::vector<homes::VmView> both{{.id = "a"}, {.id = "b"}};
    const std::vector<homes::VmView> one{{.id = "a"}};
    registry.update(one, start + 10s);
    CHECK_FALSE(registry.isGone("b", start));
    registry.update(one, start + 31s);
    CHECK(registry.isGone("b", start));
    CHECK_FALSE(registry.isGone("b", start + 20s));
    registry.update(both, start + 32s);
    CHECK_FALSE(registry.isGone("b", start));
    registry.update(one, start + 33s);
    CHECK(registry.isGone("b", start + 33s));
}

} // namespace teaseldrift::allowance
