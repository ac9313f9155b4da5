#include "chain_matcher.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace teaseldrift::placement {

namespace {

/// Probability, before rates are known, that a target holds a block that is placed on it.
constexpr double initialPlacementPrior = 0.5;
/// Probability below which placement is ignored.
constexpr float negligibleProbability = 0.05F;
/// Probability from which a block counts as held according to the index.
constexpr float minIndexedProbability = 0.7F;
/// Maximum number of levels of a chain that are looked up, once for each version of the weights.
constexpr size_t maxLookups = 24;
/// Number of first blocks whose rendezvous order is cached, and length of a cached order.
constexpr size_t firstBlockCacheSize = 1024;
constexpr size_t cachedOrderLength = 16;
/// Observation time after which rates fully replace initialPlacementPrior.
constexpr Duration rateWarmupTime = 2s;

} // namespace

void ChainMatcher::reset()
{
    m_resolvedTargets.clear();
    m_positionOfHandle.clear();
    ++m_targetsVersion;
}

void ChainMatcher::resolve(std::span<const TargetView> targets, PrefixIndex &index)
{
    for (const TargetMatch &match : m_matches) {
        if (match.handle < m_positionOfHandle.size()) {
            m_positionOfHandle[match.handle] = 0;
        }
    }
    if (m_resolvedTargets.size() != targets.size()) {
        ++m_targetsVersion;
    }
    m_resolvedTargets.resize(targets.size());
    std::swap(m_previousEligible, m_eligible);
    m_matches.assign(targets.size(), {});
    m_ids.resize(targets.size());
    m_salts.clear();
    m_eligible.clear();
    for (uint32_t i = 0; i < targets.size(); ++i) {
        const TargetView &target = targets[i];
        ResolvedTarget &resolved = m_resolvedTargets[i];
        const bool current = resolved.handle != invalidHandle && resolved.id == target.id
                             && resolved.incarnation == target.incarnation
                             && resolved.weightsVersion == target.weightsVersion;
        if (!current) {
            ++m_targetsVersion;
            resolved = {
                    .id = std::string(target.id),
                    .incarnation = target.incarnation,
                    .weightsVersion = std::string(target.weightsVersion),
                    .handle
                    = index.registerTarget(target.id, target.incarnation, target.weightsVersion),
                    .salt = hashing::VersionSalt(target.weightsVersion),
            };
        }
        m_matches[i].handle = resolved.handle;
        m_matches[i].salt = resolved.salt;
        m_ids[i] = target.id;
        if (std::ranges::find(m_salts, resolved.salt) == m_salts.end()) {
            m_salts.push_back(resolved.salt);
        }
        if (resolved.handle != invalidHandle) {
            if (m_positionOfHandle.size() <= resolved.handle) {
                m_positionOfHandle.resize(size_t{resolved.handle} + 1);
            }
            m_positionOfHandle[resolved.handle] = i + 1;
        }
        if (target.accepting && target.role == TargetRole::Engine) {
            m_eligible.push_back(i);
        }
    }
    if (m_eligible != m_previousEligible) {
        ++m_targetsVersion;
    }
}

double ChainMatcher::placementPrior(double requestsPerSecond, size_t replicas,
                                    const WalkOptions &options) const
{
    // The index covers this VM's own requests; the prior covers those of the other VMs.
    const double othersShare = 1.0 - options.trafficShare;
    const double expectedRequests = othersShare * requestsPerSecond * options.blockLifetimeSeconds
                                    / static_cast<double>(replicas);
    const double byRate = 1.0 - std::exp(-expectedRequests);
    return m_rateConfidence * byRate
           + (1.0 - m_rateConfidence) * std::max(initialPlacementPrior * othersShare, byRate);
}

