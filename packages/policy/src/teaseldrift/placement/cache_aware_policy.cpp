#include "teaseldrift/placement/cache_aware_policy.hpp"

#include <algorithm>

#include "cache_aware_policy_native.hpp"

namespace teaseldrift::placement {

CacheAwarePolicy::CacheAwarePolicy(CacheAwareOptions options)
    : m_native(std::make_unique<Native>(std::move(options)))
{ }

CacheAwarePolicy::~CacheAwarePolicy() = default;
CacheAwarePolicy::CacheAwarePolicy(CacheAwarePolicy &&) noexcept = default;
CacheAwarePolicy &CacheAwarePolicy::operator=(CacheAwarePolicy &&) noexcept = default;

Choice CacheAwarePolicy::choose(const RequestView &request, std::span<const TargetView> targets,
                                Instant now, std::mt19937_64 &generator)
{
    Native &native = *m_native;
    native.matcher.resolve(targets, native.index);
    if (native.matcher.eligible().empty()) {
        return {.outcome = ChoiceOutcome::NoTarget};
    }
    native.matcher.walk(request, native.walkOptions(), native.index, native.sketch,
                        native.fleetRates, native.replicas, now);
    native.selectComparedTargets(generator);
    native.costs.clear();
    for (const uint32_t target : native.comparedTargets) {
        native.addCost(target, request, targets, now);
    }
    if (!native.anyRoom() && native.comparedTargets.size() < native.matcher.eligible().size()) {
        native.costs.clear();
        for (const uint32_t target : native.matcher.eligible()) {
            native.addCost(target, request, targets, now);
        }
    }
    if (!native.anyRoom()) {
        return {.outcome = ChoiceOutcome::NoRoom};
    }
    const Cost cheapest = *std::ranges::min_element(native.costs, {}, &Cost::total);
    std::erase_if(native.costs, [](const Cost &cost) { return !cost.hasRoom; });
    const Cost &picked = native.pick(generator);
    Choice choice = native.makeChoice(picked);
    choice.preferred = cheapest.target;
    choice.regret = cheapest.hasRoom ? Duration{} : fromSeconds(picked.total - cheapest.total);
    choice.queueDelayPerRequest
            = fromSeconds(native.meanServiceSeconds / std::max(1U, targets[cheapest.target].slots));
    return choice;
}

void CacheAwarePolicy::started(uint64_t attemptId, const RequestView &request,
                               const TargetView &target, const Choice &choice, Instant now)
{
    Native &native = *m_native;
    native.sketch.record(request.chain, now);
    const TargetHandle handle
            = native.index.registerTarget(target.id, target.incarnation, target.weightsVersion);
    if (handle == invalidHandle) {
        return;
    }
    Attempt attempt{
            .handle = handle,
            .incarnation = target.incarnation,
            .chain = {request.chain.begin(), request.chain.end()},
            .prefillTokens = choice.prefillTokens,
            .slots = std::max(1U, target.slots),
            .startedAt = now,
    };
    for (uint32_t level = 0; level < request.chain.size(); ++level) {
        const std::optional<Duration> age = native.index.ageOf(handle, request.chain[level], now);
        if (!age) {
            break;
        }
        attempt.ages.push_back({.level = level, .age = *age});
    }
    native.index.recordUse(handle, request.chain, now);
    native.loadOf(handle).started(attemptId, choice.prefillTokens, now);
    native.attempts.insert_or_assign(attemptId, std::move(attempt));
}

void CacheAwarePolicy::firstToken(uint64_t attemptId, Instant now)
{
    const auto found = m_native->attempts.find(attemptId);
    if (found != m_native->attempts.end() && !found->second.firstTokenAt) {
        found->second.firstTokenAt = now;
        m_native->loadOf(found->second.handle).firstToken(attemptId, now);
    }
}

void CacheAwarePolicy::finished(uint64_t attemptId, const AttemptEnd &end, Instant now)
{
    Native &native = *m_native;
    const auto found = native.attempts.find(attemptId);
    if (found == native.attempts.end()) {
        return;
    }
    const Attempt &attempt = found->second;
    native.loadOf(attempt.handle).finished(attemptId, now);
    if (end.completed) {
        native.updateServiceTimes(attempt, now);
        if (end.cachedTokens) {
            native.updateBlockLifetimes(attempt, *end.cachedTokens);
        }
    } else if (!attempt.firstTokenAt) {
        const size_t known = attempt.ages.size();
        native.index.recordAbsence(attempt.handle, std::span(attempt.chain).subspan(known));
    }
    native.attempts.erase(found);
}

void CacheAwarePolicy::onCacheEvent(const CacheEvent &event, Instant now)
{
    m_native->index.onCacheEvent(event, now);
}

void CacheAwarePolicy::forgetTarget(std::string_view targetId)
{
    Native &native = *m_native;
    const std::optional<TargetHandle> handle = native.index.handleOf(targetId);
    if (!handle) {
        return;
    }
    native.index.forgetTarget(targetId);
    native.matcher.reset();
    native.loadOf(*handle) = {};
    std::erase_if(native.attempts,
                  [handle](const auto &entry) { return entry.second.handle == *handle; });
}

std::vector<HotPrefix> CacheAwarePolicy::hotPrefixes(Instant now) const
{
    return m_native->sketch.hottest(now);
}

void CacheAwarePolicy::mergeHotPrefixes(std::span<const HotPrefix> peerPrefixes, Instant now)
{
    m_native->sketch.merge(peerPrefixes, now);
}

void CacheAwarePolicy::setPeerHotPrefixes(std::string_view peerId,
                                          std::span<const HotPrefix> peerPrefixes, Instant now)
{
    m_native->fleetRates.setPeerRates(peerId, peerPrefixes, now);
}

void CacheAwarePolicy::setTrafficShare(double share)
{
    m_native->options.trafficShare = std::clamp(share, minTrafficShare, 1.0);
}

size_t CacheAwarePolicy::memoryBytes() const
{
    const Native &native = *m_native;
    size_t bytes = sizeof(Native) + native.index.memoryBytes() + native.sketch.memoryBytes()
                   + native.fleetRates.memoryBytes() + native.replicas.memoryBytes();
    for (const auto &entry : native.attempts) {
        bytes += sizeof(entry) + entry.second.chain.capacity() * sizeof(hashing::BlockHash)
                 + entry.second.ages.capacity() * sizeof(BlockAge);
    }
    return bytes;
}

} // namespace teaseldrift::placement
