#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

#include "teaseldrift/base/milliseconds.hpp"
#include "teaseldrift/relay/frontend.hpp"

namespace teaseldrift::relay {

/// Age of a request from which its caller's connection is checked: most requests complete earlier.
inline constexpr Duration minCallerCheckAge = 100ms;

/// Reason of refusals by a VM that lacks recent changes of the configuration.
inline constexpr std::string_view outdatedConfiguration = "configuration_outdated";

/// Retry-After of a VM without a recent configuration: other VMs serve the caller at once.
inline constexpr Duration configurationRetryAfter = 300ms;

template <Dialect D>
Frontend<D>::Frontend(RelayContext &context, D dialect)
    : m_context(context), m_dialect(std::move(dialect))
{ }

template <Dialect D>
void Frontend<D>::handle(std::shared_ptr<http::Exchange> exchange)
{
    AdmittedRequest admitted{.request = m_dialect.readRequest(*exchange),
                             .arrivedAt = http::EventLoop::now()};
    announceStop(*exchange);
    if (!admit(*exchange, admitted) || refuseLate(*exchange, admitted)
        || refuseQuarantined(*exchange, admitted)) {
        return;
    }
    if (admitted.organisation == nullptr) {
        startRequest(std::move(exchange), std::move(admitted));
        return;
    }
    const std::string organisation = admitted.organisation->name;
    const double cost = admitted.cost;
    ++m_admissions;
    m_context.usage.acquire(organisation, cost,
                            [this, exchange = std::move(exchange),
                             admitted = std::move(admitted)](UsageDecision decision) mutable {
                                --m_admissions;
                                onUsageDecision(std::move(exchange), std::move(admitted), decision);
                            });
}

template <Dialect D>
void Frontend<D>::onUsageDecision(std::shared_ptr<http::Exchange> exchange,
                                  AdmittedRequest admitted, UsageDecision decision)
{
    announceStop(*exchange);
    if (decision.isGranted) {
        admitted.grantedAt = decision.grantedAt;
        startRequest(std::move(exchange), std::move(admitted));
        return;
    }
    constexpr int tooMany = 429;
    refuse(*exchange, admitted.request,
           {.status = tooMany,
            .reason = "over_limit",
            .retryAfter = decision.retryAfter,
            .organisation = admitted.organisation->name,
            .cost = admitted.cost});
}

template <Dialect D>
void Frontend<D>::startRequest(std::shared_ptr<http::Exchange> exchange, AdmittedRequest admitted)
{
    // The stop may have begun while the request waited for its admission.
    if (refuseLate(*exchange, admitted)) {
        if (admitted.organisation != nullptr) {
            m_context.usage.refund(admitted.organisation->name, admitted.cost, admitted.grantedAt);
        }
        return;
    }
    const uint64_t number = ++m_lastTask;
    const std::shared_ptr<RequestTask<D>> task = std::make_shared<RequestTask<D>>(
            m_context, m_dialect, std::move(exchange), std::move(admitted),
            [this, number] { taskEnded(number); });
    m_tasks.emplace(number, task);
    if (m_answerBy) {
        task->answerBy(*m_answerBy);
    }
    task->start();
}

template <Dialect D>
bool Frontend<D>::admit(http::Exchange &exchange, AdmittedRequest &admitted)
{
    constexpr int unavailable = 503;
    constexpr int badRequest = 400;
    constexpr int unauthorized = 401;
    constexpr int notFound = 404;
    constexpr int tooLarge = 413;
    const CallerRequest &request = admitted.request;
    admitted.table = m_context.fleet.table();
    const ConfigurationFreshness &freshness = m_context.fleet.configurationFreshness();
    if (admitted.table == nullptr || freshness.isBehind(admitted.arrivedAt)) {
        refuse(exchange, request,
               {.status = unavailable,
                .reason = admitted.table == nullptr ? "no_configuration" : outdatedConfiguration,
                .retryAfter = configurationRetryAfter});
        return false;
    }
    // A route or key that is missing here may have been added since.
    const auto refuseUnknown = [&](int status, std::string_view reason) {
        if (freshness.isOutdated(admitted.arrivedAt)) {
            refuse(exchange, request,
                   {.status = unavailable,
                    .reason = outdatedConfiguration,
                    .retryAfter = configurationRetryAfter});
        } else {
            refuse(exchange, request, {.status = status, .reason = reason});
        }
    };
    const FleetDefinition &definition = admitted.table->definition();
    if (request.host.empty()) {
        refuse(exchange, request, {.status = badRequest, .reason = "no_host"});
        return false;
    }
    admitted.route = admitted.table->findRoute(request.host, request.path);
    if (admitted.route == nullptr) {
        refuseUnknown(notFound, "no_route");
        return false;
    }
    if (exchange.body().size() > definition.limits.maxBodyBytes) {
        refuse(exchange, request, {.status = tooLarge, .reason = "body_too_large"});
        return false;
    }
    if (admitted.route->allowsAnonymous || definition.organisations.empty()) {
        return true;
    }
    admitted.organisation = admitted.table->findOrganisation(request.key);
    if (admitted.organisation == nullptr) {
        refuseUnknown(unauthorized, "unknown_key");
        return false;
    }
    admitted.cost = costOf(request, *admitted.organisation);
    return true;
}

template <Dialect D>
bool Frontend<D>::refuseQuarantined(http::Exchange &exchange, AdmittedRequest &admitted)
{
    const Instant now = http::EventLoop::now();
    const CallerRequest &request = admitted.request;
    SegmentQuarantine &quarantine = m_context.fleet.quarantine();
    const QuarantinedSegments *quarantined = quarantine.find(request.model, request.segments, now);
    if (quarantined == nullptr) {
        return false;
    }
    const std::string segments = segmentIds(quarantined->segments);
    if (quarantine.isTrialDue(*quarantined, now) && m_context.fleet.isAmongFirst(segments, 1)) {
        quarantine.startTrial(*quarantined, now);
        m_context.log.write(telemetry::EventPriority::Important, "quarantine_trial",
                            {{"request_id", std::string_view(request.id)},
                             {"segments", std::string_view(segments)},
                             {"crashes", static_cast<int64_t>(quarantined->crashes)}});
        admitted.isTrial = true;
        return false;
    }
    constexpr int unavailable = 503;
    refuse(exchange, request,
           {.status = unavailable,
            .reason = "quarantined",
            .retryAfter = quarantineRetryAfter(*quarantined, now),
            .segments = segments});
    return true;
}

template <Dialect D>
void Frontend<D>::announceStop(http::Exchange &exchange)
{
    if (m_answerBy || m_context.fleet.isLeaving()) {
        exchange.closeAfterResponse();
    }
}

/// Decides by the longest time that the request may take, not by an average: a response that takes
/// longer than usual would be cut off when this process ends.
template <Dialect D>
bool Frontend<D>::refuseLate(http::Exchange &exchange, const AdmittedRequest &admitted)
{
    const Duration longest = allowedTime(admitted.request, *admitted.route);
    if (!m_answerBy || admitted.arrivedAt + longest <= *m_answerBy) {
        return false;
    }
    constexpr int unavailable = 503;
    // Another VM can serve the caller at once.
    constexpr Duration retryAfter = 50ms;
    refuse(exchange, admitted.request,
           {.status = unavailable, .reason = "stopping", .retryAfter = retryAfter});
    return true;
}

template <Dialect D>
void Frontend<D>::answerBy(Instant time)
{
    m_answerBy = time;
    for (const std::pair<const uint64_t, std::shared_ptr<RequestTask<D>>> &entry : m_tasks) {
        entry.second->answerBy(time);
    }
}

template <Dialect D>
double Frontend<D>::costOf(const CallerRequest &request, const Organisation &organisation)
{
    if (!organisation.countsTokens) {
        return 1.0;
    }
    return request.hasTokenCounts
                   ? static_cast<double>(request.promptTokens + request.maxOutputTokens)
                   : static_cast<double>(organisation.defaultRequestTokens);
}

template <Dialect D>
void Frontend<D>::refuse(http::Exchange &exchange, const CallerRequest &request,
                         const Refusal &refusal)
{
    http::Headers headers;
    if (refusal.retryAfter > Duration(0)) {
        headers.push_back({"retry-after", std::to_string(toSeconds(refusal.retryAfter))});
    }
    exchange.respond({.status = refusal.status, .headers = std::move(headers)});
    m_context.metrics.counter({"teaseldrift_refusals_total", "reason", refusal.reason}).add();
    m_context.log.write(
            telemetry::EventPriority::Important, "request_refused",
            {{"request_id", std::string_view(request.id)},
             {"status", static_cast<int64_t>(refusal.status)},
             {"reason", refusal.reason},
             {"retry_after_s", toSeconds(refusal.retryAfter)},
             {"organisation", refusal.organisation},
             {"cost", refusal.cost},
             {"segments", refusal.segments},
             {"host", std::string_view(request.host)},
             {"path", std::string_view(request.path)},
             {"configuration",
              static_cast<int64_t>(m_context.fleet.table() == nullptr
                                           ? 0
                                           : m_context.fleet.table()->definition().version)},
             {"configuration_age_ms",
              toMs(m_context.fleet.configurationFreshness().age(http::EventLoop::now()))},
             {"configuration_from", m_context.fleet.configurationFreshness().relayedBy()}});
}

inline bool isUnread(const std::weak_ptr<http::Exchange> &weak)
{
    const std::shared_ptr<http::Exchange> exchange = weak.lock();
    return exchange != nullptr && exchange->pendingBytes() > 0;
}

template <Dialect D>
void Frontend<D>::taskEnded(uint64_t number)
{
    const auto ended = m_tasks.find(number);
    if (ended != m_tasks.end()) {
        const std::weak_ptr<http::Exchange> exchange = ended->second->exchange();
        if (isUnread(exchange)) {
            m_unread.push_back(exchange);
        }
        m_tasks.erase(ended);
    }
}

template <Dialect D>
size_t Frontend<D>::openRequests() const
{
    const ptrdiff_t unread = std::count_if(m_unread.begin(), m_unread.end(), isUnread);
    return m_tasks.size() + m_admissions + static_cast<size_t>(unread);
}

template <Dialect D>
void Frontend<D>::checkCallers()
{
    std::erase_if(m_unread, [](const std::weak_ptr<http::Exchange> &exchange) {
        return !isUnread(exchange);
    });
    const Instant now = http::EventLoop::now();
    std::vector<std::shared_ptr<RequestTask<D>>> old;
    for (const std::pair<const uint64_t, std::shared_ptr<RequestTask<D>>> &entry : m_tasks) {
        if (now - entry.second->arrivedAt() >= minCallerCheckAge) {
            old.push_back(entry.second);
        }
    }
    for (const std::shared_ptr<RequestTask<D>> &task : old) {
        task->checkCaller();
    }
}

} // namespace teaseldrift::relay
