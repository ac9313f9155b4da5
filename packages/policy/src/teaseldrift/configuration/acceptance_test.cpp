#include "teaseldrift/configuration/acceptance.hpp"

#include <array>

#include <catch2/catch.hpp>

namespace teaseldrift {

namespace {

const std::array<std::string, 3> vms{"a", "b", "c"};

AcceptanceReport report(const std::string &vmId, Instant at, uint64_t incarnation = 1)
{
    return {.vmId = vmId,
            .incarnation = incarnation,
            .holds = true,
            .votes = true,
            .sentAt = at - 1ms,
            .receivedAt = at + 1ms};
}

} // namespace

TEST_CASE("a change is accepted once all VMs held it together")
{
    AcceptanceWaiter waiter(vms, Instant(1s));
    for (const std::string &vm : vms) {
        waiter.onReport(report(vm, Instant(2s)));
    }
    CHECK(waiter.state(Instant(2s)) == AcceptanceState::Waiting);
    for (const std::string &vm : vms) {
        waiter.onReport(report(vm, Instant(2s) + 100ms));
    }
    CHECK(waiter.state(Instant(3s)) == AcceptanceState::Accepted);
    CHECK(waiter.missing().empty());
}

TEST_CASE("a majority is enough after the freshness bound")
{
    AcceptanceWaiter waiter(vms, Instant(1s), {.freshnessBound = 3s, .clockMargin = 0ms});
    for (const Duration at : {2000ms, 2100ms}) {
        waiter.onReport(report("a", Instant(at)));
        waiter.onReport(report("b", Instant(at)));
    }
    CHECK(waiter.state(Instant(5s)) == AcceptanceState::Waiting);
    CHECK(waiter.state(Instant(5s) + 2ms) == AcceptanceState::Accepted);
    CHECK(waiter.missing() == std::vector<std::string>{"c"});
}

TEST_CASE("a process that was restarted between its answers does not count")
{
    AcceptanceWaiter waiter(vms, Instant(1s), {.giveUpAfter = 8s});
    waiter.onReport(report("a", Instant(2s), 1));
    waiter.onReport(report("a", Instant(3s), 2));
    waiter.onReport(report("b", Instant(2s)));
    waiter.onReport(report("b", Instant(2s) + 100ms));
    CHECK(waiter.state(Instant(8s)) == AcceptanceState::Waiting);
    CHECK(waiter.state(Instant(10s)) == AcceptanceState::Unconfirmed);
}

TEST_CASE("VMs that others know raise the majority")
{
    AcceptanceWaiter waiter(vms, Instant(1s));
    for (const Duration at : {2000ms, 2100ms}) {
        for (const std::string &vm : vms) {
            AcceptanceReport known = report(vm, Instant(at));
            known.knownVms = 6;
            waiter.onReport(known);
        }
    }
    CHECK(waiter.state(Instant(9s)) == AcceptanceState::Waiting);
}

} // namespace teaseldrift
