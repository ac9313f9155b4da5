#include "teaseldrift/relay/target_permits.hpp"

#include <algorithm>
#include <utility>

#include "target_limit_messages.hpp"

namespace teaseldrift::relay {

namespace {

/// A target ends a request at its deadline, as it reads it: somewhat later than its sender does.
constexpr Duration termMargin = 200ms;

std::string describe(const std::optional<TargetLimit> &limit)
{
    return limit ? writeTargetLimit(*limit, http::EventLoop::now()).SerializeAsString()
                 : std::string();
}

SharedLimits rateLimits(FleetState &fleet, std::string_view path)
{
    return {.limiter = fleet.targetLimiter(),
            .path = path,
            .describe =
                    [&fleet](const std::string &name) {
                        return describe(fleet.targetLimits().find(targetOfLimit(name)));
                    },
            .learn =
                    [&fleet](const std::string &description) {
                        schema::TargetLimit message;
                        if (message.ParseFromString(description)) {
                            fleet.applyTargetLimit(message, http::EventLoop::now());
                        }
                    }};
}

SharedLimits concurrencyLimits(FleetState &fleet, ConcurrencyOwner &owner, std::string_view path)
{
    return {.limiter = fleet.concurrencyOwnership(),
            .path = path,
            .describe = [&fleet](const std::string &name) -> std::string {
                const TargetEntry *target = fleet.directory().find(
                        fleet.targetSelector().idOf(targetOfLimit(name).target));
                return target == nullptr ? std::string()
                                         : describe(fleet.brittleServices().find(
                                                 brittleServiceKey(target->service)));
            },
            .learn =
                    [&fleet](const std::string &description) {
                        schema::TargetLimit message;
                        if (message.ParseFromString(description)) {
                            fleet.applyBrittleService(message, http::EventLoop::now());
                        }
                        static_cast<void>(fleet.concurrencyOwnership());
                    },
            .permits = &owner};
}

} // namespace

TargetPermits::TargetPermits(http::EventLoop &loop, http::Client &peers, FleetState &fleet,
                             telemetry::EventLog &log, telemetry::Metrics &metrics)
    : m_fleet(fleet), m_metrics(metrics), m_concurrencyOwner(loop, fleet, log, metrics),
      // Another target serves the request sooner than a VM that has just started.
      m_rates(loop, peers, fleet, rateLimits(fleet, ratePath), log, metrics, {.startupRetries = 0}),
      m_concurrency(loop, peers, fleet,
                    concurrencyLimits(fleet, m_concurrencyOwner, concurrencyPath), log, metrics,
                    {.startupRetries = 0})
{ }

void TargetPermits::start()
{
    m_rates.start();
    m_concurrency.start();
}

void TargetPermits::acquire(const TargetPermitQuery &query, Handler handler)
{
    if (!m_fleet.bearableRefusals(query.target)) {
        acquireRate(query.target, query.maxWait, std::move(handler));
        return;
    }
    // Brings the targets up to date whose limits have owners.
    static_cast<void>(m_fleet.concurrencyOwnership());
    const Instant askedAt = http::EventLoop::now();
    m_concurrency.acquire(
            limitName(query.target),
            {.maxWait = query.maxWait, .priority = query.priority, .term = query.term + termMargin},
            [this, query, askedAt, handler = std::move(handler)](const UsageDecision &decision) {
                onHeldPermitDecided(query, askedAt, decision, handler);
            });
}

/// Acquires a request within the target's rate, too, if it names one.
void TargetPermits::onHeldPermitDecided(const TargetPermitQuery &query, Instant askedAt,
                                        const UsageDecision &decision, const Handler &handler)
{
    if (!decision.isGranted) {
        // The queries that wait end one after the other, so that there is room long before all
        // have.
        constexpr Duration minPause = 30ms;
        constexpr int waitFraction = 10;
        handler({.retryAfter = decision.retryAfter,
                 .pause
                 = std::min(decision.retryAfter, minPause + decision.retryAfter / waitFraction)});
        return;
    }
    TargetPermit permit{.target = query.target};
    if (decision.permit != 0) {
        permit.held = HeldPermit{.id = decision.permit, .owner = decision.permitOwner};
    }
    if (!hasRate(query.target)) {
        handler({.permit = permit});
        return;
    }
    const Duration left
            = std::max<Duration>(Duration(0), query.maxWait - (http::EventLoop::now() - askedAt));
    acquireRate(query.target, left, [this, permit, handler](PermitDecision rate) {
        if (rate.permit) {
            rate.permit->held = permit.held;
        } else {
            refund(permit);
        }
        handler(rate);
    });
}

void TargetPermits::acquireRate(TargetLimitKey target, Duration maxWait, Handler handler)
{
    m_rates.acquire(
            limitName(target), {.maxWait = maxWait},
            [this, target, handler = std::move(handler)](const UsageDecision &decision) {
                const char *outcome = decision.isGranted ? "granted" : "refused";
                m_metrics.counter({"teaseldrift_target_permits_total", "outcome", outcome}).add();
                if (decision.isGranted) {
                    handler({.permit
                             = TargetPermit{.target = target, .grantedAt = decision.grantedAt},
                             .wait = decision.wait});
                } else {
                    handler({.retryAfter = decision.retryAfter, .pause = decision.retryAfter});
                }
            });
}

void TargetPermits::refund(const TargetPermit &permit)
{
    const std::string limit = limitName(permit.target);
    if (permit.held) {
        m_concurrency.release(limit, permit.held->owner, permit.held->id, std::nullopt);
    }
    if (permit.grantedAt) {
        m_rates.refund(limit, 1.0, *permit.grantedAt);
    }
}

void TargetPermits::release(TargetLimitKey target, const HeldPermit &permit,
                            const ConcurrencyFeedback &feedback)
{
    m_concurrency.release(limitName(target), permit.owner, permit.id, feedback);
}

void TargetPermits::handle(const std::shared_ptr<http::Exchange> &exchange)
{
    if (UsageTask::isMessage(exchange->path(), concurrencyPath)) {
        m_concurrency.handle(exchange);
    } else {
        m_rates.handle(exchange);
    }
}

} // namespace teaseldrift::relay
