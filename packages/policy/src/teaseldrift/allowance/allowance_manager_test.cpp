#include "teaseldrift/allowance/allowance_manager.hpp"

#include <catch2/catch.hpp>

#include "allowance_world_test.hpp"
#include "teaseldrift/allowance/vm_registry.hpp"

namespace teaseldrift::allowance {

using world::World;

TEST_CASE("allowance: the whole burst is obtainable on any VM, member or guest")
{
    for (size_t vm = 0; vm < 5; ++vm) {
        World world(5, false);
        world.run(10s);
        world.admit(vm, world.limits.burst);
        world.run(100ms);
        CHECK(world.admissions() == 1);
        world.admit(vm, world.limits.burst);
        world.run(100ms);
        CHECK(world.admissions() == 1);
        CHECK(world.violation().empty());
    }
}

TEST_CASE("allowance: VMs that restart one after another serve without the store")
{
    World world(5, false);
    world.run(10s);
    world.setStoreDown(true);
    for (size_t vm = 0; vm < 5; ++vm) {
        world.replace(vm);
        world.run(1s);
    }
    world.run(5s);
    CHECK(world.canAdmitBurst());
    CHECK(world.violation().empty());
}

TEST_CASE("allowance: all VMs that restart at once serve again without the division lost")
{
    World world(5, false);
    world.run(10s);
    for (size_t vm = 0; vm < 5; ++vm) {
        world.replace(vm);
    }
    world.run(6s);
    CHECK(world.canAdmitBurst());
    CHECK(world.violation().empty());
}

TEST_CASE("allowance: what a draining VM had serves the others at once")
{
    World world(3, false);
    world.run(10s);
    world.drain(0);
    world.run(100ms);
    world.kill(0);
    // Loans are not lent on, so the part that the other heir has stays there until the drained
    // VM has left the list.
    world.admit(0, world.limits.burst * 8 / 10);
    world.run(100ms);
    CHECK(world.admissions() == 1);
}

TEST_CASE("allowance: a repeated give-back of a guest counts once")
{
    for (size_t vm = 0; vm < 5; ++vm) {
        World world(5, false);
        world.run(10s);
        world.admit(vm, 1200 * microTokensPerToken);
        world.run(10ms);
        world.copyNext(1);
        world.refund(0, 500 * microTokensPerToken);
        world.run(10ms);
        const MicroTokens before = world.levels();
        world.release(0);
        CHECK(world.levels() == before);
        CHECK(world.levels() >= world.limits.burst - 700 * microTokensPerToken);
    }
}

TEST_CASE("allowance: only a request above the burst is called larger than the burst")
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

TEST_CASE("allowance: a VM that the list lacks is gone only if it was seen or the view is late")
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
