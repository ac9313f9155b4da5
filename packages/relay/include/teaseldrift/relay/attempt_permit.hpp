#pragma once

#include <functional>
#include <optional>

#include "teaseldrift/attempts/request_state_machine.hpp"
#include "teaseldrift/relay/target_permits.hpp"
#include "teaseldrift/targets/target_selector.hpp"

namespace teaseldrift::relay {

/// @brief The permit of a request's current attempt: before it is sent, and while it is at its
/// target. Destroying it returns what it holds.
class AttemptPermit
{
public:
    explicit AttemptPermit(TargetPermits &permits) : m_permits(permits) { }
    ~AttemptPermit();
    AttemptPermit(const AttemptPermit &) = delete;
    AttemptPermit &operator=(const AttemptPermit &) = delete;

    /// @brief The target for which a permit is there that has not been used.
    [[nodiscard]] std::optional<TargetLimitKey> target() const;

    /// @brief Whether the attempt may acquire a permit: each is a query to another VM.
    [[nodiscard]] bool mayQuery(AttemptId attempt) const;
    void countQuery(AttemptId attempt);

    /// @brief Keeps a permit that was granted.
    void set(const TargetPermit &permit);

    /// @brief The attempt is sent.
    void use(Instant now);

    /// @brief The target has answered.
    void answered(bool wasRefused, const std::optional<TargetLoadReport> &load, Instant now);

    /// @brief The attempt has ended, if it was sent.
    void end(Instant now);

    /// @brief Returns a permit that was not used.
    void refund();

private:
    struct Use
    {
        TargetLimitKey target;
        HeldPermit permit;
        ConcurrencyFeedback feedback;
        std::optional<Instant> answeredAt;
    };

    TargetPermits &m_permits;
    /// Not used yet.
    std::optional<TargetPermit> m_permit;
    /// Of the attempt that is at its target.
    std::optional<Use> m_use;
    AttemptId m_attempt = 0;
    /// Permits requested for `m_attempt`.
    int m_queries = 0;
};

} // namespace teaseldrift::relay
