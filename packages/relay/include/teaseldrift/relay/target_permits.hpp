#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/http/server.hpp"
#include "teaseldrift/relay/fleet_state.hpp"
#include "teaseldrift/relay/usage_task.hpp"
#include "teaseldrift/targets/target_limits.hpp"
#include "teaseldrift/telemetry/event_log.hpp"
#include "teaseldrift/telemetry/metrics.hpp"

namespace teaseldrift::relay {

/// @brief The right to send one request to a target that names a limit.
struct TargetPermit
{
    TargetLimitKey target;
    /// Passed on to refund().
    Instant grantedAt;
};

/// @brief Decision about a permit.
struct PermitDecision
{
    /// Empty if the permit was refused.
    std::optional<TargetPermit> permit;
    /// Time to wait before the permit is used.
    Duration wait{0};
    /// Time until a permit may be granted; if it was refused.
    Duration retryAfter{0};
};

/// @brief Grants permits to send requests to targets that name a limit, across all VMs.
///
/// One VM owns the limit of each such target, and the others query it, as for the usage limits of
/// organisations. The messages describe the limit, so that a VM can own one that it had not known.
class TargetPermits
{
public:
    using Handler = std::function<void(const PermitDecision &)>;

    TargetPermits(http::EventLoop &loop, http::Client &peers, FleetState &fleet,
                  telemetry::EventLog &log, telemetry::Metrics &metrics);

    /// @brief Starts the periodic work.
    void start() { m_limits.start(); }

    /// @brief Whether an incarnation of a target names a limit.
    [[nodiscard]] bool isLimited(TargetLimitKey target) const
    {
        return m_fleet.targetLimits().of(target).has_value();
    }

    /// @brief Acquires a permit. The handler may run within the call.
    /// @param maxWait longest time after which the permit may be used
    void acquire(TargetLimitKey target, Duration maxWait, Handler handler);

    /// @brief Returns a permit that was not used.
    void refund(const TargetPermit &permit);

    [[nodiscard]] static bool isMessage(std::string_view path)
    {
        return UsageTask::isMessage(path, messagePath);
    }

    /// @brief Handles another VM's message.
    void handle(const std::shared_ptr<http::Exchange> &exchange) { m_limits.handle(exchange); }

private:
    static constexpr std::string_view messagePath = "/teaseldrift/target-limits";

    FleetState &m_fleet;
    telemetry::Metrics &m_metrics;
    UsageTask m_limits;
};

} // namespace teaseldrift::relay
