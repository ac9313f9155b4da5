#include "teaseldrift/usage/distributed_usage_limiter.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include "teaseldrift/base/rendezvous.hpp"

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

/// Time for which a list confirms an owner. A VM that cannot reach the store has read its last list
/// at most a renewal interval after its last renewal; this ends before its lease lapses.
constexpr Duration listValidity = 1900ms;
/// Time after which a list is no longer current for its reader; earlier than `listValidity`, so
/// that all VMs notice an outage of the store before the owner has to stop.
constexpr Duration listCurrentFor = 1500ms;
/// Lists that are read once a second and take longer than this to arrive are not always current.
constexpr Duration currentListDelay = 500ms;
/// An owner that was not confirmed for this long may have been replaced.
constexpr Duration confirmationGap = 1s;
/// A VM that joins becomes the owner of limits after this time, when all others have read a list
/// with it or are no longer confirmed.
constexpr Duration joinDelay = 2200ms;
/// The others query a VM that joined after this time since their list without it.
constexpr Duration candidateDelay = 2s;
/// VMs that lost their leases together register again within this time.
constexpr Duration reregistrationTime = 1500ms;
/// Time for which queries of other VMs confirm an owner.
constexpr Duration queryValidity = 1s;
/// While a new owner's limiter fills, the VMs use their own parts.
constexpr Duration ownerWarmUp = 1s;

/// Time for which a VM that is missing from the list may run by itself, beyond a window.
constexpr Duration vanishedVmGrace = 2s;

/// Fraction of the allowed excess that granting refunded units again may use.
constexpr double refundFraction = 0.1;

constexpr Duration maxRefundAgeOfAnyLimit = 1s;

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
    updateOwnership(now);
    divide(now);
}

void DistributedUsageLimiter::setVms(std::span<const UsageVm> vms, Instant readAt, Instant now)
{
    for (const UsageVm &vm : vms) {
        m_listedAt.insert_or_assign(vm.id, now);
    }
    if (isTrusted(vms, now)) {
        replaceVms(vms, readAt);
        m_listDelay = now - readAt;
        if (m_vms.contains(m_options.vmId)) {
            confirmByList(readAt, now);
        }
    }
    updateOwnership(now);
    divide(now);
}

bool DistributedUsageLimiter::isTrusted(std::span<const UsageVm> vms, Instant now)
{
    const auto isListed = [vms](const std::string &id) {
        return std::any_of(vms.begin(), vms.end(),
                           [&id](const UsageVm &vm) { return vm.id == id; });
    };
    size_t vanished = 0;
    for (const std::pair<const std::string, ListedVm> &vm : m_vms) {
        vanished += !vm.second.isLeaving && !isListed(vm.first) ? 1 : 0;
    }
    const bool isOwnRecordLost
            = m_vms.contains(m_options.vmId) && !isListed(m_options.vmId) && !m_isLeaving;
    if (isOwnRecordLost && m_confirmedUntil) {
        m_confirmedUntil = std::min(*m_confirmedUntil, now);
    }
    // Several VMs rarely stop at the same time; the store may have lost their records.
    if (!isOwnRecordLost && vanished < 2) {
        m_suspiciousSince.reset();
        return true;
    }
    if (!m_suspiciousSince) {
        m_suspiciousSince = now;
    }
    if (now - *m_suspiciousSince < reregistrationTime) {
        return false;
    }
    m_suspiciousSince.reset();
    return true;
}

void DistributedUsageLimiter::replaceVms(std::span<const UsageVm> vms, Instant readAt)
{
    std::map<std::string, ListedVm, std::less<>> listed;
    for (const UsageVm &vm : vms) {
        const auto known = m_vms.find(vm.id);
        const bool isNew = known == m_vms.end() || known->second.isLeaving;
        // Without an earlier list it is not known which VMs are new.
        const Instant joinedAfter = m_readAt.value_or(readAt - candidateDelay);
        listed.emplace(vm.id, ListedVm{.isLeaving = vm.isLeaving,
                                       .candidateFrom = isNew ? joinedAfter + candidateDelay
                                                              : known->second.candidateFrom});
    }
    m_vms = std::move(listed);
    m_readAt = readAt;
}

