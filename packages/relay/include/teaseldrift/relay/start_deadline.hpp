#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "teaseldrift/relay/fleet_state.hpp"

namespace teaseldrift::relay {

/// @brief Latest time at which an attempt's request may still wait at its target, whose weights may
/// be replaced meanwhile.
///
/// A target compares weights when a request arrives. One that then waits in the target's queue
/// could begin later than older weights may be used, so it is withdrawn shortly before.
class StartDeadline
{
public:
    explicit StartDeadline(const FleetState &fleet) : m_fleet(fleet) { }

    /// Time before FleetState::latestStart() at which a request is withdrawn: covers the way of the
    /// withdrawal to the target, through another VM too, and delays of this VM.
    static constexpr Duration margin = 500ms;

    /// @brief Whether a request that is expected to wait this long may begin too late.
    /// @param weights version that the target has; 0 if it has none
    [[nodiscard]] bool mayBeMissed(std::string_view model, uint64_t weights, Duration expectedWait,
                                   Instant now) const;

    /// @brief The request is sent to a target with a version of the model's weights.
    void start(std::string_view model, uint64_t weights, Instant now);

    /// @brief The request has begun, or its attempt has ended.
    void clear() { m_nextCheck.reset(); }

    /// @brief When to call hasPassed(); empty if not at all.
    [[nodiscard]] std::optional<Instant> nextCheck() const { return m_nextCheck; }

    /// @brief Whether the request must be withdrawn now.
    [[nodiscard]] bool hasPassed(Instant now);

private:
    [[nodiscard]] std::optional<Instant> latestWithdrawal() const;

    const FleetState &m_fleet;
    std::string m_model;
    uint64_t m_weights = 0;
    std::optional<Instant> m_nextCheck;
};

} // namespace teaseldrift::relay
