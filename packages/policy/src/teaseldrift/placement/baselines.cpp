#include "teaseldrift/placement/baselines.hpp"

#include <algorithm>
#include <array>
#include <vector>

#include "teaseldrift/base/rendezvous.hpp"

namespace teaseldrift::placement {

namespace {

bool isEligible(const TargetView &target)
{
    return target.accepting && target.role == TargetRole::Engine;
}

ChoiceOutcome noDispatchOutcome(std::span<const TargetView> targets)
{
    return std::ranges::any_of(targets, isEligible) ? ChoiceOutcome::NoRoom
                                                    : ChoiceOutcome::NoTarget;
}

/// Keeps the target with the highest score; ties are broken uniformly at random.
class BestTarget
{
public:
    explicit BestTarget(std::mt19937_64 &generator) : m_generator(generator) { }

    void consider(size_t target, double score)
    {
        if (m_found && score < m_score) {
            return;
        }
        m_ties = m_found && score == m_score ? m_ties + 1 : 1;
        if (m_ties > 1 && m_generator() % m_ties != 0) {
            return;
        }
        m_found = true;
        m_target = target;
        m_score = score;
    }

    Choice choice(std::span<const TargetView> targets, uint32_t promptTokens) const
    {
        if (!m_found) {
            return {.outcome = noDispatchOutcome(targets)};
        }
        return {.outcome = ChoiceOutcome::Dispatch,
                .reason = ChoiceReason::Load,
                .target = m_target,
                .prefillTokens = promptTokens};
    }

private:
    std::mt19937_64 &m_generator;
    bool m_found = false;
    size_t m_target = 0;
    double m_score = 0.0;
    uint64_t m_ties = 0;
};

} // namespace

double LoadTracker::occupancy(const TargetView &target, Instant now)
{
    TargetLoad &load = m_loads.try_emplace(std::string(target.id)).first->second;
    const LoadEstimate estimate = load.estimate(target.load, m_options.prefillTokensPerSecond,
                                                m_options.maxReportAge, 1.0, now);
    return estimate.inFlight / std::max(1U, target.slots);
}

bool LoadTracker::hasRoom(const TargetView &target, Instant now)
{
    return isEligible(target) && occupancy(target, now) < m_options.inFlightPerSlot;
}

void LoadTracker::started(uint64_t attemptId, std::string_view targetId, Instant now)
{
    m_loads[std::string(targetId)].started(attemptId, 0, now);
    m_attempts.insert_or_assign(attemptId, std::string(targetId));
}

void LoadTracker::finished(uint64_t attemptId, Instant now)
{
    const auto found = m_attempts.find(attemptId);
    if (found != m_attempts.end()) {
        m_loads[found->second].finished(attemptId, now);
        m_attempts.erase(found);
    }
}

void BaselinePolicy::started(uint64_t attemptId, const RequestView & /*request*/,
                             const TargetView &target, const Choice & /*choice*/, Instant now)
{
    m_loadTracker.started(attemptId, target.id, now);
}

void BaselinePolicy::firstToken(uint64_t /*attemptId*/, Instant /*now*/) { }

void BaselinePolicy::finished(uint64_t attemptId, const AttemptEnd & /*end*/, Instant now)
{
    m_loadTracker.finished(attemptId, now);
}

void BaselinePolicy::onCacheEvent(const CacheEvent & /*event*/, Instant /*now*/) { }

Choice RoundRobinPolicy::choose(const RequestView &request, std::span<const TargetView> targets,
                                Instant now, std::mt19937_64 & /*generator*/)
{
    for (size_t tried = 0; tried < targets.size(); ++tried) {
        const size_t target = (m_next + tried) % targets.size();
        if (loadTracker().hasRoom(targets[target], now)) {
            m_next = target + 1;
            return {.outcome = ChoiceOutcome::Dispatch,
                    .reason = ChoiceReason::Load,
                    .target = target,
                    .prefillTokens = request.promptTokens};
        }
    }
    return {.outcome = noDispatchOutcome(targets)};
}

Choice LeastLoadedPolicy::choose(const RequestView &request, std::span<const TargetView> targets,
                                 Instant now, std::mt19937_64 &generator)
{
    BestTarget best(generator);
    for (size_t target = 0; target < targets.size(); ++target) {
        if (loadTracker().hasRoom(targets[target], now)) {
            best.consider(target, -loadTracker().occupancy(targets[target], now));
        }
    }
    return best.choice(targets, request.promptTokens);
}

Choice FirstBlockHashPolicy::choose(const RequestView &request, std::span<const TargetView> targets,
                                    Instant now, std::mt19937_64 &generator)
{
    const uint64_t key = request.chain.empty() ? generator() : request.chain.front().low;
    BestTarget best(generator);
    for (size_t target = 0; target < targets.size(); ++target) {
        if (loadTracker().hasRoom(targets[target], now)) {
            best.consider(target, rendezvousScore(key, targets[target].id));
        }
    }
    return best.choice(targets, request.promptTokens);
}

uint32_t LongestMatchPolicy::matchedBlocks(const RequestView &request, const TargetView &target,
                                           Instant now)
{
    const TargetHandle handle
            = m_index.registerTarget(target.id, target.incarnation, target.weightsVersion);
    const hashing::VersionSalt salt(target.weightsVersion);
    std::array<Holder, PrefixIndex::holdersPerBlock> holders;
    uint32_t matched = 0;
    for (const hashing::BlockHash &block : request.chain) {
        const size_t count = m_index.holders(block, salt, now, holders);
        const bool held = std::ranges::any_of(
                std::span(holders).first(count), [handle](const Holder &holder) {
                    return holder.handle == handle && holder.probability >= 0.5F;
                });
        if (!held) {
            break;
        }
        ++matched;
    }
    return matched;
}

Choice LongestMatchPolicy::choose(const RequestView &request, std::span<const TargetView> targets,
                                  Instant now, std::mt19937_64 &generator)
{
    constexpr double loadWeight = 1e-3;
    BestTarget best(generator);
    for (size_t target = 0; target < targets.size(); ++target) {
        if (loadTracker().hasRoom(targets[target], now)) {
            const double matched = matchedBlocks(request, targets[target], now);
            best.consider(target,
                          matched - loadWeight * loadTracker().occupancy(targets[target], now));
        }
    }
    return best.choice(targets, request.promptTokens);
}

void LongestMatchPolicy::started(uint64_t attemptId, const RequestView &request,
                                 const TargetView &target, const Choice &choice, Instant now)
{
    BaselinePolicy::started(attemptId, request, target, choice, now);
    m_index.recordUse(m_index.registerTarget(target.id, target.incarnation, target.weightsVersion),
                      request.chain, now);
}

void LongestMatchPolicy::onCacheEvent(const CacheEvent &event, Instant now)
{
    m_index.onCacheEvent(event, now);
}

} // namespace teaseldrift::placement
