#include "teaseldrift/relay/fleet_state.hpp"

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

} // namespace teaseldrift::relay