void ChainMatcher::walk(const RequestView &request, const WalkOptions &options,
                        const PrefixIndex &index, const HotPrefixSketch &sketch,
                        const FleetRates &fleetRates, ReplicaCounts &replicas, Instant now)
{
    m_candidates = m_eligible;
    m_isCandidate.assign(m_matches.size(), 0);
    for (const uint32_t candidate : m_candidates) {
        m_isCandidate[candidate] = 1;
    }
    m_rateConfidence
            = std::min(1.0, toSeconds(sketch.observedTime(now)) / toSeconds(rateWarmupTime));
    const HotPrefixSketch::Weights rateWeights = sketch.weightsAt(now);
    double parentRate = -1.0;
    float prior = 0.0F;
    bool hasMatches = !m_eligible.empty();
    // A target that holds a block also holds those before it, so long chains are sampled.
    const uint32_t stride = 1 + static_cast<uint32_t>(request.chain.size() / maxLookups);
    uint32_t matched = 0;
    for (uint32_t level = 0; level < request.chain.size() && hasMatches; ++level) {
        const hashing::BlockHash &block = request.chain[level];
        const double localRate = sketch.rate(block.low, rateWeights);
        // Blocks that are always requested together share their placement.
        if (localRate != parentRate) {
            const double rate = fleetRates.meanRate(block.low, localRate) / options.trafficShare;
            const double requiredReplicas
                    = rate * options.targetSecondsPerRequest / options.replicaUtilisation;
            narrow(block, replicas.update(block, requiredReplicas));
            prior = static_cast<float>(placementPrior(rate, m_candidates.size(), options));
            parentRate = localRate;
        }
        const bool isSampled = (level + 1) % stride == 0 || level + 1 == request.chain.size();
        if (isSampled) {
            hasMatches = matchGroup(block, {.from = matched, .to = level + 1}, prior, index, now);
            matched = level + 1;
        }
    }
}

const ChainMatcher::FirstBlockOrder &ChainMatcher::firstBlockOrder(const hashing::BlockHash &block)
{
    m_firstBlockOrders.resize(firstBlockCacheSize);
    FirstBlockOrder &order = m_firstBlockOrders[block.low % firstBlockCacheSize];
    if (order.hash == block.low && order.targetsVersion == m_targetsVersion) {
        return order;
    }
    order.hash = block.low;
    order.targetsVersion = m_targetsVersion;
    order.best = rendezvousCandidates(block, m_ids, m_eligible, cachedOrderLength);
    return order;
}

void ChainMatcher::narrow(const hashing::BlockHash &block, size_t count)
{
    if (count >= m_candidates.size()) {
        return;
    }
    for (const uint32_t candidate : m_candidates) {
        m_isCandidate[candidate] = 0;
    }
    if (m_candidates.size() == m_eligible.size() && count <= cachedOrderLength) {
        const std::vector<uint32_t> &best = firstBlockOrder(block).best;
        m_candidates.assign(best.begin(), best.begin() + static_cast<std::ptrdiff_t>(count));
    } else {
        narrowCandidates(block, m_ids, count, m_candidates);
    }
    for (const uint32_t candidate : m_candidates) {
        m_isCandidate[candidate] = 1;
    }
}

void ChainMatcher::extend(TargetMatch &match, const LevelGroup &group, float probability)
{
    if (match.matchedLevels != group.from) {
        return;
    }
    match.prefixProbability = std::min(match.prefixProbability, probability);
    match.expectedBlocks += static_cast<double>(match.prefixProbability) * (group.to - group.from);
    match.matchedLevels = group.to;
}

bool ChainMatcher::matchGroup(const hashing::BlockHash &last, const LevelGroup &group, float prior,
                              const PrefixIndex &index, Instant now)
{
    const bool usesPlacement = prior >= negligibleProbability;
    bool matched = false;
    std::array<Holder, PrefixIndex::holdersPerBlock> holders;
    for (const hashing::VersionSalt &salt : m_salts) {
        const size_t count = index.holders(last, salt, now, holders);
        for (const Holder &holder : std::span(holders).first(count)) {
            const uint32_t position = holder.handle < m_positionOfHandle.size()
                                              ? m_positionOfHandle[holder.handle]
                                              : 0;
            if (position == 0 || m_matches[position - 1].salt != salt) {
                continue;
            }
            TargetMatch &match = m_matches[position - 1];
            const bool isPlaced = usesPlacement && m_isCandidate[position - 1] != 0;
            if (match.indexedBlocks == group.from && holder.probability >= minIndexedProbability) {
                match.indexedBlocks = group.to;
            }
            matched = matched || match.matchedLevels == group.from;
            extend(match, group,
                   isPlaced ? std::max(prior, holder.probability) : holder.probability);
        }
    }
    if (usesPlacement) {
        for (const uint32_t candidate : m_candidates) {
            TargetMatch &match = m_matches[candidate];
            matched = matched || match.matchedLevels == group.from;
            extend(match, group, prior);
        }
    }
    return matched;
}

} // namespace teaseldrift::placement
