#include <algorithm>

#include "cache_aware_policy_impl.hpp"

namespace teaseldrift::placement {

namespace {

/// Maximum number of targets that are compared, unless all of these are full.
constexpr size_t maxComparedTargets = 32;
/// Random targets that are compared beside those that may hold the prefix.
constexpr size_t randomComparedTargets = 4;
/// Weight of one request in the learned means.
constexpr double meanLearningRate = 0.02;
/// Weight of one estimate in the mean occupancy.
constexpr double occupancyLearningRate = 0.005;
/// Mean occupancy above which the scarcity factor grows.
constexpr double scarcityThreshold = 0.7;

} // namespace

TargetLoad &CacheAwarePolicy::Impl::loadOf(TargetHandle handle)
{
    if (loads.size() <= handle) {
        loads.resize(size_t{handle} + 1);
    }
    return loads[handle];
}

WalkOptions CacheAwarePolicy::Impl::walkOptions() const
{
    return {
            .trafficShare = options.trafficShare,
            .targetSecondsPerRequest = meanTargetSeconds,
            .replicaUtilisation = options.replicaUtilisation,
            .blockLifetimeSeconds = toSeconds(options.index.initialBlockLifetime),
    };
}

/// With many targets, selects those that may hold a part of the chain and a few random ones.
void CacheAwarePolicy::Impl::selectComparedTargets(std::mt19937_64 &generator)
{
    const std::span<const uint32_t> eligible = matcher.eligible();
    if (eligible.size() <= maxComparedTargets) {
        comparedTargets.assign(eligible.begin(), eligible.end());
        return;
    }
    comparedTargets.clear();
    for (const uint32_t target : eligible) {
        if (matcher.matches()[target].matchedLevels > 0) {
            comparedTargets.push_back(target);
        }
    }
    for (size_t i = 0; i < randomComparedTargets; ++i) {
        comparedTargets.push_back(eligible[generator() % eligible.size()]);
    }
    if (comparedTargets.size() > maxComparedTargets) {
        std::ranges::nth_element(
                comparedTargets, comparedTargets.begin() + maxComparedTargets, std::greater{},
                [this](uint32_t target) { return matcher.matches()[target].expectedBlocks; });
        comparedTargets.resize(maxComparedTargets);
    }
    std::ranges::sort(comparedTargets);
    comparedTargets.erase(std::unique(comparedTargets.begin(), comparedTargets.end()),
                          comparedTargets.end());
}

/// Penalty of a target on which the prefix is not placed. It limits the number of copies, and lets
/// a restarted VM find the blocks by placement alone.
double CacheAwarePolicy::Impl::placementPenalty(uint32_t target) const
{
    return matcher.isPlaced(target) ? 0.0 : toSeconds(options.offPlacementPenalty);
}

/// Factor by which repeated prefill costs more when all targets are busy, since it then delays all
/// requests.
double CacheAwarePolicy::Impl::scarcityFactor() const
{
    const double scarcity = (meanOccupancy - scarcityThreshold) / (1.0 - scarcityThreshold);
    return 1.0 + options.scarcityWeight * std::clamp(scarcity, 0.0, 1.0);
}

void CacheAwarePolicy::Impl::addCost(uint32_t target, const RequestView &request,
                                     std::span<const TargetView> targets, Instant now)
{
    const TargetView &view = targets[target];
    const TargetMatch &matched = matcher.matches()[target];
    if (matched.handle == invalidHandle) {
        return;
    }
    const LoadEstimate load = loadOf(matched.handle)
                                      .estimate(view.load, options.prefillTokensPerSecond,
                                                options.maxReportAge, options.trafficShare, now);
    const double slots = std::max(1U, view.slots);
    const double cached = matched.expectedBlocks * options.blockTokens;
    Cost cost{.target = target,
              .inFlight = load.inFlight / slots,
              .stale = load.stale,
              .hasRoom = load.fleetInFlight < options.inFlightPerSlot * slots};
    cost.prefillTokens = static_cast<uint32_t>(std::max(1.0, request.promptTokens - cached));
    cost.prefill = cost.prefillTokens / options.prefillTokensPerSecond;
    planImport(cost, targets);
    const double expectedBacklog
            = std::max(load.backlogTokens, options.meanBacklogWeight * load.meanBacklogTokens);
    cost.wait = expectedBacklog / options.prefillTokensPerSecond;
    cost.wait += std::max(0.0, load.inFlight - slots + 1.0) / slots * meanServiceSeconds;
    const bool inSameZone
            = options.availabilityZone.empty() || view.availabilityZone == options.availabilityZone;
    meanOccupancy += occupancyLearningRate * (cost.inFlight - meanOccupancy);
    cost.total = cost.wait + cost.import
                 + cost.prefill * (1.0 + options.prefillWeight * scarcityFactor())
                 + (inSameZone ? 0.0 : toSeconds(options.crossZoneRoundTrip))
                 + placementPenalty(target) * scarcityFactor()
                 + load.inFlight / slots * toSeconds(options.occupancyPenalty);
    costs.push_back(cost);
}

void CacheAwarePolicy::Impl::planImport(Cost &cost, std::span<const TargetView> targets) const
{
    if (options.importTokensPerSecond <= 0.0) {
        return;
    }
    const std::span<const TargetMatch> matches = matcher.matches();
    const TargetMatch &own = matches[cost.target];
    const uint32_t held = static_cast<uint32_t>(own.expectedBlocks);
    uint32_t best = held;
    for (uint32_t source = 0; source < matches.size(); ++source) {
        if (source == cost.target || matches[source].indexedBlocks <= best
            || matches[source].salt != own.salt) {
            continue;
        }
        best = matches[source].indexedBlocks;
        cost.plan = {.source = source,
                     .sourceIncarnation = targets[source].incarnation,
                     .firstBlock = held,
                     .blocks = best - held};
    }
    if (!cost.plan) {
        return;
    }
    const double tokens = static_cast<double>(cost.plan->blocks) * options.blockTokens;
    const double import
            = toSeconds(options.importOverhead) + tokens / options.importTokensPerSecond;
    const double saved = tokens / options.prefillTokensPerSecond;
    if (import >= saved * options.maxImportCostRatio) {
        cost.plan.reset();
        return;
    }
    cost.import = import;
    cost.prefillTokens -= std::min(cost.prefillTokens - 1, static_cast<uint32_t>(tokens));
    cost.prefill = cost.prefillTokens / options.prefillTokensPerSecond;
}

/// Selects the cheapest target; of tied targets, the less loaded of two random ones.
const Cost &CacheAwarePolicy::Impl::pick(std::mt19937_64 &generator) const
{
    const auto cheapest = std::ranges::min_element(costs, {}, &Cost::total);
    constexpr double staleToleranceFactor = 4.0;
    const double width
            = toSeconds(options.tieTolerance) * (cheapest->stale ? staleToleranceFactor : 1.0);
    const auto isTied = [&cheapest, width](const Cost &cost) {
        return cost.total <= cheapest->total + width;
    };
    const size_t tied = static_cast<size_t>(std::ranges::count_if(costs, isTied));
    if (tied == 1) {
        return *cheapest;
    }
    size_t first = generator() % tied;
    size_t second = generator() % (tied - 1);
    second += second >= first ? 1 : 0;
    const Cost *picked = nullptr;
    size_t position = 0;
    for (const Cost &cost : costs) {
        if (!isTied(cost)) {
            continue;
        }
        if (position == first || position == second) {
            picked = picked == nullptr || cost.inFlight < picked->inFlight ? &cost : picked;
        }
        ++position;
    }
    return *picked;
}

bool CacheAwarePolicy::Impl::anyRoom() const
{
    return std::ranges::any_of(costs, &Cost::hasRoom);
}

Choice CacheAwarePolicy::Impl::makeChoice(const Cost &cost) const
{
    const TargetMatch &matched = matcher.matches()[cost.target];
    ChoiceReason reason = ChoiceReason::Load;
    if (matched.indexedBlocks > 0) {
        reason = ChoiceReason::CachedPrefix;
    } else if (!matcher.placed().empty() && matcher.placed().size() < matcher.eligible().size()
               && matcher.isPlaced(cost.target)) {
        reason = ChoiceReason::PlacedPrefix;
    }
    return {
            .outcome = ChoiceOutcome::Dispatch,
            .reason = reason,
            .target = cost.target,
            .expectedWait = fromSeconds(cost.wait),
            .expectedPrefill = fromSeconds(cost.prefill),
            .expectedImport = fromSeconds(cost.import),
            .expectedBlocks = matched.expectedBlocks,
            .prefillTokens = cost.prefillTokens,
            .considered = static_cast<uint32_t>(costs.size()),
            .replicas = static_cast<uint32_t>(matcher.placed().size()),
            .import = cost.plan,
    };
}

void CacheAwarePolicy::Impl::updateServiceTimes(const Attempt &attempt, Instant now)
{
    if (!attempt.firstTokenAt) {
        return;
    }
    const double prefill = attempt.prefillTokens / options.prefillTokensPerSecond;
    const double service = prefill + toSeconds(now - *attempt.firstTokenAt);
    meanServiceSeconds += meanLearningRate * (service - meanServiceSeconds);
    const double targetTime = std::max(prefill, service / attempt.slots);
    meanTargetSeconds += meanLearningRate * (targetTime - meanTargetSeconds);
}

void CacheAwarePolicy::Impl::updateBlockLifetimes(const Attempt &attempt, uint32_t cachedTokens)
{
    const uint32_t cachedBlocks = cachedTokens / std::max(1U, options.blockTokens);
    for (const BlockAge &blockAge : attempt.ages) {
        if (blockAge.level <= cachedBlocks) {
            index.updateLifetime(attempt.handle, blockAge.level < cachedBlocks, blockAge.age);
        }
    }
}

} // namespace teaseldrift::placement
