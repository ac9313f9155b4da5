#include "teaseldrift/configuration/configuration_sync.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "sync_fixture.hpp"

namespace teaseldrift {

namespace {

using testing::PendingChange;
using testing::SyncFixture;
using testing::SyncVm;

constexpr Duration acceptanceLimit = 6s;

bool allCurrent(const SyncFixture &fleet)
{
    return std::all_of(fleet.vms.begin(), fleet.vms.end(),
                       [&fleet](const SyncVm &vm) { return vm.sync->isCurrent(fleet.now()); });
}

bool allHold(const SyncFixture &fleet, const PendingChange &change)
{
    return std::all_of(fleet.vms.begin(), fleet.vms.end(), [&change](const SyncVm &vm) {
        return vm.sync->replica().holds(change.name, change.revision);
    });
}

} // namespace

TEST_CASE("a change is accepted within a second on a healthy fleet")
{
    const size_t count = GENERATE(size_t(1), size_t(3), size_t(7), size_t(24));
    SyncFixture fleet(count, 1);
    fleet.run(3s);
    REQUIRE(allCurrent(fleet));
    REQUIRE(fleet.change("organisation/a", false));
    fleet.run(1s);
    CHECK(fleet.changes[0].acceptedAt.has_value());
    CHECK(allHold(fleet, fleet.changes[0]));
}

/// A read of newer documents does not list deletions, so a missed one shows only in the count.
TEST_CASE("a deletion that no watch reports is detected by the document count")
{
    SyncFixture fleet(3, 2);
    fleet.run(3s);
    for (SyncVm &vm : fleet.vms) {
        vm.watchStalled = true;
    }
    REQUIRE(fleet.change("organisation/b", true));
    fleet.run(1500ms);
    CHECK(allHold(fleet, fleet.changes[0]));
    CHECK(fleet.changes[0].acceptedAt.has_value());
}

TEST_CASE("a change is accepted although the store fails right after the write")
{
    const bool pushes = GENERATE(false, true);
    SyncFixture fleet(7, 3);
    fleet.run(3s);
    REQUIRE(fleet.change("organisation/a", false, pushes));
    fleet.storeDown = true;
    if (pushes) {
        // Without watch events, only the operator's push delivers the change.
        for (SyncVm &vm : fleet.vms) {
            vm.watchId = 0;
        }
    }
    fleet.run(acceptanceLimit);
    REQUIRE(fleet.changes[0].acceptedAt.has_value());
    CHECK(allHold(fleet, fleet.changes[0]));
    CHECK(allCurrent(fleet));
}

TEST_CASE("a change is accepted within six seconds although one VM is isolated")
{
    SyncFixture fleet(7, 4);
    fleet.run(3s);
    fleet.vms[2].isIsolated = true;
    REQUIRE(fleet.change("organisation/a", false));
    fleet.run(acceptanceLimit);
    REQUIRE(fleet.changes[0].acceptedAt.has_value());
    CHECK(*fleet.changes[0].acceptedAt - fleet.changes[0].writtenAt <= acceptanceLimit);
    CHECK_FALSE(fleet.vms[2].sync->isCurrent(*fleet.changes[0].acceptedAt));
}

TEST_CASE("VMs stay current through a long store outage, also after a restart")
{
    const size_t count = GENERATE(size_t(3), size_t(7), size_t(24));
    SyncFixture fleet(count, 5);
    fleet.run(3s);
    fleet.storeDown = true;
    bool interrupted = false;
    fleet.afterEvent = [&] { interrupted = interrupted || !allCurrent(fleet); };
    fleet.run(30s);
    CHECK_FALSE(interrupted);
    fleet.afterEvent = [] {};
    for (size_t i = 0; i < count; ++i) {
        fleet.restart(i);
        fleet.run(1s);
        CHECK(allCurrent(fleet));
    }
    CHECK(fleet.vms[0].sync->replica().liveCount() == 3);
}

TEST_CASE("an isolated VM stops being current")
{
    SyncFixture fleet(3, 6);
    fleet.run(3s);
    fleet.vms[0].isIsolated = true;
    fleet.run(3100ms);
    CHECK_FALSE(fleet.vms[0].sync->isCurrent(fleet.now()));
    CHECK(fleet.vms[1].sync->isCurrent(fleet.now()));
}

/// Two of three VMs accept a change and are restarted while the store is down. If they could vote
/// without their former state, they would confirm the old configuration of the third, which missed
/// the change.
TEST_CASE("a restarted process does not count towards a majority")
{
    SyncFixture fleet(3, 7);
    fleet.run(3s);
    fleet.vms[2].isIsolated = true;
    REQUIRE(fleet.change("organisation/a", false));
    fleet.run(5s);
    REQUIRE(fleet.changes[0].acceptedAt.has_value());
    fleet.storeDown = true;
    fleet.vms[2].isIsolated = false;
    fleet.restart(0);
    fleet.restart(1);
    fleet.run(10s);
    // Only vms[2] still has a configuration, and it missed the change.
    for (const SyncVm &vm : fleet.vms) {
        CHECK_FALSE(vm.sync->isCurrent(fleet.now()));
    }
    fleet.storeDown = false;
    fleet.run(5s);
    CHECK(allCurrent(fleet));
    CHECK(allHold(fleet, fleet.changes[0]));
}

} // namespace teaseldrift
