#pragma once

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <vector>

#include "chain_matcher.hpp"
#include "teaseldrift/placement/cache_aware_policy.hpp"
#include "teaseldrift/placement/target_load.hpp"

namespace teaseldrift::placement {

constexpr double minTrafficShare = 1e-4;
/// Initial values of the learned means.
constexpr double initialMeanServiceSeconds = 2.0;
constexpr double initialMeanTargetSeconds = 0.1;

inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// Cost of running a request on a target, in seconds.
struct Cost
{
    uint32_t target = 0;
    double wait = 0.0;
    double prefill = 0.0;
    double import = 0.0;
    double total = 0.0;
    double inFlight = 0.0;
    uint32_t prefillTokens = 0;
    bool stale = false;
    bool hasRoom = false;
    std::optional<ImportPlan> plan;
};

/// A block of a chain and the age of its record in the index when the attempt started.
struct BlockAge
{
    uint32_t level = 0;
    Duration age{};
};

struct Attempt
{
    TargetHandle handle = invalidHandle;
    uint64_t incarnation = 0;
    std::vector<hashing::BlockHash> chain;
    std::vector<BlockAge> ages;
    uint32_t prefillTokens = 0;
    uint32_t slots = 1;
    Instant startedAt{};
    std::optional<Instant> firstTokenAt;
};

struct CacheAwarePolicy::Impl
{
    explicit Impl(CacheAwareOptions policyOptions)
        : options(std::move(policyOptions)), index(options.index), sketch(options.hotPrefixes),
          replicas({.maxReplicas = options.maxReplicas})
    {
        options.trafficShare = std::clamp(options.trafficShare, minTrafficShare, 1.0);
    }

    CacheAwareOptions options;
    PrefixIndex index;
    HotPrefixSketch sketch;
    FleetRates fleetRates;
    ReplicaCounts replicas;
    ChainMatcher matcher;
    std::vector<TargetLoad> loads;
    std::unordered_map<uint64_t, Attempt> attempts;
    std::vector<Cost> costs;
    std::vector<uint32_t> comparedTargets;
    double meanServiceSeconds = initialMeanServiceSeconds;
    double meanTargetSeconds = initialMeanTargetSeconds;
    /// Moving average of requests in flight per slot over the compared targets.
    double meanOccupancy = 0.0;

    TargetLoad &loadOf(TargetHandle handle);
    void selectComparedTargets(std::mt19937_64 &generator);
    void addCost(uint32_t target, const RequestView &request, std::span<const TargetView> targets,
                 Instant now);
    double placementPenalty(uint32_t target) const;
    double scarcityFactor() const;
    void planImport(Cost &cost, std::span<const TargetView> targets) const;
    const Cost &pick(std::mt19937_64 &generator) const;
    bool anyRoom() const;
    Choice makeChoice(const Cost &cost) const;
    WalkOptions walkOptions() const;
    void updateServiceTimes(const Attempt &attempt, Instant now);
    void updateBlockLifetimes(const Attempt &attempt, uint32_t cachedTokens);
};

} // namespace teaseldrift::placement
