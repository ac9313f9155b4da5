#include "teaseldrift/usage/distributed_usage_limiter.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace teaseldrift {

namespace {

/// Fractions of the allowed excess over a limit within a window. They leave a margin for a request
/// larger than the capacity of the owner's limiter.
///
/// The owner's limiter may exceed the burst by this much.
constexpr double ownerSlackFraction = 0.15;
/// Without their owner, the VMs together may grant this much at once, and as much again within a
/// window.
constexpr double fallbackBurstFraction = 0.45;
constexpr double fallbackRefillFraction = 0.15;
/// Fraction of its burst with which a fallback limiter starts, which it does when the VM has run
/// for half a window: restarts in series add less than the burst within a window.
constexpr double fallbackInitialFill = 0.5;

/// Time after which a limit without an owner is likely to have one again.
constexpr Duration noOwnerRetryDelay = 300ms;

/// Fraction of the allowed excess that granting refunded units again may use.
constexpr double refundFraction = 0.1;

constexpr Duration maxRefundAgeOfAnyLimit = 1s;

/// Longest time that is added to spread VMs that are refused.
constexpr Duration maxRefusalSpread = 2s;
/// Units of the limit for each VM that is refused: some of them do not come back.
constexpr double refusalSpreadUnits = 0.5;

} // namespace

DistributedUsageLimiter::DistributedUsageLimiter(DistributedUsageLimiterOptions options,
                                                 Instant now)
    : m_options(std::move(options)), m_startedAt(now)
{ }

void DistributedUsageLimiter::setLimits(std::span<const OrganisationLimit> limits, Instant now)
{
    std::map<std::string, Entry, std::less<>> entries;
    for (const OrganisationLimit &limit : limits) {
        const auto known = m_entries.find(limit.organisation);
        Entry &entry = entries[limit.organisation];
        if (known != m_entries.end()) {
            entry = std::move(known->second);
        }
        entry.limit = limit;
    }
    m_entries = std::move(entries);
    divide(now);
}

void DistributedUsageLimiter::setVms(std::span<const UsageVm> vms, Instant readAt, Instant now)
{
    m_hasReadListSinceJoining = m_hasReadListSinceJoining || (m_joinedAt && readAt >= *m_joinedAt);
    std::map<std::string, bool, std::less<>> list;
    for (const UsageVm &vm : vms) {
        list.emplace(vm.id, vm.isLeaving);
        m_listedAt.insert_or_assign(vm.id, now);
    }
    if (list != m_vms) {
        m_vms = std::move(list);
        ++m_listNumber;
    }
    divide(now);
    if (2 * m_vms.size() >= m_listedAt.size()) {
        m_shortListSince.reset();
    } else if (!m_shortListSince) {
        m_shortListSince = now;
    }
}

void DistributedUsageLimiter::setLeaving(Instant /*now*/)
{
    m_isLeaving = true;
}

void DistributedUsageLimiter::tick(Instant now)
{
    divide(now);
}

UsageVerdict DistributedUsageLimiter::acquire(std::string_view organisation, double units,
                                              Instant now, Duration maxWait)
{
    const auto found = m_entries.find(organisation);
    if (found == m_entries.end() || found->second.limit.unitsPerSecond <= 0.0) {
        return {.outcome = UsageOutcome::Granted, .grantedAt = now};
    }
    Entry &entry = found->second;
    if (const std::optional<Instant> grantedAt
        = entry.refunds.take(units, now, maxRefundAge(entry))) {
        return {.outcome = UsageOutcome::Granted, .grantedAt = *grantedAt};
    }
    // A VM that leaves queries its successor, which then claims the limit.
    if (!m_isLeaving && checkOwner(entry, now)) {
        return decideAsOwner(entry, units, maxWait, now);
    }
    if (const std::string_view owner = firstInOrder(organisation, entry, canClaim(now), now);
        owner != m_options.vmId && !hasOtherOwner(entry, now)) {
        return owner.empty() ? UsageVerdict{.outcome = UsageOutcome::NoOwner}
                             : UsageVerdict{.outcome = UsageOutcome::QueryOwner, .owner = owner};
    }
    return verdictWithoutOwnership(entry, now);
}

UsageVerdict DistributedUsageLimiter::acquireFallback(std::string_view organisation, double units,
                                                      Instant now)
{
    const auto found = m_entries.find(organisation);
    if (found == m_entries.end() || found->second.limit.unitsPerSecond <= 0.0) {
        return {.outcome = UsageOutcome::Granted, .grantedAt = now};
    }
    if (!found->second.hasFallback) {
        return {.outcome = UsageOutcome::NoOwner, .retryAfter = noOwnerRetryDelay};
    }
    // A limiter without a limit grants everything.
    if (allowedExcess(found->second) <= 0.0) {
        return {.outcome = UsageOutcome::Refused, .retryAfter = noOwnerRetryDelay};
    }
    return decide(found->second.fallback, units, Duration(0), now);
}

