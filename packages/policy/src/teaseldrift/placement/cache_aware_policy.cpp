#include "teaseldrift/placement/cache_aware_policy.hpp"

#include <algorithm>

#include "cache_aware_policy_impl.hpp"

namespace teaseldrift::placement {

CacheAwarePolicy::CacheAwarePolicy(CacheAwareOptions options)
    : m_impl(std::make_unique<Impl>(std::move(options)))
{ }

CacheAwarePolicy::~CacheAwarePolicy() = default;
CacheAwarePolicy::CacheAwarePolicy(CacheAwarePolicy &&) noexcept = default;
CacheAwarePolicy &CacheAwarePolicy::operator=(CacheAwarePolicy &&) noexcept = default;

Choice CacheAwarePolicy::choose(const RequestView &request, std::span<const TargetView> targets,
                                Instant now, std::mt19937_64 &generator)
{
    Impl &impl = *m_impl;
    impl.matcher.resolve(targets, impl.index);
    if (impl.matcher.eligible().empty()) {
        return {.outcome = ChoiceOutcome::NoTarget};
    }
    impl.matcher.walk(request, impl.walkOptions(), impl.index, impl.sketch, impl.fleetRates,
                      impl.replicas, now);
    impl.selectComparedTargets(generator);
    impl.costs.clear();
    for (const uint32_t target : impl.comparedTargets) {
        impl.addCost(target, request, targets, now);
    }
    if (!impl.anyRoom() && impl.comparedTargets.size() < impl.matcher.eligible().size()) {
        impl.costs.clear();
        for (const uint32_t target : impl.matcher.eligible()) {
            impl.addCost(target, request, targets, now);
        }
    }
    if (!impl.anyRoom()) {
        return {.outcome = ChoiceOutcome::NoRoom};
    }
    const Cost cheapest = *std::ranges::min_element(impl.costs, {}, &Cost::total);
    std::erase_if(impl.costs, [](const Cost &cost) { return !cost.hasRoom; });
    const Cost &picked = impl.pick(generator);
    Choice choice = impl.makeChoice(picked);
    choice.preferred = cheapest.target;
    choice.regret = cheapest.hasRoom ? Duration{} : fromSeconds(picked.total - cheapest.total);
    choice.queueDelayPerRequest
            = fromSeconds(impl.meanServiceSeconds / std::max(1U, targets[cheapest.target].slots));
    return choice;
}

void CacheAwarePolicy::started(uint64_t attemptId, const RequestView &request,
                               const TargetView &target, const Choice &choice, Instant now)
{
    Impl &impl = *m_impl;
    impl.sketch.record(request.chain, now);
    const TargetHandle handle
            = impl.index.registerTarget(target.id, target.incarnation, target.weightsVersion);
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
        const std::optional<Duration> age = impl.index.ageOf(handle, request.chain[level], now);
        if (!age) {
            break;
        }
        attempt.ages.push_back({.level = level, .age = *age});
    }
    impl.index.recordUse(handle, request.chain, now);
    impl.loadOf(handle).started(attemptId, choice.prefillTokens, now);
    impl.attempts.insert_or_assign(attemptId, std::move(attempt));
}

void CacheAwarePolicy::firstToken(uint64_t attemptId, Instant now)
{
    const auto found = m_impl->attempts.find(attemptId);
    if (found != m_impl->attempts.end() && !found->second.firstTokenAt) {
        found->second.firstTokenAt = now;
        m_impl->loadOf(found->second.handle).firstToken(attemptId, now);
    }
}

void CacheAwarePolicy::finished(uint64_t attemptId, const AttemptEnd &end, Instant now)
{
    Impl &impl = *m_impl;
    const auto found = impl.attempts.find(attemptId);
    if (found == impl.attempts.end()) {
        return;
    }
    const Attempt &attempt = found->second;
    impl.loadOf(attempt.handle).finished(attemptId, now);
    if (end.completed) {
        impl.updateServiceTimes(attempt, now);
        if (end.cachedTokens) {
            impl.updateBlockLifetimes(attempt, *end.cachedTokens);
        }
    } else if (!attempt.firstTokenAt) {
        const size_t known = attempt.ages.size();
        impl.index.recordAbsence(attempt.handle, std::span(attempt.chain).subspan(known));
    }
    impl.attempts.erase(found);
}

void CacheAwarePolicy::onCacheEvent(const CacheEvent &event, Instant now)
{
    m_impl->index.onCacheEvent(event, now);
}

void CacheAwarePolicy::forgetTarget(std::string_view targetId)
{
    Impl &impl = *m_impl;
    const std::optional<TargetHandle> handle = impl.index.handleOf(targetId);
    if (!handle) {
        return;
    }
    impl.index.forgetTarget(targetId);
    impl.matcher.reset();
    impl.loadOf(*handle) = {};
    std::erase_if(impl.attempts,
                  [handle](const auto &entry) { return entry.second.handle == *handle; });
}

std::vector<HotPrefix> CacheAwarePolicy::hotPrefixes(Instant now) const
{
    return m_impl->sketch.hottest(now);
}

void CacheAwarePolicy::mergeHotPrefixes(std::span<const HotPrefix> peerPrefixes, Instant now)
{
    m_impl->sketch.merge(peerPrefixes, now);
}

void CacheAwarePolicy::setPeerHotPrefixes(std::string_view peerId,
                                          std::span<const HotPrefix> peerPrefixes, Instant now)
{
    m_impl->fleetRates.setPeerRates(peerId, peerPrefixes, now);
}

void CacheAwarePolicy::setTrafficShare(double share)
{
    m_impl->options.trafficShare = std::clamp(share, minTrafficShare, 1.0);
}

size_t CacheAwarePolicy::memoryBytes() const
{
    const Impl &impl = *m_impl;
    size_t bytes = sizeof(Impl) + impl.index.memoryBytes() + impl.sketch.memoryBytes()
                   + impl.fleetRates.memoryBytes() + impl.replicas.memoryBytes();
    for (const auto &entry : impl.attempts) {
        bytes += sizeof(entry) + entry.second.chain.capacity() * sizeof(hashing::BlockHash)
                 + entry.second.ages.capacity() * sizeof(BlockAge);
    }
    return bytes;
}

} // namespace teaseldrift::placement
