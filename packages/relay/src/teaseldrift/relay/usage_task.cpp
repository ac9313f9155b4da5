#include "teaseldrift/relay/usage_task.hpp"

#include <algorithm>
#include <utility>

#include "teaseldrift/http/whole_calls.hpp"
#include "teaseldrift/relay/silent_vms.hpp"
#include "teaseldrift/schema/vm_record.pb.h"

namespace teaseldrift::relay {

namespace {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;

} // namespace

struct UsageTask::Impl
{
    http::WholeCalls calls;
    FleetState &fleet;
    telemetry::EventLog &log;
    telemetry::Metrics &metrics;
    UsageTaskOptions options;
    SilentVms silent{options.pauseAfterSilence};
    /// Units of requests that did not run, by organisation.
    std::map<std::string, double, std::less<>> returned;

    void ask(const schema::VmRecord &keeper, const http::Endpoint &endpoint,
             const std::string &organisation, double units, Handler handler);
    void takeOwnPart(const std::string &organisation, double units, const Handler &handler);
};

UsageTask::UsageTask(http::EventLoop &loop, http::Client &peers, FleetState &fleet,
                     telemetry::EventLog &log, telemetry::Metrics &metrics,
                     UsageTaskOptions options)
    : m_impl(new Impl{.calls = http::WholeCalls(loop, peers),
                      .fleet = fleet,
                      .log = log,
                      .metrics = metrics,
                      .options = options})
{ }

UsageTask::~UsageTask() = default;

void UsageTask::take(const std::string &organisation, double units, Handler handler)
{
    Impl &impl = *m_impl;
    double &returned = impl.returned[organisation];
    if (returned >= units) {
        returned -= units;
        handler({.isGranted = true});
        return;
    }
    const Instant now = http::EventLoop::now();
    if (!impl.fleet.hasLimit(organisation)) {
        handler({.isGranted = true});
        return;
    }
    const schema::VmRecord *keeper = impl.fleet.usageKeeper(organisation);
    if (keeper == nullptr) {
        UsageLimiter &kept = impl.fleet.keptUsage(organisation);
        const bool isGranted = kept.tryAcquire(units, now);
        handler({.isGranted = isGranted,
                 .retryAfter = isGranted ? Duration(0) : kept.timeUntilAvailable(units, now)});
        return;
    }
    http::Endpoint endpoint;
    if (impl.silent.contains(keeper->vm_id(), now)
        || !http::parseEndpoint(keeper->peer_address(), endpoint)) {
        impl.takeOwnPart(organisation, units, handler);
        return;
    }
    impl.ask(*keeper, endpoint, organisation, units, std::move(handler));
}

void UsageTask::Impl::takeOwnPart(const std::string &organisation, double units,
                                  const Handler &handler)
{
    const Instant now = http::EventLoop::now();
    UsageLimiter &part = fleet.ownUsage(organisation);
    const bool isGranted = part.tryAcquire(units, now);
    metrics.counter({"teaseldrift_usage_without_keeper_total"}).add();
    handler({.isGranted = isGranted,
             .retryAfter = isGranted ? Duration(0) : part.timeUntilAvailable(units, now)});
}

void UsageTask::Impl::ask(const schema::VmRecord &keeper, const http::Endpoint &endpoint,
                          const std::string &organisation, double units, Handler handler)
{
    schema::UsageAsk ask;
    ask.set_organisation(organisation);
    ask.set_units(units);
    calls.start(endpoint,
                {.method = "POST", .path = std::string(path), .body = ask.SerializeAsString()},
                options.answerTimeout,
                [this, organisation, units, keeperId = keeper.vm_id(),
                 handler = std::move(handler)](const http::WholeAnswer &answer) {
                    schema::UsageGrant grant;
                    if (answer.status == statusOk && grant.ParseFromString(answer.body)) {
                        silent.remove(keeperId);
                        handler({.isGranted = grant.is_granted(),
                                 .retryAfter = Duration(grant.retry_after_us())});
                        return;
                    }
                    silent.add(keeperId, http::EventLoop::now());
                    log.write(telemetry::EventWeight::Routine, "usage_keeper_silent",
                              {{"keeper", std::string_view(keeperId)},
                               {"organisation", std::string_view(organisation)}});
                    takeOwnPart(organisation, units, handler);
                });
}

void UsageTask::giveBack(const std::string &organisation, double units)
{
    m_impl->returned[organisation] += units;
}

void UsageTask::answer(http::Exchange &exchange)
{
    schema::UsageAsk ask;
    if (!ask.ParseFromArray(exchange.body().data(), static_cast<int>(exchange.body().size()))) {
        exchange.respond({.status = statusBadRequest});
        return;
    }
    const Instant now = http::EventLoop::now();
    UsageLimiter &kept = m_impl->fleet.keptUsage(ask.organisation());
    schema::UsageGrant grant;
    grant.set_is_granted(kept.tryAcquire(ask.units(), now));
    if (!grant.is_granted()) {
        grant.set_retry_after_us(kept.timeUntilAvailable(ask.units(), now).count());
    }
    exchange.respond({.body = grant.SerializeAsString()});
}

} // namespace teaseldrift::relay
