#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief What one or several VMs have under way at a target.
struct InFlightLoad
{
    /// Prompt tokens that the target has not read yet.
    uint32_t backlogTokens = 0;
    /// Requests that have not ended.
    uint32_t requests = 0;

    InFlightLoad &operator+=(const InFlightLoad &other);
    bool operator==(const InFlightLoad &) const = default;
};

/// @brief Work by target; a target without an entry has none. The key is targetKeyOf().
using InFlightLoadTable = std::map<uint32_t, InFlightLoad>;

/// @brief Short name of a target in tables that VMs exchange.
[[nodiscard]] uint32_t targetKeyOf(std::string_view targetId);

/// @brief What the other VMs have under way at the targets.
///
/// Each VM tells one VM of its availability zone, and those tell each other the sums of their
/// zones, so that a choice can count the work of all VMs although each sends only a small part.
///
/// ```cpp
/// load.updateVm("vm-2", theirs, now);                // vm-2 asked
/// answer(load.totalExcludingVm("vm-2", own, now));
/// load.updateZone("zone-b", sums, now);
/// answer(load.zoneTotal(own, now));
/// ```
class PeerLoadTracker
{
public:
    struct Options
    {
        /// Work that was told longer ago than this is no longer counted: several turns of telling.
        Duration maxAge = 500ms;
    };

    explicit PeerLoadTracker(Options options);
    PeerLoadTracker();

    /// @brief Takes the work of another VM of the same availability zone.
    void updateVm(std::string_view vmId, InFlightLoadTable load, Instant now);

    /// @brief Takes the work of all VMs of another availability zone.
    void updateZone(std::string_view availabilityZone, InFlightLoadTable load, Instant now);

    /// @brief The work of this VM and of those of its availability zone that told theirs.
    [[nodiscard]] InFlightLoadTable zoneTotal(const InFlightLoadTable &own, Instant now) const;

    /// @brief All work known to this VM, but that of the VM that asks.
    [[nodiscard]] InFlightLoadTable
    totalExcludingVm(std::string_view vmId, const InFlightLoadTable &own, Instant now) const;

    /// @brief All work known to this VM, but its own.
    [[nodiscard]] InFlightLoadTable peerTotal(Instant now) const;

    /// @brief Whether an availability zone told its work within a time.
    [[nodiscard]] bool isZoneUpdatedWithin(std::string_view availabilityZone, Duration within,
                                           Instant now) const;

    /// @brief Forgets what is too old.
    void expire(Instant now);

private:
    struct Update
    {
        InFlightLoadTable load;
        Instant receivedAt;
    };

    using UpdatesBySender = std::map<std::string, Update, std::less<>>;

    void addUpdates(InFlightLoadTable &sum, const UpdatesBySender &updates, std::string_view except,
                    Instant now) const;

    Options m_options;
    UpdatesBySender m_vms;
    UpdatesBySender m_zones;
};

} // namespace teaseldrift