void DistributedUsageLimiter::confirmByList(Instant readAt, Instant now)
{
    dropLapsedOwnership(now);
    if (!m_confirmedUntil || now > *m_confirmedUntil + confirmationGap) {
        m_vms[m_options.vmId].candidateFrom = now + joinDelay;
    }
    // While the store is slow for all, only the majority's queries show who the owner is.
    const Duration validity = m_listDelay <= currentListDelay ? listValidity : Duration(0);
    m_confirmedUntil = std::max(m_confirmedUntil.value_or(readAt), readAt + validity);
}

void DistributedUsageLimiter::confirmByQuery(const UsageQuery &query, Instant now)
{
    if (query.hasCurrentList || !m_vms.contains(query.vmId)) {
        return;
    }
    dropLapsedOwnership(now);
    m_queriedAt.insert_or_assign(std::string(query.vmId), now);
    std::erase_if(m_queriedAt, [now](const std::pair<const std::string, Instant> &vm) {
        return now - vm.second > queryValidity;
    });
    if ((m_queriedAt.size() + 1) * 2 <= m_vms.size() || !m_vms.contains(m_options.vmId)) {
        return;
    }
    Instant oldest = now;
    for (const std::pair<const std::string, Instant> &vm : m_queriedAt) {
        oldest = std::min(oldest, vm.second);
    }
    m_confirmedUntil = std::max(m_confirmedUntil.value_or(now), oldest + queryValidity);
}

bool DistributedUsageLimiter::hasCurrentList(Instant now) const
{
    return m_readAt && m_listDelay <= currentListDelay && now - *m_readAt <= listCurrentFor;
}

bool DistributedUsageLimiter::isConfirmed(Instant now) const
{
    return m_confirmedUntil && now <= *m_confirmedUntil;
}

void DistributedUsageLimiter::setLeaving(Instant now)
{
    m_isLeaving = true;
    updateOwnership(now);
}

void DistributedUsageLimiter::tick(Instant now)
{
    updateOwnership(now);
    divide(now);
}

void DistributedUsageLimiter::dropLapsedOwnership(Instant now)
{
    if (m_confirmedUntil && now > *m_confirmedUntil + confirmationGap) {
        for (std::pair<const std::string, Entry> &entry : m_entries) {
            entry.second.ownedSince.reset();
        }
    }
}

void DistributedUsageLimiter::updateOwnership(Instant now)
{
    dropLapsedOwnership(now);
    m_nextCandidateAt = Instant::max();
    for (const std::pair<const std::string, ListedVm> &vm : m_vms) {
        if (vm.second.candidateFrom > now) {
            m_nextCandidateAt = std::min(m_nextCandidateAt, vm.second.candidateFrom);
        }
    }
    for (std::pair<const std::string, Entry> &entry : m_entries) {
        entry.second.owner = chooseOwner(entry.first, now);
        startOwning(entry.second, now);
    }
}

void DistributedUsageLimiter::startOwning(Entry &entry, Instant now)
{
    if (entry.owner != m_options.vmId) {
        entry.ownedSince.reset();
    } else if (isConfirmed(now) && !entry.ownedSince) {
        // While lists are not current, queries may confirm the former owner a little longer.
        entry.ownedSince = hasCurrentList(now) ? now : now + queryValidity;
        // What the former owner granted is not known.
        entry.owned = UsageLimiter();
        entry.owned.setLimit(limitOf(entry), 1.0, *entry.ownedSince);
    }
}

std::string DistributedUsageLimiter::chooseOwner(std::string_view organisation, Instant now) const
{
    const uint64_t key = rendezvousKey(organisation);
    std::string_view owner;
    double best = 0.0;
    for (const std::pair<const std::string, ListedVm> &vm : m_vms) {
        const bool isLeaving = vm.second.isLeaving || (m_isLeaving && vm.first == m_options.vmId);
        if (isLeaving || now < vm.second.candidateFrom) {
            continue;
        }
        const double score = rendezvousScore(key, vm.first);
        if (score > best) {
            best = score;
            owner = vm.first;
        }
    }
    return std::string(owner);
}

