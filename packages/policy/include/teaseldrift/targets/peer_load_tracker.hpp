#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief Load that the requests of one or several VMs put on a target.
struct InFlightLoad
{
    /// Prompt tokens sent to the target whose prefill has not finished.
    uint32_t backlogTokens = 0;
    /// Requests in flight.
    uint32_t requests = 0;

    InFlightLoad &operator+=(const InFlightLoad &other);
    bool operator==(const InFlightLoad &) const = default;
};

/// @brief In-flight load by targetKeyOf(); a target without an entry has none.
using InFlightLoadTable = std::map<uint32_t, InFlightLoad>;

/// @brief 32-bit hash of a target's id, which stands for the target in messages between VMs.
[[nodiscard]] uint32_t targetKeyOf(std::string_view targetId);

/// @brief Aggregates the in-flight load that other VMs report for the targets.
///
/// Each VM reports to one VM of its availability zone, and these VMs exchange the totals of their
/// zones. So a target can be selected by the load of the whole fleet, although each VM sends only a
/// small fraction of the requests.
///
/// ```cpp
/// tracker.updateVm("vm-2", reported, now);
/// reply(tracker.totalExcludingVm("vm-2", own, now));
/// tracker.updateZone("zone-b", total, now);
/// reply(tracker.zoneTotal(own, now));
/// ```
class PeerLoadTracker
{
public:
    struct Options
    {
        /// Older reports are ignored; covers several reporting intervals.
        Duration maxAge = 500ms;
    };

    explicit PeerLoadTracker(Options options);
    PeerLoadTracker();

    /// @brief Replaces the load reported by another VM of this availability zone.
    void updateVm(std::string_view vmId, InFlightLoadTable load, Instant now);

    /// @brief Replaces the total reported for another availability zone.
    void updateZone(std::string_view availabilityZone, InFlightLoadTable load, Instant now);

    /// @brief Load of this VM plus that reported by the other VMs of its availability zone.
    [[nodiscard]] InFlightLoadTable zoneTotal(const InFlightLoadTable &own, Instant now) const;

    /// @brief All known load except that of the given VM.
    [[nodiscard]] InFlightLoadTable
    totalExcludingVm(std::string_view vmId, const InFlightLoadTable &own, Instant now) const;

    /// @brief All known load except this VM's own.
    [[nodiscard]] InFlightLoadTable peerTotal(Instant now) const;

    /// @brief Whether an availability zone reported its total less than `within` ago.
    [[nodiscard]] bool isZoneUpdatedWithin(std::string_view availabilityZone, Duration within,
                                           Instant now) const;

    /// @brief Drops reports older than Options::maxAge.
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
