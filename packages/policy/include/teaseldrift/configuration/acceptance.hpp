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

/// @brief What one VM said about a change.
struct AcceptanceReport
{
    std::string vmId;
    uint64_t incarnation = 0;
    /// The VM holds the change in force.
    bool holds = false;
    /// The VM's vote counts, see schema::ConfigurationAnswer::votes.
    bool canVote = false;
    /// Operator's clock when the question was sent.
    Instant sentAt;
    /// Operator's clock when the answer arrived.
    Instant receivedAt;
    /// VMs that this VM knows.
    size_t knownVms = 0;
};

enum class AcceptanceState {
    /// Ask the VMs again.
    Pending,
    /// The change is in force on every VM that could still serve.
    Accepted,
    /// The change was written, but no majority of the VMs has confirmed it in time.
    Unconfirmed,
};

struct AcceptanceOptions
{
    /// Freshness bound of the VMs.
    Duration freshnessBound = 3s;
    /// Allows for clocks of operator and VMs that run at slightly different speeds.
    Duration clockDriftMargin = 100ms;
    /// Longest wait before the operator is told that the change is written but unconfirmed.
    Duration confirmationTimeout = 30s;
};

/// @brief Decides when a written change is accepted.
///
/// A change is accepted once at one instant all listed VMs held it, or a majority of them held it
/// and the freshness bound has passed since. From that instant on no VM can prove its configuration
/// without the change: the store has it, and every majority has a member that holds it.
///
/// Two answers of the same process, the first received before the instant and the second asked for
/// after it, show that the VM held the change at that instant.
///
/// ```cpp
/// AcceptanceTracker waiter(listedVms, writtenAt, {.freshnessBound = 3s});
/// waiter.onReport(report);
/// if (waiter.state(now) == AcceptanceState::Accepted) { ... }
/// ```
class AcceptanceTracker
{
public:
    AcceptanceTracker(std::span<const std::string> listedVms, Instant writtenAt,
                      AcceptanceOptions options = {});

    /// @brief Replaces the list of VMs by a newer one. VMs that left count no longer.
    void onVmList(std::span<const std::string> listedVms);

    void onReport(const AcceptanceReport &report);

    [[nodiscard]] AcceptanceState state(Instant now) const;

    /// @brief Listed VMs that have not confirmed the change.
    [[nodiscard]] std::vector<std::string> unconfirmedVms() const;

private:
    struct Member
    {
        uint64_t incarnation = 0;
        bool holds = false;
        bool canVote = false;
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