std::string_view DistributedUsageLimiter::ownerOf(std::string_view organisation) const
{
    const auto found = m_entries.find(organisation);
    return found == m_entries.end() ? std::string_view() : found->second.owner;
}

bool DistributedUsageLimiter::isOwner(std::string_view organisation, Instant now) const
{
    const auto found = m_entries.find(organisation);
    return found != m_entries.end() && found->second.ownedSince && now >= *found->second.ownedSince
           && isConfirmed(now);
}

UsageVerdict DistributedUsageLimiter::acquire(std::string_view organisation, double units,
                                              Instant now)
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
    if (now >= m_nextCandidateAt) {
        updateOwnership(now);
    }
    const std::string_view owner = entry.owner;
    if (!owner.empty() && owner != m_options.vmId) {
        return {.outcome = UsageOutcome::QueryOwner,
                .owner = owner,
                .hasCurrentList = hasCurrentList(now)};
    }
    return decideAsOwner(entry, units, now);
}

UsageVerdict DistributedUsageLimiter::acquireFallback(std::string_view organisation, double units,
                                                      Instant now)
{
    const auto found = m_entries.find(organisation);
    if (found == m_entries.end() || found->second.limit.unitsPerSecond <= 0.0) {
        return {.outcome = UsageOutcome::Granted, .grantedAt = now};
    }
    // A limiter without a limit grants everything.
    if (!found->second.hasFallback || allowedExcess(found->second) <= 0.0) {
        return {.outcome = UsageOutcome::Refused, .retryAfter = m_options.settlingTime};
    }
    return decide(found->second.fallback, units, now);
}

UsageVerdict DistributedUsageLimiter::answer(const UsageQuery &query, Instant now)
{
    const auto found = m_entries.find(query.organisation);
    if (found == m_entries.end() || found->second.limit.unitsPerSecond <= 0.0) {
        return {.outcome = UsageOutcome::Granted, .grantedAt = now};
    }
    if (now >= m_nextCandidateAt) {
        updateOwnership(now);
    }
    confirmByQuery(query, now);
    startOwning(found->second, now);
    return decideAsOwner(found->second, query.units, now);
}

UsageVerdict DistributedUsageLimiter::decideAsOwner(Entry &entry, double units, Instant now)
{
    if (!entry.ownedSince || now < *entry.ownedSince || !isConfirmed(now)) {
        return {.outcome = UsageOutcome::NotOwner};
    }
    const UsageVerdict verdict = decide(entry.owned, units, now);
    const bool isWarmingUp = now - *entry.ownedSince < ownerWarmUp;
    if (verdict.outcome == UsageOutcome::Refused && isWarmingUp) {
        return {.outcome = UsageOutcome::NotOwner};
    }
    return verdict;
}

void DistributedUsageLimiter::refund(std::string_view organisation, double units, Instant grantedAt,
                                     Instant now)
{
    const auto found = m_entries.find(organisation);
    if (found != m_entries.end()) {
        found->second.refunds.add(units, grantedAt, now, maxRefundAge(found->second));
    }
}

UsageVerdict DistributedUsageLimiter::decide(UsageLimiter &limiter, double units, Instant now)
{
    if (limiter.tryAcquire(units, now)) {
        return {.outcome = UsageOutcome::Granted, .grantedAt = now};
    }
    return {.outcome = UsageOutcome::Refused, .retryAfter = limiter.timeUntilAvailable(units, now)};
}

void DistributedUsageLimiter::divide(Instant now)
{
    const Duration maxAge = m_options.window + vanishedVmGrace;
    std::erase_if(m_listedAt, [&](const std::pair<const std::string, Instant> &vm) {
        return !m_vms.contains(vm.first) && now - vm.second > maxAge;
    });
    m_vmCount = m_listedAt.size() + (m_listedAt.contains(m_options.vmId) ? 0 : 1);
    if (now - m_startedAt < m_options.settlingTime) {
        m_vmCount = std::max(m_vmCount, m_options.minVmCount);
    }
    for (std::pair<const std::string, Entry> &entry : m_entries) {
        const UsageLimit limit = limitOf(entry.second);
        if (entry.second.ownedSince) {
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
            .slack = allowedExcess(entry) * ownerSlackFraction,
            .initialFill = 0.0};
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
