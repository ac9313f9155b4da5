#include "teaseldrift/relay/usage_task.hpp"

#include <utility>

#include "teaseldrift/http/buffered_client.hpp"
#include "teaseldrift/relay/unresponsive_vms.hpp"
#include "teaseldrift/schema/vm_record.pb.h"

namespace teaseldrift::relay {

namespace {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;

UsageDecision toDecision(const UsageVerdict &verdict)
{
    return {.isGranted = verdict.outcome == UsageOutcome::Granted,
            .retryAfter = verdict.retryAfter,
            .grantedAt = verdict.grantedAt};
}

} // namespace

struct UsageTask::Impl
{
    http::BufferedClient calls;
    FleetState &fleet;
    telemetry::EventLog &log;
    telemetry::Metrics &metrics;
    UsageTaskOptions options;
    UnresponsiveVms unresponsive{options.unresponsiveCooldown};

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
    const Instant now = http::EventLoop::now();
    const UsageVerdict verdict = impl.fleet.usage().acquire(organisation, units, now);
    if (verdict.outcome == UsageOutcome::Granted || verdict.outcome == UsageOutcome::Refused) {
        handler(toDecision(verdict));
        return;
    }
    const schema::VmRecord *owner = impl.fleet.findVm(verdict.owner);
    http::Endpoint endpoint;
    if (owner == nullptr || impl.unresponsive.contains(owner->vm_id(), now)
        || !http::parseEndpoint(owner->peer_address(), endpoint)) {
        impl.acquireFromFallback(organisation, units, handler);
        return;
    }
    impl.query(*owner, endpoint, organisation, units, std::move(handler));
}

void UsageTask::Impl::acquireFromFallback(const std::string &organisation, double units,
                                          const Handler &handler)
{
    const UsageVerdict verdict
            = fleet.usage().acquireFallback(organisation, units, http::EventLoop::now());
    metrics.counter({"teaseldrift_usage_without_keeper_total"}).add();
    handler(toDecision(verdict));
}

void UsageTask::Impl::query(const schema::VmRecord &owner, const http::Endpoint &endpoint,
                            const std::string &organisation, double units, Handler handler)
{
    schema::UsageAsk query;
    query.set_organisation(organisation);
    query.set_units(units);
    // The owner decides later than this, so that a refund counts as older than it is.
    const Instant askedAt = http::EventLoop::now();
    calls.start(endpoint,
                {.method = "POST", .path = std::string(path), .body = query.SerializeAsString()},
                options.responseTimeout,
                [this, organisation, units, askedAt, ownerId = owner.vm_id(),
                 handler = std::move(handler)](const http::BufferedResponse &response) {
                    schema::UsageGrant grant;
                    if (response.status == statusOk && grant.ParseFromString(response.body)) {
                        unresponsive.remove(ownerId);
                        handler({.isGranted = grant.is_granted(),
                                 .retryAfter = Duration(grant.retry_after_us()),
                                 .grantedAt = askedAt});
                        return;
                    }
                    unresponsive.add(ownerId, http::EventLoop::now());
                    log.write(telemetry::EventPriority::Routine, "usage_keeper_silent",
                              {{"keeper", std::string_view(ownerId)},
                               {"organisation", std::string_view(organisation)}});
                    acquireFromFallback(organisation, units, handler);
                });
}

void UsageTask::refund(const std::string &organisation, double units, Instant grantedAt)
{
    m_impl->fleet.usage().refund(organisation, units, grantedAt, http::EventLoop::now());
}

void UsageTask::handle(http::Exchange &exchange)
{
    schema::UsageAsk query;
    if (!query.ParseFromArray(exchange.body().data(), static_cast<int>(exchange.body().size()))) {
        exchange.respond({.status = statusBadRequest});
        return;
    }
    const UsageVerdict verdict = m_impl->fleet.usage().answer(query.organisation(), query.units(),
                                                              http::EventLoop::now());
    schema::UsageGrant grant;
    grant.set_is_granted(verdict.outcome == UsageOutcome::Granted);
    grant.set_retry_after_us(verdict.retryAfter.count());
    exchange.respond({.body = grant.SerializeAsString()});
}

} // namespace teaseldrift::relay
