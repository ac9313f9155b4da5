#include "teaseldrift/membership/membership_view.hpp"

#include <algorithm>
#include <set>

#include <catch2/catch.hpp>

namespace teaseldrift {

namespace {

std::vector<ListedVm> listOf(size_t count)
{
    std::vector<ListedVm> vms;
    for (size_t i = 0; i < count; ++i) {
        vms.push_back({.id = "vm-" + std::to_string(100 + i), .address = "10.0.0.1"});
    }
    return vms;
}

bool isLive(const MembershipView &view, std::string_view id, Instant now)
{
    const std::vector<FleetVm> live = view.liveVms(now);
    return std::any_of(live.begin(), live.end(),
                       [id](const FleetVm &vm) { return vm.listed.id == id; });
}

} // namespace

TEST_CASE("an unresponsive neighbour is not live, and is live again after its next message")
{
    MembershipView view("vm-100");
    view.onVmList(listOf(3), Instant(0s));
    CHECK(view.liveVms(Instant(1s)).size() == 3);
    view.onMessage("vm-101", 7, Instant(2s));
    CHECK(isLive(view, "vm-101", Instant(3s)));
    CHECK_FALSE(isLive(view, "vm-102", Instant(3s)));
    CHECK(view.knownVms(Instant(3s)).size() == 3);
    view.onMessage("vm-102", 8, Instant(4s));
    CHECK(isLive(view, "vm-102", Instant(4s)));
    CHECK(isLive(view, "vm-100", Instant(99s)));
}

TEST_CASE("a VM is leaving if the list or its own heartbeat says so")
{
    MembershipView view("vm-100");
    std::vector<ListedVm> vms = listOf(3);
    vms[1].leaving = true;
    view.onVmList(vms, Instant(0s));
    view.onHeartbeat("vm-102", 5, true, Instant(0s));
    CHECK_FALSE(isLive(view, "vm-101", Instant(0s)));
    CHECK_FALSE(isLive(view, "vm-102", Instant(0s)));
    view.onVmList(vms, Instant(1s));
    CHECK_FALSE(isLive(view, "vm-102", Instant(1s)));
    // A new process on the VM has not announced that it is leaving.
    CHECK(view.onMessage("vm-102", 6, Instant(1s)) == SenderStatus::NewIncarnation);
    CHECK(isLive(view, "vm-102", Instant(1s)));
    view.leave();
    CHECK_FALSE(isLive(view, "vm-100", Instant(1s)));
}

TEST_CASE("messages of a former process are recognised after a restart")
{
    MembershipView view("vm-100");
    CHECK(view.onMessage("vm-101", 1, Instant(0s)) == SenderStatus::NewIncarnation);
    CHECK(view.onMessage("vm-101", 1, Instant(0s)) == SenderStatus::Known);
    CHECK(view.onMessage("vm-101", 2, Instant(0s)) == SenderStatus::NewIncarnation);
    CHECK(view.onMessage("vm-101", 1, Instant(0s)) == SenderStatus::StaleIncarnation);
    CHECK(view.onMessage("vm-101", 2, Instant(0s)) == SenderStatus::Known);
}

TEST_CASE("a VM not listed yet is known while it sends messages, one removed from the list is gone")
{
    MembershipView view("vm-100");
    view.onVmList(listOf(2), Instant(0s));
    view.onMessage("vm-new", 1, Instant(0s));
    CHECK(isLive(view, "vm-new", Instant(1s)));
    CHECK(view.knownVms(Instant(16s)).size() == 2);
    view.onVmList(listOf(1), Instant(17s));
    CHECK(view.isGone("vm-101"));
    view.onMessage("vm-101", 1, Instant(17s));
    CHECK(view.knownVms(Instant(17s)).size() == 1);
    view.onVmList(listOf(2), Instant(18s));
    CHECK_FALSE(view.isGone("vm-101"));
}

TEST_CASE("leaving and removed targets are reported")
{
    MembershipView view("vm-100");
    std::vector<ListedVm> vms = listOf(1);
    vms.push_back({.id = "t-1", .isTarget = true});
    vms.push_back({.id = "t-2", .isTarget = true});
    view.onVmList(vms, Instant(0s));
    CHECK(view.leavingTargets().empty());
    vms.pop_back();
    vms.back().leaving = true;
    view.onVmList(vms, Instant(1s));
    CHECK(view.leavingTargets() == std::vector<std::string>{"t-1", "t-2"});
    CHECK(view.knownVms(Instant(1s)).size() == 1);
}

TEST_CASE("neighbours are bounded, and a VM expects heartbeats exactly from those that send them")
{
    constexpr size_t count = 133;
    const std::vector<ListedVm> vms = listOf(count);
    std::set<std::string> sentTo;
    for (const ListedVm &vm : vms) {
        MembershipView view(vm.id);
        view.onVmList(vms, Instant(0s));
        const std::vector<std::string> neighbours = view.neighbours(Instant(0s));
        CHECK(neighbours.size() <= 8);
        if (std::find(neighbours.begin(), neighbours.end(), vms[0].id) != neighbours.end()) {
            sentTo.insert(vm.id);
        }
    }
    MembershipView first(vms[0].id);
    first.onVmList(vms, Instant(0s));
    for (const ListedVm &vm : vms) {
        if (vm.id != vms[0].id) {
            CHECK(first.isUnresponsive(vm.id, Instant(9s)) == sentTo.contains(vm.id));
        }
    }
}

} // namespace teaseldrift
