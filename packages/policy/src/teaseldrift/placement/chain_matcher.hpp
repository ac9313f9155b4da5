#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "teaseldrift/placement/fleet_rates.hpp"
#include "teaseldrift/placement/hot_prefix_sketch.hpp"
#include "teaseldrift/placement/prefix_index.hpp"
#include "teaseldrift/placement/prefix_placement.hpp"
#include "teaseldrift/placement/views.hpp"

namespace teaseldrift::placement {

/// @brief Estimate of how much of a chain one target holds.
struct TargetMatch
{
    TargetHandle handle = invalidHandle;
    hashing::VersionSalt salt;
    /// Expected number of cached blocks.
    double expectedBlocks = 0.0;
    /// Leading blocks that it holds according to the index, without regard to placement.
    uint32_t indexedBlocks = 0;
    /// Probability that all blocks up to the last matched level are cached.
    float prefixProbability = 1.0F;
    /// Consecutive levels that match, from the start of the chain.
    uint32_t matchedLevels = 0;
};

/// @brief Levels [from, to) of a chain, that is indices of its blocks. They are looked up by their
/// last block.
struct LevelGroup
{
    uint32_t from = 0;
    uint32_t to = 0;
};

/// @brief Inputs of ChainMatcher::walk() that are the same for all levels.
struct WalkOptions
{
    /// This VM's share of the model's requests.
    double trafficShare = 1.0;
    /// Mean time for which one request occupies a whole target.
    double targetSecondsPerRequest = 0.1;
    double replicaUtilisation = 0.5;
    double blockLifetimeSeconds = 20.0;
};

/// @brief Estimates for each target how much of a request's chain is cached there.
///
/// At each level two sources are combined: the prefix index, and the placement, by which other VMs
/// send the same prefix to the same targets.
class ChainMatcher
{
public:
    /// @brief Looks up the handle of each target. The target ids must outlive the next walk().
    void resolve(std::span<const TargetView> targets, PrefixIndex &index);

    /// @brief Matches the chain of a request against the targets passed to resolve().
    void walk(const RequestView &request, const WalkOptions &options, const PrefixIndex &index,
              const HotPrefixSketch &sketch, const FleetRates &fleetRates, ReplicaCounts &replicas,
              Instant now);

    /// @brief Discards the resolved targets, after one has been removed.
    void reset();

    std::span<const TargetMatch> matches() const { return m_matches; }
    /// @brief Targets on which the whole chain is placed.
    std::span<const uint32_t> placed() const { return m_candidates; }
    bool isPlaced(uint32_t target) const { return m_isCandidate[target] != 0; }
    std::span<const uint32_t> eligible() const { return m_eligible; }

private:
    struct ResolvedTarget
    {
        std::string id;
        uint64_t incarnation = 0;
        std::string weightsVersion;
        TargetHandle handle = invalidHandle;
        hashing::VersionSalt salt;
    };

    /// @brief Probability that a target on which a block is placed holds it, without any record of
    /// it.
    double placementPrior(double requestsPerSecond, size_t replicas,
                          const WalkOptions &options) const;
    /// @brief Cached rendezvous order of the eligible targets for a chain's first block.
    struct FirstBlockOrder
    {
        uint64_t hash = 0;
        uint64_t targetsVersion = 0;
        std::vector<uint32_t> best;
    };

    const FirstBlockOrder &firstBlockOrder(const hashing::BlockHash &block);
    void narrow(const hashing::BlockHash &block, size_t count);
    bool matchGroup(const hashing::BlockHash &last, const LevelGroup &group, float prior,
                    const PrefixIndex &index, Instant now);
    void extend(TargetMatch &match, const LevelGroup &group, float probability);

    std::vector<ResolvedTarget> m_resolvedTargets;
    std::vector<TargetMatch> m_matches;
    std::vector<hashing::VersionSalt> m_salts;
    std::vector<std::string_view> m_ids;
    std::vector<uint32_t> m_eligible;
    std::vector<uint32_t> m_candidates;
    std::vector<uint8_t> m_isCandidate;
    /// Index of the resolved target of each handle plus one; 0 for none.
    std::vector<uint32_t> m_positionOfHandle;
    /// Increases whenever the targets or their eligibility change.
    uint64_t m_targetsVersion = 1;
    std::vector<uint32_t> m_previousEligible;
    std::vector<FirstBlockOrder> m_firstBlockOrders;
    double m_rateConfidence = 0.0;
};

} // namespace teaseldrift::placement
