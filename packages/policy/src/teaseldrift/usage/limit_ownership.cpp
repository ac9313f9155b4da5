#include <algorithm>
#include <utility>

#include "teaseldrift/base/rendezvous.hpp"
#include "teaseldrift/usage/distributed_usage_limiter.hpp"

namespace teaseldrift {

namespace {

/// VMs that a claim asks, first in rendezvous order. An owner is among them unless as many VMs that
/// precede it have become unable to own limits at the same time.
constexpr size_t maxClaimants = 5;

/// VMs whose order is kept for each limit; the others are ranked only if none of these is
/// available.
constexpr size_t maxRanked = 8;

/// Time for which another VM is taken for the owner of a limit by its own or a third VM's word, or
/// for unable to be one.
constexpr Duration hintLifetime = 1s;

/// A lease that was not renewed for this fraction of its term may not be renewed within it. Longer
/// than the interval of renewals.
constexpr double extensionFraction = 0.48;

} // namespace

std::string_view DistributedUsageLimiter::ownerOf(std::string_view organisation) const
{
    const uint64_t key = rendezvousKey(organisation);
    std::string_view owner = m_options.vmId;
    double best = m_isLeaving ? 0.0 : rendezvousScore(key, m_options.vmId);
    for (const std::pair<const std::string, bool> &vm : m_vms) {
        if (vm.first == m_options.vmId || vm.second) {
            continue;
        }
        const double score = rendezvousScore(key, vm.first);
        if (score > best) {
            best = score;
            owner = vm.first;
        }
    }
    return owner;
}

std::vector<std::string> DistributedUsageLimiter::rank(std::string_view organisation,
                                                       size_t count) const
{
    std::vector<RendezvousMember> members;
    members.reserve(m_vms.size());
    for (const std::pair<const std::string, bool> &vm : m_vms) {
        if (vm.first != m_options.vmId && !vm.second) {
            members.push_back({.id = vm.first});
        }
    }
    std::vector<std::string> ranking;
    for (const size_t index : rendezvousOrder(rendezvousKey(organisation), members, count)) {
        ranking.emplace_back(members[index].id);
    }
    return ranking;
}

std::string_view DistributedUsageLimiter::firstInOrder(std::string_view organisation, Entry &entry,
                                                       bool includesLocal, Instant now) const
{
    if (entry.rankedList != m_listNumber) {
        entry.rankedList = m_listNumber;
        entry.ranking = rank(organisation, maxRanked);
    }
    auto first = std::find_if_not(entry.ranking.begin(), entry.ranking.end(),
                                  [&](const std::string &vm) { return isUnavailable(vm, now); });
    if (first == entry.ranking.end() && entry.ranking.size() == maxRanked) {
        entry.ranking = rank(organisation, m_vms.size());
        first = std::find_if_not(entry.ranking.begin(), entry.ranking.end(),
                                 [&](const std::string &vm) { return isUnavailable(vm, now); });
    }
    const uint64_t key = rendezvousKey(organisation);
    const bool isLocal
            = includesLocal && !m_isLeaving
              && (first == entry.ranking.end()
                  || rendezvousScore(key, m_options.vmId) > rendezvousScore(key, *first));
    if (isLocal) {
        return m_options.vmId;
    }
    return first == entry.ranking.end() ? std::string_view() : std::string_view(*first);
}

bool DistributedUsageLimiter::hasOtherOwner(const Entry &entry, Instant now) const
{
    return now < entry.otherOwnerUntil && !isUnavailable(entry.otherOwner, now);
}

bool DistributedUsageLimiter::isUnavailable(std::string_view vm, Instant now) const
{
    const auto found = m_unavailableUntil.find(vm);
    return found != m_unavailableUntil.end() && now < found->second;
}

void DistributedUsageLimiter::setUnavailable(std::string_view vm, Instant now)
{
    m_unavailableUntil.insert_or_assign(std::string(vm), now + hintLifetime);
}

void DistributedUsageLimiter::setOwner(std::string_view organisation, std::string_view owner,
                                       Instant now)
{
    const auto found = m_entries.find(organisation);
    if (found != m_entries.end() && owner != m_options.vmId) {
        found->second.otherOwner = owner;
        found->second.otherOwnerUntil = now + hintLifetime;
    }
}

void DistributedUsageLimiter::leaseRenewed(Instant sentAt, Duration term, Instant now)
{
    if (!m_joinedAt) {
        m_joinedAt = now;
    }
    if (m_leaseRenewedAt && sentAt <= *m_leaseRenewedAt) {
        return;
    }
    for (std::pair<const std::string, Entry> &entry : m_entries) {
        // A renewal does not bring back what ended before it was sent.
        checkOwner(entry.second, sentAt);
    }
    m_leaseRenewedAt = sentAt;
    m_leaseTerm = term;
}

bool DistributedUsageLimiter::canClaim(Instant now) const
{
    // A store that lost its leases shows a VM that has just started a list without the others.
    const bool mayMissVms = now - m_startedAt < m_options.settlingTime
                            && m_listedAt.size() < m_options.minVmCount;
    return isLeaseFresh(now) && m_hasReadListSinceJoining && !mayMissVms;
}

bool DistributedUsageLimiter::isLeaseFresh(Instant now) const
{
    return m_leaseRenewedAt && now - *m_leaseRenewedAt < m_leaseTerm;
}

bool DistributedUsageLimiter::isWithinTerm(const Entry &entry, Instant now) const
{
    return isLeaseFresh(now)
           || (entry.extendedAt && now - *entry.extendedAt < m_options.extensionTerm);
}

bool DistributedUsageLimiter::checkOwner(Entry &entry, Instant now)
{
    if (!entry.isOwner) {
        return false;
    }
    if (!isWithinTerm(entry, now)) {
        entry.isOwner = false;
        return false;
    }
    entry.ownedUntil = std::max(now, entry.ownedUntil.value_or(now));
    return true;
}

bool DistributedUsageLimiter::isOwner(std::string_view organisation, Instant now)
{
    const auto found = m_entries.find(organisation);
    return found != m_entries.end() && checkOwner(found->second, now);
}

UsageVerdict DistributedUsageLimiter::verdictWithoutOwnership(const Entry &entry, Instant now) const
{
    if (hasOtherOwner(entry, now)) {
        return {.outcome = UsageOutcome::QueryOwner, .owner = entry.otherOwner};
    }
    if (now < entry.nextClaimAt || !canClaim(now)) {
        return {.outcome = UsageOutcome::NoOwner};
    }
    return {.outcome = UsageOutcome::Claim};
}

std::vector<std::string> DistributedUsageLimiter::claimants(std::string_view organisation) const
{
    std::vector<RendezvousMember> members;
    members.reserve(m_listedAt.size());
    for (const std::pair<const std::string, Instant> &vm : m_listedAt) {
        if (vm.first != m_options.vmId) {
            members.push_back({.id = vm.first});
        }
    }
    std::vector<std::string> first;
    for (const size_t index : rendezvousOrder(rendezvousKey(organisation), members, maxClaimants)) {
        first.emplace_back(members[index].id);
    }
    return first;
}

std::vector<LimitOffer> DistributedUsageLimiter::offers(Instant now)
{
    std::vector<LimitOffer> offers;
    for (std::pair<const std::string, Entry> &entry : m_entries) {
        if (m_isLeaving || !checkOwner(entry.second, now)) {
            continue;
        }
        const std::string_view first = firstInOrder(entry.first, entry.second, true, now);
        if (first != m_options.vmId) {
            offers.push_back({.organisation = entry.first, .vm = std::string(first)});
        }
    }
    return offers;
}

ExtensionQuery DistributedUsageLimiter::extensionQuery(Instant now)
{
    if (m_leaseRenewedAt
        && toSeconds(now - *m_leaseRenewedAt) < extensionFraction * toSeconds(m_leaseTerm)) {
        return {};
    }
    ExtensionQuery query;
    std::vector<std::string> &asked = query.vms;
    for (std::pair<const std::string, Entry> &entry : m_entries) {
        if (!checkOwner(entry.second, now)) {
            continue;
        }
        for (std::string &vm : claimants(entry.first)) {
            if (std::find(asked.begin(), asked.end(), vm) == asked.end()) {
                asked.push_back(std::move(vm));
            }
        }
        query.organisations.push_back(entry.first);
    }
    return query;
}

void DistributedUsageLimiter::extend(std::span<const std::string> vms, Instant askedAt)
{
    for (std::pair<const std::string, Entry> &entry : m_entries) {
        const std::vector<std::string> others = claimants(entry.first);
        const ptrdiff_t agreed
                = std::count_if(others.begin(), others.end(), [&](const std::string &other) {
                      return std::find(vms.begin(), vms.end(), other) != vms.end();
                  });
        // Together with this VM a majority of those that could claim the limit.
        if (2 * (static_cast<size_t>(agreed) + 1) > others.size() + 1
            && (!entry.second.extendedAt || askedAt > *entry.second.extendedAt)) {
            entry.second.extendedAt = askedAt;
        }
    }
}

bool DistributedUsageLimiter::answerExtension(std::string_view owner,
                                              std::span<const std::string> organisations,
                                              Instant now)
{
    bool agrees = true;
    for (const std::string &organisation : organisations) {
        const auto found = m_entries.find(organisation);
        if (found == m_entries.end()) {
            continue;
        }
        Entry &entry = found->second;
        if (entry.isClaiming || checkOwner(entry, now)) {
            agrees = false;
            continue;
        }
        entry.extendedOwner = owner;
        entry.extendedUntil = now + m_options.extensionTerm;
    }
    return agrees;
}

} // namespace teaseldrift
