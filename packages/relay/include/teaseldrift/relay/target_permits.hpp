#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/http/server.hpp"
#include "teaseldrift/relay/concurrency_owner.hpp"
#include "teaseldrift/relay/fleet_state.hpp"
#include "teaseldrift/relay/usage_task.hpp"
#include "teaseldrift/targets/target_limits.hpp"
#include "teaseldrift/telemetry/event_log.hpp"
#include "teaseldrift/telemetry/metrics.hpp"

namespace teaseldrift::relay {

/// @brief A permit that is held while a request is at a brittle target.
struct HeldPermit
{
    uint64_t id = 0;
    /// The VM that granted it; empty for this VM.
    std::string owner;
};

/// @brief The right to send one request to a target that names a limit or is brittle.
struct TargetPermit
{
    TargetLimitKey target;
    /// When a request within the target's rate was granted; empty if it names no rate.
    std::optional<Instant> grantedAt;
    std::optional<HeldPermit> held;
};

/// @brief What a permit is needed for.
struct TargetPermitQuery
{
    TargetLimitKey target;
    /// Longest time after which the permit may be used.
    Duration maxWait{0};
    /// 0 is the most urgent.
    uint32_t priority = 0;
    /// Time until the request's deadline, at which the target ends it.
    Duration term{0};
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
    /// Time for which this VM need not ask again; if it was refused.
    Duration pause{0};
};

/// @brief Grants permits to send requests to targets, across all VMs: a rate where the target names
/// a limit, a number of requests at once where it is brittle.
///
/// One VM owns each limit, and the others query it, as for the usage limits of organisations. The
/// messages describe the limit, so that a VM can own one that it had not known.
class TargetPermits
{
public:
    using Handler = std::function<void(const PermitDecision &)>;

    TargetPermits(http::EventLoop &loop, http::Client &peers, FleetState &fleet,
                  telemetry::EventLog &log, telemetry::Metrics &metrics);

    /// @brief Starts the periodic work.
    void start();

    /// @brief Whether an incarnation of a target names a rate, which everything that is sent to it
    /// counts towards.
    [[nodiscard]] bool hasRate(TargetLimitKey target) const
    {
        return m_fleet.targetLimits().of(target).has_value();
    }

    /// @brief Whether requests to an incarnation of a target need a permit.
    [[nodiscard]] bool isLimited(TargetLimitKey target) const
    {
        return hasRate(target) || m_fleet.bearableRefusals(target).has_value();
    }

    /// @brief Acquires a permit for a request. The handler may run within the call.
    void acquire(const TargetPermitQuery &query, Handler handler);

    /// @brief Acquires a permit for a call that takes no room at the target.
    /// @param maxWait longest time after which the permit may be used
    void acquireRate(TargetLimitKey target, Duration maxWait, Handler handler);

    /// @brief Returns a permit that was not used.
    void refund(const TargetPermit &permit);

    /// @brief The request with a held permit has ended.
    void release(TargetLimitKey target, const HeldPermit &permit,
                 const ConcurrencyFeedback &feedback);

    [[nodiscard]] static bool isMessage(std::string_view path)
    {
        return UsageTask::isMessage(path, ratePath) || UsageTask::isMessage(path, concurrencyPath);
    }

    /// @brief Handles another VM's message.
    void handle(const std::shared_ptr<http::Exchange> &exchange);

private:
    static constexpr std::string_view ratePath = "/teaseldrift/target-limits";
    static constexpr std::string_view concurrencyPath = "/teaseldrift/target-concurrency";

    void onHeldPermitDecided(const TargetPermitQuery &query, Instant askedAt,
                             const UsageDecision &decision, const Handler &handler);

    FleetState &m_fleet;
    telemetry::Metrics &m_metrics;
    ConcurrencyOwner m_concurrencyOwner;
    UsageTask m_rates;
    UsageTask m_concurrency;
};

} // namespace teaseldrift::relay
