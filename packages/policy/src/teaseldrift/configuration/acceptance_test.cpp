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
            .canVote = true,
            .sentAt = at - 1ms,
            .receivedAt = at + 1ms};
}

} // namespace

TEST_CASE("a change is accepted once all VMs held it simultaneously")
{
    AcceptanceTracker tracker(vms, Instant(1s));
    for (const std::string &vm : vms) {
        tracker.onReport(report(vm, Instant(2s)));
    }
    CHECK(tracker.state(Instant(2s)) == AcceptanceState::Pending);
    for (const std::string &vm : vms) {
        tracker.onReport(report(vm, Instant(2s) + 100ms));
    }
    CHECK(tracker.state(Instant(3s)) == AcceptanceState::Accepted);
    CHECK(tracker.unconfirmedVms().empty());
}

TEST_CASE("a majority is enough after the freshness bound")
{
    AcceptanceTracker tracker(vms, Instant(1s), {.freshnessBound = 3s, .clockDriftMargin = 0ms});
    for (const Duration at : {2000ms, 2100ms}) {
        tracker.onReport(report("a", Instant(at)));
        tracker.onReport(report("b", Instant(at)));
    }
    CHECK(tracker.state(Instant(5s)) == AcceptanceState::Pending);
    CHECK(tracker.state(Instant(5s) + 2ms) == AcceptanceState::Accepted);
    CHECK(tracker.unconfirmedVms() == std::vector<std::string>{"c"});
}

/// A restarted process has lost the change, so the answers before and after the restart do not show
/// that it was held in between.
TEST_CASE("two answers of different processes on a VM do not count as one confirmation")
{
    AcceptanceTracker tracker(vms, Instant(1s), {.confirmationTimeout = 8s});
    tracker.onReport(report("a", Instant(2s), 1));
    tracker.onReport(report("a", Instant(3s), 2));
    tracker.onReport(report("b", Instant(2s)));
    tracker.onReport(report("b", Instant(2s) + 100ms));
    CHECK(tracker.state(Instant(8s)) == AcceptanceState::Pending);
    CHECK(tracker.state(Instant(10s)) == AcceptanceState::Unconfirmed);
}

TEST_CASE("a larger fleet in a VM's report raises the majority")
{
    AcceptanceTracker tracker(vms, Instant(1s));
    for (const Duration at : {2000ms, 2100ms}) {
        for (const std::string &vm : vms) {
            AcceptanceReport known = report(vm, Instant(at));
            known.knownVms = 6;
            tracker.onReport(known);
        }
    }
    CHECK(tracker.state(Instant(9s)) == AcceptanceState::Pending);
}

} // namespace teaseldrift
