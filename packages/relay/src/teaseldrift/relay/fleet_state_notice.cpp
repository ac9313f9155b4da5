#include <algorithm>
#include <utility>
#include <vector>

#include "target_limit_messages.hpp"
#include "teaseldrift/base/milliseconds.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/relay/fleet_state.hpp"

namespace teaseldrift::relay {

using telemetry::EventPriority;

void FleetState::applyNotice(std::string_view target, uint64_t startedAtMs,
                             const TargetNotice &notice, Instant now, std::optional<Instant> sentAt)
{
    logInvalid(target, notice.invalidLeaving);
    logInvalid(target, notice.invalidQuietTime);
    logInvalid(target, notice.invalidLimit);
    logInvalid(target, notice.invalidRefusals);
    applyBearableRefusals(target, notice, sentAt, now);
    const uint64_t incarnation
            = respondingIncarnation(target, startedAtMs, sentAt.value_or(now), now);
    applyLimit(target, incarnation, notice, sentAt, now);
    const TargetEntry *known = m_directory.find(target);
    const bool isReplaced = known != nullptr && known->startedAtMs != incarnation;
    if (notice.quietTime > Duration(0) && !isReplaced) {
        m_targetSelector.startQuietPeriod(target, incarnation, notice.quietTime, now);
        m_log.write(EventPriority::Routine, "target_quiet",
                    {{"target", target}, {"quiet_ms", toMs(notice.quietTime)}});
    }
    if (notice.isLeaving && m_directory.markLeaving(target, startedAtMs) == TargetChange::Changed) {
        const TargetEntry &entry = *m_directory.find(target);
        m_targetSelector.update(entry, TargetChange::Changed, now);
        logTarget(entry, TargetChange::Changed);
    }
}

void FleetState::applyLimit(std::string_view target, uint64_t startedAtMs,
                            const TargetNotice &notice, std::optional<Instant> sentAt, Instant now)
{
    const TargetLimitKey key = limitKeyOf(target, startedAtMs);
    const bool hasChanged
            = notice.requestsPerSecond ? m_targetLimits.named(key, *notice.requestsPerSecond, now)
              : notice.wouldNameLimit && sentAt ? m_targetLimits.notNamed(key, *sentAt, now)
                                                : false;
    if (hasChanged) {
        logLimit(target, key, "response");
        updateTargetLimiter(now);
    }
}

void FleetState::applyBearableRefusals(std::string_view target, const TargetNotice &notice,
                                       std::optional<Instant> sentAt, Instant now)
{
    const TargetEntry *entry = m_directory.find(target);
    if (entry == nullptr || (!notice.bearableRefusals && m_brittleServices.count() == 0)) {
        return;
    }
    const TargetLimitKey key = brittleServiceKey(entry->service);
    const bool hasChanged
            = notice.bearableRefusals ? m_brittleServices.named(key, *notice.bearableRefusals, now)
              : notice.wouldNameRefusals && sentAt ? m_brittleServices.notNamed(key, *sentAt, now)
                                                   : false;
    if (hasChanged) {
        brittleServiceChanged(entry->service, "response", now);
    }
}

void FleetState::applyBrittleService(const schema::TargetLimit &message, Instant now)
{
    const std::optional<TargetLimit> limit = readTargetLimit(message, now);
    if (!limit || m_table == nullptr) {
        return;
    }
    for (const Service &service : m_table->definition().services) {
        if (brittleServiceKey(service.name) == limit->key && m_brittleServices.merge(*limit, now)) {
            brittleServiceChanged(service.name, "vm", now);
        }
    }
}

void FleetState::brittleServiceChanged(std::string_view service, std::string_view source,
                                       Instant now)
{
    m_targetLimitsChangedAt = now;
    m_isConcurrencyOutdated = true;
    m_log.write(
            EventPriority::Important, "brittle_service",
            {{"service", service},
             {"bearable_refusals", m_brittleServices.of(brittleServiceKey(service)).value_or(-1.0)},
             {"source", source}});
}

std::optional<double> FleetState::bearableRefusals(TargetLimitKey target) const
{
    if (m_brittleServices.count() == 0) {
        return std::nullopt;
    }
    const TargetEntry *entry = m_directory.find(m_targetSelector.idOf(target.target));
    return entry == nullptr ? std::nullopt
                            : m_brittleServices.of(brittleServiceKey(entry->service));
}

DistributedUsageLimiter &FleetState::concurrencyOwnership()
{
    updateConcurrencyOwnership(http::EventLoop::now());
    return m_concurrencyOwnership;
}

void FleetState::updateConcurrencyOwnership(Instant now)
{
    if (!std::exchange(m_isConcurrencyOutdated, false)) {
        return;
    }
    // Never reached, so that the owner is granted all units.
    constexpr double unlimited = 1e12;
    std::vector<OrganisationLimit> limits;
    if (m_brittleServices.count() > 0) {
        for (const std::pair<const std::string, TargetEntry> &target : m_directory.all()) {
            if (m_brittleServices.of(brittleServiceKey(target.second.service))) {
                limits.push_back({.organisation
                                  = limitName(limitKeyOf(target.first, target.second.startedAtMs)),
                                  .unitsPerSecond = unlimited,
                                  .burst = unlimited});
            }
        }
    }
    m_concurrencyOwnership.setLimits(limits, now);
}

void FleetState::applyTargetLimit(const schema::TargetLimit &message, Instant now)
{
    const std::optional<TargetLimit> limit = readTargetLimit(message, now);
    if (!limit) {
        return;
    }
    const std::string_view id = m_targetSelector.idOf(limit->key.target);
    const TargetEntry *target = m_directory.find(id);
    // VMs learn at different times that a target is gone; its limit must not come back from
    // another.
    const bool isPresent = target != nullptr && target->startedAtMs == limit->key.startedAtMs;
    if (isPresent && m_targetLimits.merge(*limit, now)) {
        logLimit(id, limit->key, "vm");
        updateTargetLimiter(now);
    }
}

void FleetState::logLimit(std::string_view target, TargetLimitKey key, std::string_view source)
{
    m_log.write(EventPriority::Important, "target_limit",
                {{"target", target},
                 {"incarnation", static_cast<int64_t>(key.startedAtMs)},
                 {"per_second", m_targetLimits.of(key).value_or(-1.0)},
                 {"source", source}});
}

/// Time from which an incarnation may have responded, by the wall clock.
std::optional<Instant> FleetState::respondsSince(const TargetEntry &target, Instant now) const
{
    if (!m_options.unixMs) {
        return std::nullopt;
    }
    // The registration may state any number.
    constexpr Duration maxAge = std::chrono::hours(24);
    const uint64_t unixMs = static_cast<uint64_t>(std::max<int64_t>(0, m_options.unixMs()));
    const uint64_t ageMs = std::min(unixMs - std::min(unixMs, target.startedAtMs),
                                    static_cast<uint64_t>(maxAge / 1ms));
    return now - ageMs * Duration(1ms) - m_options.clockTolerance;
}

/// Incarnation that has responded. It differs from the one that was sent the request if the
/// registration of a restart was read meanwhile.
uint64_t FleetState::respondingIncarnation(std::string_view target, uint64_t startedAtMs,
                                           Instant sentAt, Instant now) const
{
    const TargetEntry *known = m_directory.find(target);
    if (known == nullptr || known->startedAtMs == startedAtMs) {
        return startedAtMs;
    }
    const std::optional<Instant> since = respondsSince(*known, now);
    return since && sentAt >= *since ? known->startedAtMs : startedAtMs;
}

/// Keeps what a new incarnation stated before its registration was read, and drops the rest.
void FleetState::keepStatements(const TargetEntry &target, Instant now)
{
    const std::optional<Instant> since = respondsSince(target, now);
    if (!since) {
        removeLimits(target.id, now);
        return;
    }
    m_targetSelector.keepQuietPeriod(target.id, target.startedAtMs, *since);
    if (m_targetLimits.restarted(limitKeyOf(target.id, target.startedAtMs), *since)) {
        updateTargetLimiter(now);
    }
}

void FleetState::removeLimits(std::string_view target, Instant now)
{
    if (m_targetLimits.remove(targetKeyOf(target))) {
        updateTargetLimiter(now);
    }
}

void FleetState::updateTargetLimiter(Instant now)
{
    m_targetLimitsChangedAt = now;
    std::vector<OrganisationLimit> limits;
    for (const TargetLimit &limit : m_targetLimits.statements(now)) {
        if (limit.perSecond) {
            limits.push_back({.organisation = limitName(limit.key),
                              .unitsPerSecond = *limit.perSecond,
                              .burst = 1.0});
        } else {
            m_targetSelector.setPermitAvailable(limit.key.target, now);
        }
    }
    m_targetLimiter.setLimits(limits, now);
}

void FleetState::countTargetCall(std::string_view target, uint64_t startedAtMs, TargetCall call)
{
    if (m_targetLimits.of(limitKeyOf(target, startedAtMs))) {
        ++m_limitedTargetCalls[static_cast<size_t>(call)];
    }
}

void FleetState::logInvalid(std::string_view target, const std::optional<InvalidHeader> &header)
{
    if (!header) {
        return;
    }
    ++m_invalidTargetHeaders;
    constexpr size_t maxLoggedValue = 64;
    m_log.write(EventPriority::Routine, "invalid_target_header",
                {{"target", target},
                 {"header", std::string_view(header->name)},
                 {"value", std::string_view(header->value).substr(0, maxLoggedValue)}});
}

} // namespace teaseldrift::relay
