#include "teaseldrift/relay/fleet_state.hpp"

#include <functional>
#include <limits>
#include <map>
#include <set>
#include <string>

#include <fcntl.h>

#include <catch2/catch.hpp>

namespace teaseldrift::relay {

// Guards against a crash of all VMs at once when the store returns from an older copy that still
// has the registration of a target that is gone.
TEST_CASE("an outdated registration of a target that is gone is ignored")
{
    telemetry::EventLog log({.descriptor = ::open("/dev/null", O_WRONLY | O_CLOEXEC)});
    const Instant start(100s);
    FleetState fleet({.vmId = "vm"}, log, start);
    fleet.storeRegained(start);
    TargetEntry entry{
            .id = "t", .service = "s", .address = "10.0.0.1:80", .startedAtMs = 1, .heartbeats = 5};
    fleet.applyTarget(entry, start);
    fleet.removeTarget("t", start + 5s);
    REQUIRE(fleet.directory().find("t") == nullptr);
    fleet.storeRestored(start + 6s);
    entry.heartbeats = 4;
    fleet.applyTarget(entry, start + 6s);
    fleet.applyAllTargets({{"t", entry}}, start + 7s);
    CHECK(fleet.directory().find("t") == nullptr);
    entry.heartbeats = 6;
    fleet.applyTarget(entry, start + 8s);
    CHECK(fleet.directory().find("t") != nullptr);
}

// Guards against a target that is sent requests although it has asked for none after its restart: a
// store that refused calls has delayed the registration (BUDGET).
TEST_CASE("what a new incarnation states before its registration is read counts for it")
{
    telemetry::EventLog log({.descriptor = ::open("/dev/null", O_WRONLY | O_CLOEXEC)});
    const Instant start(100s);
    constexpr int64_t startUnixMs = 1'700'000'000'000;
    int64_t unixMs = startUnixMs;
    FleetState fleet({.vmId = "vm", .unixMs = [&unixMs] { return unixMs; }}, log, start);
    TargetEntry entry{.id = "t",
                      .service = "s",
                      .address = "10.0.0.1:80",
                      .startedAtMs = startUnixMs - 60000};
    fleet.applyTarget(entry, start);
    fleet.applyNotice("t", entry.startedAtMs, {.quietTime = 5s, .requestsPerSecond = 2.0},
                      start + 3s);
    // The registration of an incarnation that started at 2 s is read at 4 s.
    unixMs = startUnixMs + 4000;
    entry.startedAtMs = startUnixMs + 2000;
    fleet.applyTarget(entry, start + 4s);
    CHECK(fleet.targetSelector().isQuiet(entry, start + 4s));
    CHECK(fleet.targetLimits().of(limitKeyOf("t", entry.startedAtMs)) == 2.0);
    // Another one, which has stated nothing, started at 5 s.
    unixMs = startUnixMs + 6000;
    entry.startedAtMs = startUnixMs + 5000;
    fleet.applyTarget(entry, start + 6s);
    CHECK_FALSE(fleet.targetSelector().isQuiet(entry, start + 6s));
    CHECK(fleet.targetLimits().count() == 0);
    // A request was sent before the registration was read, and its response arrives after it.
    fleet.applyNotice("t", startUnixMs + 2000, {.quietTime = 5s, .requestsPerSecond = 3.0},
                      start + 6100ms, start + 5800ms);
    CHECK(fleet.targetSelector().isQuiet(entry, start + 7s));
    CHECK(fleet.targetLimits().of(limitKeyOf("t", entry.startedAtMs)) == 3.0);
    // Another response is the former incarnation's.
    fleet.applyNotice("t", startUnixMs + 2000, {.quietTime = 1s}, start + 6200ms, start + 4s);
    CHECK(fleet.targetSelector().isQuiet(entry, start + 7s));
    unixMs = startUnixMs + 20000;
    // Registrations may state any start.
    for (const uint64_t startedAtMs : {uint64_t{1}, std::numeric_limits<uint64_t>::max()}) {
        entry.startedAtMs = startedAtMs;
        fleet.applyNotice("t", 0, {.quietTime = 1s}, start + 20s);
        fleet.applyTarget(entry, start + 21s);
        CHECK(fleet.directory().find("t")->startedAtMs == startedAtMs);
    }
}

// Guards against a VM with a slow link that exchanges messages with all VMs of its zone, and takes
// changes of the configuration late (CONFIG).
TEST_CASE("a zone is represented by one of the VMs with the fastest links")
{
    telemetry::EventLog log({.descriptor = ::open("/dev/null", O_WRONLY | O_CLOEXEC)});
    const Instant now(100s);
    std::map<std::string, schema::VmRecord, std::less<>> vms;
    for (int i = 0; i < 20; ++i) {
        schema::VmRecord record;
        record.set_vm_id("vm-" + std::to_string(i));
        record.set_availability_zone("z");
        record.set_link_mbps(i < 2 ? 200 : i < 8 ? 25 : 10);
        vms.emplace(record.vm_id(), record);
    }
    std::set<std::string> representatives;
    const auto representativeFor
            = [&](int vm, const std::function<bool(const std::string &)> &isExcluded) {
                  FleetState fleet({.vmId = "vm-" + std::to_string(vm),
                                    .availabilityZone = "z",
                                    .linkMbps = vms.at("vm-" + std::to_string(vm)).link_mbps()},
                                   log, now);
                  fleet.applyVms(vms, now, now);
                  const schema::VmRecord *found = fleet.zoneRepresentative("z", isExcluded);
                  return found == nullptr ? fleet.options().vmId : found->vm_id();
              };
    for (int i = 0; i < 20; ++i) {
        representatives.insert(representativeFor(i, [](const std::string &) { return false; }));
    }
    REQUIRE(representatives.size() == 1);
    CHECK(vms.at(*representatives.begin()).link_mbps() == 200);
    const std::string next = representativeFor(
            19, [](const std::string &vm) { return vm == "vm-0" || vm == "vm-1"; });
    CHECK(vms.at(next).link_mbps() == 25);
    // Those with equal links are drawn, and VMs that do not state a link come last.
    vms.at("vm-0").set_link_mbps(0);
    vms.at("vm-1").set_link_mbps(0);
    CHECK(vms.at(representativeFor(19, [](const std::string &) { return false; })).link_mbps()
          == 25);
}

} // namespace teaseldrift::relay