UsageVerdict DistributedUsageLimiter::answer(std::string_view organisation, double units,
                                             Instant now, Duration maxWait)
{
    const auto found = m_entries.find(organisation);
    if (found == m_entries.end()) {
        // Without a configuration or a directory yet, a limit is unknown rather than absent.
        return {.outcome = UsageOutcome::NoOwner, .retryAfter = noOwnerRetryDelay};
    }
    Entry &entry = found->second;
    if (entry.limit.unitsPerSecond <= 0.0) {
        return {.outcome = UsageOutcome::Granted, .grantedAt = now};
    }
    if (checkOwner(entry, now)) {
        return decideAsOwner(entry, units, maxWait, now);
    }
    if (m_isLeaving && !hasOtherOwner(entry, now)) {
        const std::string_view owner = firstInOrder(organisation, entry, false, now);
        return owner.empty() ? UsageVerdict{.outcome = UsageOutcome::NoOwner}
                             : UsageVerdict{.outcome = UsageOutcome::QueryOwner, .owner = owner};
    }
    return verdictWithoutOwnership(entry, now);
}

void DistributedUsageLimiter::refund(std::string_view organisation, double units, Instant grantedAt,
                                     Instant now)
{
    const auto found = m_entries.find(organisation);
    if (found != m_entries.end()) {
        found->second.refunds.add(units, grantedAt, now, maxRefundAge(found->second));
    }
}

UsageVerdict DistributedUsageLimiter::decideAsOwner(Entry &entry, double units, Duration maxWait,
                                                    Instant now)
{
    UsageVerdict verdict = decide(entry.owned, units, maxWait, now);
    if (verdict.outcome == UsageOutcome::Granted) {
        entry.refusedSinceGrant = 0;
    } else if (m_options.spreadsRefusals) {
        const std::chrono::duration<double> spread(refusalSpreadUnits * units
                                                   * entry.refusedSinceGrant++
                                                   / entry.limit.unitsPerSecond);
        verdict.retryAfter += spread < maxRefusalSpread
                                      ? std::chrono::duration_cast<Duration>(spread)
                                      : maxRefusalSpread;
    }
    return verdict;
}

UsageVerdict DistributedUsageLimiter::decide(UsageLimiter &limiter, double units, Duration maxWait,
                                             Instant now)
{
    if (const std::optional<Duration> wait = limiter.tryReserve(units, maxWait, now)) {
        return {.outcome = UsageOutcome::Granted, .grantedAt = now, .wait = *wait};
    }
    return {.outcome = UsageOutcome::Refused, .retryAfter = limiter.timeUntilAvailable(units, now)};
}

void DistributedUsageLimiter::divide(Instant now)
{
    const Duration maxAge = maxVanishedVmAge();
    std::erase_if(m_listedAt, [&](const std::pair<const std::string, Instant> &vm) {
        return !m_vms.contains(vm.first) && now - vm.second > maxAge;
    });
    std::erase_if(m_unavailableUntil, [now](const std::pair<const std::string, Instant> &vm) {
        return now >= vm.second;
    });
    m_vmCount = m_listedAt.size() + (m_listedAt.contains(m_options.vmId) ? 0 : 1);
    if (now - m_startedAt < m_options.settlingTime) {
        m_vmCount = std::max(m_vmCount, m_options.minVmCount);
    }
    for (std::pair<const std::string, Entry> &entry : m_entries) {
        const UsageLimit limit = limitOf(entry.second);
        if (entry.second.hasOwned) {
            entry.second.owned.setLimit(limit, 1.0, now);
        }
        if (entry.second.hasFallback || now - m_startedAt >= m_options.window / 2) {
            entry.second.hasFallback = true;
            entry.second.fallback.setLimit(fallbackLimitOf(entry.second),
                                           1.0 / static_cast<double>(m_vmCount), now);
        }
    }
}

UsageLimit DistributedUsageLimiter::limitOf(const Entry &entry) const
{
    return {.unitsPerSecond = entry.limit.unitsPerSecond,
            .burst = entry.limit.burst,
            .slack = allowedExcess(entry) * ownerSlackFraction};
}

UsageLimit DistributedUsageLimiter::fallbackLimitOf(const Entry &entry) const
{
    const double excess = allowedExcess(entry);
    return {.unitsPerSecond = excess * fallbackRefillFraction / toSeconds(m_options.window),
            .burst = excess * fallbackBurstFraction,
            .initialFill = fallbackInitialFill,
            .grantsLargerThanCapacity = false};
}

double DistributedUsageLimiter::allowedExcess(const Entry &entry) const
{
    const OrganisationLimit &limit = entry.limit;
    return m_options.overrun * (limit.unitsPerSecond * toSeconds(m_options.window) + limit.burst)
           + m_options.slack;
}

Duration DistributedUsageLimiter::maxRefundAge(const Entry &entry) const
{
    const std::chrono::duration<double> age(refundFraction * allowedExcess(entry)
                                            / entry.limit.unitsPerSecond);
    return age < maxRefundAgeOfAnyLimit ? std::chrono::duration_cast<Duration>(age)
                                        : maxRefundAgeOfAnyLimit;
}

} // namespace teaseldrift
