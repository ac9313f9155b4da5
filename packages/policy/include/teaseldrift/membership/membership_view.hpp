#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/circular_buffer.hpp>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief A VM as the platform's list shows it.
struct ListedVm
{
    std::string id;
    /// IP address.
    std::string address;
    uint16_t callerPort = 0;
    uint16_t peerPort = 0;
    std::string availabilityZone;
    bool leaving = false;
    /// The VM carries a target, not a router.
    bool isTarget = false;
};

enum class MemberState {
    Live,
    /// Gets no new work.
    Leaving,
    /// Was on the list and is no longer.
    Gone,
};

/// @brief A VM of the fleet as this VM sees it.
struct FleetVm
{
    ListedVm listed;
    MemberState state = MemberState::Live;
    /// Incarnation of the process last heard; 0 if it was never heard.
    uint64_t incarnation = 0;
};

/// @brief What a message tells about its sender's process.
enum class SenderStatus {
    Known,
    /// The first message of this process; what the former process of the VM held is gone.
    NewIncarnation,
    /// A process that another one has replaced; ignore its messages.
    StaleIncarnation,
};

struct MembershipOptions
{
    /// Neighbours that are sent heartbeats, at most.
    size_t maxNeighbours = 8;
    /// Silence after which a neighbour counts as not answering.
    Duration heartbeatTimeout = 2s;
    /// How long a VM that is not on the list yet is kept after its last message.
    Duration unlistedRetention = 15s;
    /// How long it is remembered that a VM or target has left the list.
    Duration goneRetention = 600s;
};

/// @brief One VM's view of the fleet, from the platform's list and from messages.
///
/// The list says who may exist; it lags. Heartbeats to a bounded number of neighbours say who
/// answers. There is no agreement between VMs on either.
///
/// ```cpp
/// view.onVmList(vms, now);
/// if (view.onMessage(senderId, incarnation, now) == SenderStatus::StaleIncarnation) { return; }
/// for (const FleetVm &vm : view.liveVms(now)) { ... }
/// ```
class MembershipView
{
public:
    MembershipView(std::string selfId, MembershipOptions options = {});

    /// @brief Takes over a newer list.
    /// @return whether anything changed
    bool onVmList(std::span<const ListedVm> vms, Instant now);

    /// @brief Notes any message of another VM.
    SenderStatus onMessage(std::string_view vmId, uint64_t incarnation, Instant now);

    /// @brief Notes a heartbeat's own words about its VM.
    void onHeartbeat(std::string_view vmId, uint64_t incarnation, bool leaving, Instant now);

    /// @brief Says that this VM itself is leaving.
    void leave() { m_selfLeaving = true; }

    /// @brief VMs that may get work: live, and not silent where this VM listens. Includes this VM
    /// while it is not leaving. In order of id.
    [[nodiscard]] std::vector<FleetVm> liveVms(Instant now) const;

    /// @brief All VMs that may hold state or serve: live, leaving and silent ones. In order of id.
    [[nodiscard]] std::vector<FleetVm> knownVms(Instant now) const;

    /// @brief VMs that this VM sends heartbeats to, spread over the fleet in distances of powers of
    /// two on a ring.
    [[nodiscard]] std::vector<std::string> neighbours(Instant now) const;

    /// @brief Whether a VM has been silent towards this VM although it should have been heard.
    [[nodiscard]] bool isUnresponsive(std::string_view vmId, Instant now) const;

    /// @brief Whether a VM has left the list, so that its process can serve nothing any more.
    [[nodiscard]] bool isGone(std::string_view vmId) const;

    /// @brief Ids of target VMs that the list shows as leaving, or that vanished from it.
    [[nodiscard]] std::vector<std::string> leavingTargets() const;

private:
    struct Member
    {
        FleetVm vm;
        bool isListed = false;
        bool announcedLeaving = false;
        std::optional<Instant> lastHeard;
        /// Since when messages of this VM are expected.
        Instant expectedSince;
        std::optional<Instant> leftListAt;
        boost::circular_buffer<uint64_t> formerIncarnations;
    };

    struct Target
    {
        MemberState state = MemberState::Live;
        std::optional<Instant> leftListAt;
    };

    std::string m_selfId;
    MembershipOptions m_options;
    bool m_selfLeaving = false;
    std::map<std::string, Member, std::less<>> m_members;
    std::map<std::string, Target, std::less<>> m_targets;

    [[nodiscard]] bool isUnresponsiveInRing(std::span<const std::string> ring,
                                            std::string_view vmId, Instant now) const;
    [[nodiscard]] bool isKnown(const Member &member, Instant now) const;
    [[nodiscard]] std::vector<std::string> ring(Instant now) const;
    bool updateTarget(const ListedVm &vm);
    bool markUnlistedGone(std::span<const ListedVm> vms, Instant now);
    void removeExpired(Instant now);
};

} // namespace teaseldrift
