#include "teaseldrift/relay/concurrency_owner.hpp"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace teaseldrift::relay {

using telemetry::EventPriority;

namespace {

/// Time after which a limiter without queries is dropped. Longer than the terms of most permits.
constexpr Duration unusedLifetime = 60s;

/// Upper bound of the terms that other VMs may ask for.
constexpr Duration maxTerm = 60s;

/// Retry time of queries that are refused because this VM no longer owns the limit.
constexpr Duration lostOwnershipRetryAfter = 100ms;

} // namespace

ConcurrencyOwner::ConcurrencyOwner(http::EventLoop &loop, FleetState &fleet,
                                   telemetry::EventLog &log, telemetry::Metrics &metrics)
    : m_loop(loop), m_fleet(fleet), m_log(log), m_metrics(metrics),
      m_lastId(static_cast<uint64_t>(http::EventLoop::now().time_since_epoch().count()))
{ }

ConcurrencyOwner::~ConcurrencyOwner()
{
    m_loop.cancelTimer(m_timer);
}

ConcurrencyOwner::Target &ConcurrencyOwner::targetOf(const std::string &limit, Instant now)
{
    const TargetLimitKey key = targetOfLimit(limit);
    const double refusals = m_fleet.bearableRefusals(key).value_or(1.0);
    auto found = m_targets.find(limit);
    if (found == m_targets.end()) {
        removeUnused(now);
        const TargetEntry *entry
                = m_fleet.directory().find(m_fleet.targetSelector().idOf(key.target));
        const uint32_t slots = entry == nullptr ? 1 : std::max(entry->slots, 1U);
        found = m_targets.emplace(limit, Target{.limiter = ConcurrencyLimiter({.slots = slots})})
                        .first;
    }
    found->second.limiter.setBearableRefusals(refusals);
    found->second.lastUsedAt = now;
    return found->second;
}

void ConcurrencyOwner::acquire(const ConcurrencyPermitQuery &query, Handler handler)
{
    const Instant now = http::EventLoop::now();
    Target &target = targetOf(query.limit, now);
    const uint64_t id = ++m_lastId;
    const ConcurrencyVerdict verdict
            = target.limiter.acquire({.id = id,
                                      .priority = query.priority,
                                      .maxWait = query.maxWait,
                                      .term = std::min(query.term, maxTerm)},
                                     now);
    switch (verdict.outcome) {
    case ConcurrencyOutcome::Granted:
        m_metrics.counter({"teaseldrift_concurrency_permits_total", "outcome", "granted"}).add();
        handler({.permit = id});
        return;
    case ConcurrencyOutcome::Refused:
        m_metrics.counter({"teaseldrift_concurrency_permits_total", "outcome", "refused"}).add();
        handler({.retryAfter = verdict.retryAfter});
        return;
    case ConcurrencyOutcome::Waiting:
        break;
    }
    target.waiting.emplace(
            id, WaitingQuery{.isSenderGone = query.isSenderGone, .handler = std::move(handler)});
    armTimer();
}

void ConcurrencyOwner::release(std::string_view limit, uint64_t permit,
                               const ConcurrencyFeedback &feedback)
{
    const auto found = m_targets.find(limit);
    if (found == m_targets.end()) {
        return;
    }
    ConcurrencyLimiter &limiter = found->second.limiter;
    const size_t before = limiter.limit();
    limiter.release(permit, feedback, http::EventLoop::now());
    if (limiter.limit() < before) {
        m_log.write(EventPriority::Important, "concurrency_lowered",
                    {{"limit", limit},
                     {"requests", static_cast<int64_t>(limiter.limit())},
                     {"before", static_cast<int64_t>(before)},
                     {"running", static_cast<int64_t>(feedback.running.value_or(0))},
                     {"waiting", static_cast<int64_t>(feedback.waiting)}});
    }
    decide(found->first);
}

void ConcurrencyOwner::cancel(std::string_view limit, uint64_t permit)
{
    const auto found = m_targets.find(limit);
    // Only granted permits are returned, whatever a message names.
    if (found != m_targets.end() && !found->second.waiting.contains(permit)) {
        found->second.limiter.cancel(permit, http::EventLoop::now());
        decide(found->first);
    }
}

/// Answers the queries that are decided by now.
void ConcurrencyOwner::decide(const std::string &limit)
{
    const Instant now = http::EventLoop::now();
    Target &target = m_targets.find(limit)->second;
    if (target.waiting.empty()) {
        return;
    }
    if (!m_fleet.concurrencyOwnership().isOwner(limit, now)) {
        refuseAll(target);
        return;
    }
    std::vector<std::pair<Handler, ConcurrencyPermitDecision>> answers;
    // A permit whose sender is gone is for the next one.
    for (bool isAgain = true; isAgain;) {
        isAgain = false;
        for (const std::pair<uint64_t, ConcurrencyVerdict> &decision :
             target.limiter.takeDecisions(now)) {
            const auto query = target.waiting.find(decision.first);
            const bool isGranted = decision.second.outcome == ConcurrencyOutcome::Granted;
            if (isGranted && query->second.isSenderGone && query->second.isSenderGone()) {
                target.limiter.cancel(decision.first, now);
                isAgain = true;
            } else {
                const char *outcome = isGranted ? "granted_later" : "refused";
                m_metrics.counter({"teaseldrift_concurrency_permits_total", "outcome", outcome})
                        .add();
                answers.emplace_back(
                        std::move(query->second.handler),
                        ConcurrencyPermitDecision{.permit = isGranted ? decision.first : 0,
                                                  .retryAfter = decision.second.retryAfter});
            }
            target.waiting.erase(query);
        }
    }
    armTimer();
    // A handler may acquire or release permits.
    for (const std::pair<Handler, ConcurrencyPermitDecision> &answer : answers) {
        answer.first(answer.second);
    }
}

void ConcurrencyOwner::refuseAll(Target &target)
{
    const Instant now = http::EventLoop::now();
    for (const std::pair<const uint64_t, WaitingQuery> &query : std::exchange(target.waiting, {})) {
        target.limiter.cancel(query.first, now);
        query.second.handler({.retryAfter = lostOwnershipRetryAfter});
    }
}

void ConcurrencyOwner::decideDue()
{
    const Instant now = http::EventLoop::now();
    std::vector<std::string> due;
    for (const std::pair<const std::string, Target> &target : m_targets) {
        const std::optional<Instant> next = target.second.limiter.nextDecision();
        if (next && *next <= now) {
            due.push_back(target.first);
        }
    }
    for (const std::string &limit : due) {
        if (m_targets.contains(limit)) {
            decide(limit);
        }
    }
    armTimer();
}

void ConcurrencyOwner::armTimer()
{
    m_loop.cancelTimer(m_timer);
    m_timer = 0;
    std::optional<Instant> next;
    for (const std::pair<const std::string, Target> &target : m_targets) {
        const std::optional<Instant> due = target.second.limiter.nextDecision();
        if (due) {
            next = std::min(next.value_or(*due), *due);
        }
    }
    if (next) {
        m_timer = m_loop.startTimer(std::max<Duration>(*next - http::EventLoop::now(), Duration(0)),
                                    [this] {
                                        m_timer = 0;
                                        decideDue();
                                    });
    }
}

void ConcurrencyOwner::removeUnused(Instant now)
{
    std::erase_if(m_targets, [now](const std::pair<const std::string, Target> &target) {
        return target.second.waiting.empty() && now - target.second.lastUsedAt > unusedLifetime;
    });
}

} // namespace teaseldrift::relay
