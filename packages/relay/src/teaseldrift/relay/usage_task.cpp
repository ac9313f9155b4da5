#include "teaseldrift/relay/usage_task.hpp"

#include <algorithm>
#include <utility>

#include "teaseldrift/http/buffered_client.hpp"
#include "teaseldrift/relay/unresponsive_vms.hpp"
#include "teaseldrift/schema/vm_record.pb.h"

namespace teaseldrift::relay {

namespace {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;

} // namespace

struct UsageTask::Impl
{
    http::BufferedClient calls;
    FleetState &fleet;
    telemetry::EventLog &log;
    telemetry::Metrics &metrics;
    UsageTaskOptions options;
    UnresponsiveVms unresponsive{options.unresponsiveCooldown};
    /// Refunded units of requests that did not run, by organisation.
    std::map<std::string, double, std::less<>> refunded;

    void query(const schema::VmRecord &owner, const http::Endpoint &endpoint,
               const std::string &organisation, double units, Handler handler);
    void acquireFromFallback(const std::string &organisation, double units, const Handler &handler);
};

UsageTask::UsageTask(http::EventLoop &loop, http::Client &peers, FleetState &fleet,
                     telemetry::EventLog &log, telemetry::Metrics &metrics,
                     UsageTaskOptions options)
    : m_impl(new Impl{.calls = http::BufferedClient(loop, peers),
                      .fleet = fleet,
                      .log = log,
                      .metrics = metrics,
                      .options = options})
{ }

UsageTask::~UsageTask() = default;

void UsageTask::acquire(const std::string &organisation, double units, Handler handler)
{
    Impl &impl = *m_impl;
    double &refunded = impl.refunded[organisation];
    if (refunded >= units) {
        refunded -= units;
        handler({.isGranted = true});
        return;
    }
    const Instant now = http::EventLoop::now();
    if (!impl.fleet.hasLimit(organisation)) {
        handler({.isGranted = true});
        return;
    }
    const schema::VmRecord *owner = impl.fleet.usageOwner(organisation);
    if (owner == nullptr) {
        UsageLimiter &owned = impl.fleet.ownedUsageLimiter(organisation);
        const bool isGranted = owned.tryAcquire(units, now);
        handler({.isGranted = isGranted,
                 .retryAfter = isGranted ? Duration(0) : owned.timeUntilAvailable(units, now)});
        return;
    }
    http::Endpoint endpoint;
    if (impl.unresponsive.contains(owner->vm_id(), now)
        || !http::parseEndpoint(owner->peer_address(), endpoint)) {
        impl.acquireFromFallback(organisation, units, handler);
        return;
    }
    impl.query(*owner, endpoint, organisation, units, std::move(handler));
}

void UsageTask::Impl::acquireFromFallback(const std::string &organisation, double units,
                                          const Handler &handler)
{
    const Instant now = http::EventLoop::now();
    UsageLimiter &fallback = fleet.fallbackUsageLimiter(organisation);
    const bool isGranted = fallback.tryAcquire(units, now);
    metrics.counter({"teaseldrift_usage_without_keeper_total"}).add();
    handler({.isGranted = isGranted,
             .retryAfter = isGranted ? Duration(0) : fallback.timeUntilAvailable(units, now)});
}

void UsageTask::Impl::query(const schema::VmRecord &owner, const http::Endpoint &endpoint,
                            const std::string &organisation, double units, Handler handler)
{
    schema::UsageAsk query;
    query.set_organisation(organisation);
    query.set_units(units);
    calls.start(endpoint,
                {.method = "POST", .path = std::string(path), .body = query.SerializeAsString()},
                options.responseTimeout,
                [this, organisation, units, ownerId = owner.vm_id(),
                 handler = std::move(handler)](const http::BufferedResponse &response) {
                    schema::UsageGrant grant;
                    if (response.status == statusOk && grant.ParseFromString(response.body)) {
                        unresponsive.remove(ownerId);
                        handler({.isGranted = grant.is_granted(),
                                 .retryAfter = Duration(grant.retry_after_us())});
                        return;
                    }
                    unresponsive.add(ownerId, http::EventLoop::now());
                    log.write(telemetry::EventPriority::Routine, "usage_keeper_silent",
                              {{"keeper", std::string_view(ownerId)},
                               {"organisation", std::string_view(organisation)}});
                    acquireFromFallback(organisation, units, handler);
                });
}

void UsageTask::refund(const std::string &organisation, double units)
{
    m_impl->refunded[organisation] += units;
}

void UsageTask::handle(http::Exchange &exchange)
{
    schema::UsageAsk query;
    if (!query.ParseFromArray(exchange.body().data(), static_cast<int>(exchange.body().size()))) {
        exchange.respond({.status = statusBadRequest});
        return;
    }
    const Instant now = http::EventLoop::now();
    UsageLimiter &owned = m_impl->fleet.ownedUsageLimiter(query.organisation());
    schema::UsageGrant grant;
    grant.set_is_granted(owned.tryAcquire(query.units(), now));
    if (!grant.is_granted()) {
        grant.set_retry_after_us(owned.timeUntilAvailable(query.units(), now).count());
    }
    exchange.respond({.body = grant.SerializeAsString()});
}

} // namespace teaseldrift::relay
