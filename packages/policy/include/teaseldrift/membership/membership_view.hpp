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

/// @brief Entry of the platform's VM list.
struct ListedVm
{
    std::string id;
    /// IP address.
    std::string address;
    uint16_t callerPort = 0;
    uint16_t peerPort = 0;
    std::string availabilityZone;
    bool leaving = false;
    /// The VM runs a target, not a router.
    bool isTarget = false;
};

enum class MemberState {
    Live,
    /// Shutting down; gets no new work.
    Leaving,
    /// Has been removed from the platform's list.
    Gone,
};

/// @brief A VM of the fleet as this VM sees it.
struct FleetVm
{
    ListedVm listed;
    MemberState state = MemberState::Live;
    /// Incarnation of the process that last sent a message; 0 if none has been received.
    uint64_t incarnation = 0;
};

/// @brief Relation of a message's sender to the process known on its VM.
enum class SenderStatus {
    Known,
    /// First message of this process; the state of the VM's former process is lost.
    NewIncarnation,
    /// A former process of the VM; its messages are to be ignored.
    StaleIncarnation,
};

struct MembershipOptions
{
    /// Maximum number of neighbours that are sent heartbeats.
    size_t maxNeighbours = 8;
    /// Time without a message after which a neighbour counts as unresponsive.
    Duration heartbeatTimeout = 2s;
    /// Time after its last message for which a VM is known that is not on the list yet.
    Duration unlistedRetention = 15s;
    /// Time for which VMs and targets that have left the list are remembered as gone.
    Duration goneRetention = 600s;
};

/// @brief One VM's view of the fleet, from the platform's list and from messages.
///
/// The list, which lags behind, tells which VMs exist; heartbeats between a bounded number of
/// neighbours tell which of them respond. The views of two VMs may differ.
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

    /// @brief Applies a newer version of the platform's list.
    /// @return whether a VM or target was added, changed or removed
    bool onVmList(std::span<const ListedVm> vms, Instant now);

    /// @brief Records a message of any kind from another VM.
    SenderStatus onMessage(std::string_view vmId, uint64_t incarnation, Instant now);

    /// @brief Records a heartbeat, with the sender's statement whether it is leaving.
    void onHeartbeat(std::string_view vmId, uint64_t incarnation, bool leaving, Instant now);

    /// @brief Marks this VM as leaving.
    void leave() { m_selfLeaving = true; }

    /// @brief VMs that may get work: live and not unresponsive. Includes this VM unless it is
    /// leaving. Sorted by id.
    [[nodiscard]] std::vector<FleetVm> liveVms(Instant now) const;

    /// @brief All VMs that may hold state or serve requests: live, leaving and unresponsive ones.
    /// Sorted by id.
    [[nodiscard]] std::vector<FleetVm> knownVms(Instant now) const;

    /// @brief VMs that this VM sends heartbeats to: on the ring of all VMs in order of id, those at
    /// distances of powers of two. All other VMs in a fleet of at most maxNeighbours + 1.
    [[nodiscard]] std::vector<std::string> neighbours(Instant now) const;

    /// @brief Whether a VM that sends heartbeats to this VM has sent no message within the timeout.
    [[nodiscard]] bool isUnresponsive(std::string_view vmId, Instant now) const;

    /// @brief Whether a VM has left the list, so that its process can no longer serve requests.
    [[nodiscard]] bool isGone(std::string_view vmId) const;

    /// @brief Ids of target VMs that the list shows as leaving or that were removed from it.
    [[nodiscard]] std::vector<std::string> leavingTargets() const;

private:
    struct Member
    {
        FleetVm vm;
        bool isListed = false;
        bool announcedLeaving = false;
        std::optional<Instant> lastHeard;
        /// Time from which the heartbeat timeout counts if there was no message since.
        Instant expectedSince;
        std::optional<Instant> leftListAt;
        /// The most recent former processes of the VM.
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
