#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief One VM's answer to the question whether it has applied a change.
struct AcceptanceReport
{
    std::string vmId;
    uint64_t incarnation = 0;
    /// The VM has applied the change.
    bool holds = false;
    /// The VM counts towards a majority, see schema::ConfigurationAnswer::votes.
    bool canVote = false;
    /// Time at which the request was sent, by the operator's clock.
    Instant sentAt;
    /// Time at which the answer arrived, by the operator's clock.
    Instant receivedAt;
    /// Size of the fleet as this VM sees it.
    size_t knownVms = 0;
};

enum class AcceptanceState {
    /// Not decided yet; poll the VMs again.
    Pending,
    /// Every VM that can still serve requests has applied the change.
    Accepted,
    /// The change was written, but was not accepted within the confirmation timeout.
    Unconfirmed,
};

struct AcceptanceOptions
{
    /// Age of the last freshness confirmation at which a VM stops serving, as set on the VMs.
    Duration freshnessBound = 3s;
    /// Added to the freshness bound because the clocks of operator and VMs run at slightly
    /// different rates.
    Duration clockDriftMargin = 100ms;
    /// Time after the write at which the change is reported as unconfirmed.
    Duration confirmationTimeout = 30s;
};

/// @brief Decides when a written change is accepted.
///
/// A change is accepted when a majority of the VMs held it at one instant and, besides, all listed
/// VMs held it at one instant or the freshness bound has passed since the majority did. After that
/// instant no VM can confirm a configuration without the change: the store has it, and every
/// majority contains a VM that holds it.
///
/// A VM held the change at an instant if the same process reported it twice: in an answer received
/// before the instant and in an answer to a request sent after it.
///
/// ```cpp
/// AcceptanceTracker tracker(listedVms, writtenAt, {.freshnessBound = 3s});
/// tracker.onReport(report);
/// if (tracker.state(now) == AcceptanceState::Accepted) { ... }
/// ```
class AcceptanceTracker
{
public:
    AcceptanceTracker(std::span<const std::string> listedVms, Instant writtenAt,
                      AcceptanceOptions options = {});

    /// @brief Replaces the list of VMs. VMs that are no longer listed are ignored from now on.
    void onVmList(std::span<const std::string> listedVms);

    void onReport(const AcceptanceReport &report);

    [[nodiscard]] AcceptanceState state(Instant now) const;

    /// @brief Listed VMs that have not reported the change as applied.
    [[nodiscard]] std::vector<std::string> unconfirmedVms() const;

private:
    struct Member
    {
        uint64_t incarnation = 0;
        bool holds = false;
        bool canVote = false;
        /// Interval in which this process is known to have held the change: from its first answer
        /// received to its last request sent.
        Instant heldFrom;
        Instant heldUntil;
    };

    std::map<std::string, Member, std::less<>> m_members;
    Instant m_writtenAt;
    AcceptanceOptions m_options;
    size_t m_knownVms = 0;

    [[nodiscard]] std::optional<Instant> firstInstantHeldBy(size_t count, bool votersOnly) const;
};

} // namespace teaseldrift
