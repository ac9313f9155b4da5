#include "teaseldrift/relay/target_permits.hpp"

#include <utility>

#include "target_limit_messages.hpp"

namespace teaseldrift::relay {

TargetPermits::TargetPermits(http::EventLoop &loop, http::Client &peers, FleetState &fleet,
                             telemetry::EventLog &log, telemetry::Metrics &metrics)
    : m_fleet(fleet), m_metrics(metrics),
      m_limits(loop, peers, fleet,
               {.limiter = fleet.targetLimiter(),
                .path = messagePath,
                .describe =
                        [&fleet](const std::string &name) {
                            const std::optional<TargetLimit> limit
                                    = fleet.targetLimits().find(targetOfLimit(name));
                            return limit ? writeTargetLimit(*limit, http::EventLoop::now())
                                                   .SerializeAsString()
                                         : std::string();
                        },
                .learn =
                        [&fleet](const std::string &description) {
                            schema::TargetLimit message;
                            if (message.ParseFromString(description)) {
                                fleet.applyTargetLimit(message, http::EventLoop::now());
                            }
                        }},
               log, metrics,
               // Another target serves the request sooner than a VM that has just started.
               {.startupRetries = 0})
{ }

void TargetPermits::acquire(TargetLimitKey target, Duration maxWait, Handler handler)
{
    m_limits.acquire(
            limitName(target), 1.0,
            [this, target, handler = std::move(handler)](const UsageDecision &decision) {
                const char *outcome = decision.isGranted ? "granted" : "refused";
                m_metrics.counter({"teaseldrift_target_permits_total", "outcome", outcome}).add();
                if (decision.isGranted) {
                    handler({.permit
                             = TargetPermit{.target = target, .grantedAt = decision.grantedAt},
                             .wait = decision.wait});
                } else {
                    handler({.retryAfter = decision.retryAfter});
                }
            },
            maxWait);
}

void TargetPermits::refund(const TargetPermit &permit)
{
    m_limits.refund(limitName(permit.target), 1.0, permit.grantedAt);
}

} // namespace teaseldrift::relay
