#include <algorithm>
#include <utility>

#include "teaseldrift/base/rendezvous.hpp"
#include "teaseldrift/usage/distributed_usage_limiter.hpp"

namespace teaseldrift {

namespace {

/// Delay after a claim that was blocked.
constexpr Duration blockedClaimDelay = 300ms;

} // namespace

std::vector<std::string> DistributedUsageLimiter::limitsToClaim(Instant now)
{
    std::vector<std::string> limits;
    if (m_isLeaving || !canClaim(now)) {
        return limits;
    }
    for (std::pair<const std::string, Entry> &entry : m_entries) {
        const uint64_t key = rendezvousKey(entry.first);
        const bool isDue = hasOtherOwner(entry.second, now)
                                   ? rendezvousScore(key, m_options.vmId)
                                             > rendezvousScore(key, entry.second.otherOwner)
                                   : !checkOwner(entry.second, now);
        if (isDue && entry.second.limit.unitsPerSecond > 0.0 && !entry.second.isClaiming
            && now >= entry.second.nextClaimAt
            && firstInOrder(entry.first, entry.second, true, now) == m_options.vmId) {
            limits.push_back(entry.first);
        }
    }
    return limits;
}

std::vector<std::string> DistributedUsageLimiter::beginClaim(std::string_view organisation,
                                                             Instant now)
{
    const auto found = m_entries.find(organisation);
    if (found == m_entries.end()) {
        return {};
    }
    found->second.isClaiming = true;
    found->second.isClaimOvertaken = false;
    std::vector<std::string> asked = claimants(organisation);
    const auto add = [&asked](const std::string &vm) {
        if (std::find(asked.begin(), asked.end(), vm) == asked.end()) {
            asked.push_back(vm);
        }
    };
    if (now < found->second.extendedUntil) {
        add(found->second.extendedOwner);
    }
    if (hasOtherOwner(found->second, now)) {
        add(found->second.otherOwner);
    }
    return asked;
}

std::optional<double> DistributedUsageLimiter::knownLevel(Entry &entry, Instant now) const
{
    if (!entry.ownedUntil || now - *entry.ownedUntil > m_options.window) {
        return {};
    }
    return entry.owned.level(now);
}

LimitClaimReply DistributedUsageLimiter::answerClaim(std::string_view organisation,
                                                     std::string_view claimant, Instant now)
{
    LimitClaimReply reply{.startedRecently = now - m_startedAt < m_options.window};
    if (claimant == m_options.vmId) {
        return reply;
    }
    // This VM's list may not contain the claimant yet.
    m_listedAt.insert_or_assign(std::string(claimant), now);
    const auto found = m_entries.find(organisation);
    if (found == m_entries.end()) {
        return reply;
    }
    Entry &entry = found->second;
    const uint64_t key = rendezvousKey(organisation);
    const bool precedes
            = !m_isLeaving && rendezvousScore(key, m_options.vmId) > rendezvousScore(key, claimant);
    if (checkOwner(entry, now)) {
        if (precedes) {
            reply.outcome = LimitClaimReply::Outcome::Refused;
            return reply;
        }
        entry.isOwner = false;
        reply.outcome = LimitClaimReply::Outcome::HandedOver;
        setOwner(organisation, claimant, now);
    } else if (entry.isClaiming) {
        if (precedes) {
            reply.outcome = LimitClaimReply::Outcome::Refused;
            return reply;
        }
        entry.isClaimOvertaken = true;
    }
    for (std::string &vm : claimants(organisation)) {
        const Duration age = now - m_listedAt.find(vm)->second;
        reply.candidates.push_back({.vm = std::move(vm), .age = age});
    }
    reply.level = knownLevel(entry, now);
    if (now < entry.extendedUntil && entry.extendedOwner != claimant) {
        reply.extendedOwner = entry.extendedOwner;
    }
    if (hasOtherOwner(entry, now) && entry.otherOwner != claimant) {
        reply.owner = entry.otherOwner;
    }
    return reply;
}

bool DistributedUsageLimiter::learnCandidates(std::string_view organisation,
                                              std::span<const LimitClaimResult> results,
                                              Instant now)
{
    for (const LimitClaimResult &result : results) {
        if (!result.reply) {
            continue;
        }
        for (const LimitCandidate &candidate : result.reply->candidates) {
            if (candidate.age < Duration(0) || candidate.age > maxVanishedVmAge()) {
                continue;
            }
            const Instant listedAt = now - candidate.age;
            const auto known = m_listedAt.try_emplace(candidate.vm, listedAt).first;
            known->second = std::max(known->second, listedAt);
        }
    }
    const std::vector<std::string> candidates = claimants(organisation);
    return std::any_of(candidates.begin(), candidates.end(), [&](const std::string &vm) {
        return std::none_of(results.begin(), results.end(),
                            [&](const LimitClaimResult &result) { return result.vm == vm; });
    });
}

bool DistributedUsageLimiter::maySilentVmOwn(std::string_view vm, const Entry &entry,
                                             Instant now) const
{
    if (m_vms.contains(vm) || (now < entry.extendedUntil && vm == entry.extendedOwner)) {
        return true;
    }
    // A VM that left the list has not renewed its lease for longer than the term. If many left it
    // together, the store may have lost their leases, and they are still to write their records.
    return m_shortListSince && now - *m_shortListSince < m_leaseTerm;
}

LimitClaimOutcome DistributedUsageLimiter::finishClaim(std::string_view organisation,
                                                       std::span<const LimitClaimResult> results,
                                                       Instant now)
{
    const auto found = m_entries.find(organisation);
    if (found == m_entries.end()) {
        return LimitClaimOutcome::Blocked;
    }
    Entry &entry = found->second;
    entry.isClaiming = false;
    const bool isIncomplete = learnCandidates(organisation, results, now);
    bool isHandedOver = false;
    // A VM that has overtaken this claim knows the former owner's level, too.
    bool isBlocked = entry.isClaimOvertaken || !canClaim(now);
    bool isHistoryKnown = now - m_startedAt >= m_options.window;
    std::optional<double> level = knownLevel(entry, now);
    std::string refusedBy;
    std::string otherOwner;
    for (const LimitClaimResult &result : results) {
        if (!result.reply) {
            isBlocked
                    = isBlocked || (!result.isProcessGone && maySilentVmOwn(result.vm, entry, now));
            isHistoryKnown = false;
            continue;
        }
        const LimitClaimReply &reply = *result.reply;
        if (reply.outcome == LimitClaimReply::Outcome::Refused) {
            refusedBy = result.vm;
            continue;
        }
        isHandedOver = isHandedOver || reply.outcome == LimitClaimReply::Outcome::HandedOver;
        isHistoryKnown = isHistoryKnown && !reply.startedRecently;
        if (reply.level) {
            level = std::min(level.value_or(*reply.level), *reply.level);
        }
        for (const std::string &vm : {reply.owner, reply.extendedOwner}) {
            const bool isAsked
                    = std::any_of(results.begin(), results.end(),
                                  [&](const LimitClaimResult &asked) { return asked.vm == vm; });
            if (!vm.empty() && vm != m_options.vmId && !isAsked) {
                otherOwner = vm;
            }
        }
    }
    if (isHandedOver && !entry.isClaimOvertaken) {
        // No other VM can have owned the limit at the same time.
        becomeOwner(entry, level, true, now);
        return LimitClaimOutcome::HandedOver;
    }
    if (!refusedBy.empty()) {
        // If this VM has owned the limit, the two claimed it with lists that lacked the other.
        entry.isOwner = false;
        otherOwner = refusedBy;
    }
    if (!otherOwner.empty()) {
        setOwner(organisation, otherOwner, now);
        return LimitClaimOutcome::OwnedByOther;
    }
    if (isBlocked || isIncomplete) {
        entry.nextClaimAt = isBlocked ? now + blockedClaimDelay : now;
        return LimitClaimOutcome::Blocked;
    }
    becomeOwner(entry, level, isHistoryKnown, now);
    return LimitClaimOutcome::Unowned;
}

void DistributedUsageLimiter::becomeOwner(Entry &entry, std::optional<double> level,
                                          bool isHistoryKnown, Instant now)
{
    entry.isOwner = true;
    entry.ownedUntil = now;
    entry.otherOwner.clear();
    entry.otherOwnerUntil = {};
    entry.extendedAt.reset();
    if (!entry.hasOwned) {
        entry.hasOwned = true;
        entry.owned.setLimit(limitOf(entry), 1.0, now);
    }
    if (!isHistoryKnown) {
        // The former owner may have granted all that its limiter held.
        level = std::min(level.value_or(0.0), 0.0);
    }
    if (level) {
        entry.owned.setLevel(*level, now);
    }
}

} // namespace teaseldrift
