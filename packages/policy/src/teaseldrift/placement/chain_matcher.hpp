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

/// @brief What one target is expected to hold of a chain.
struct TargetMatch
{
    TargetHandle handle = invalidHandle;
    hashing::VersionSalt salt;
    /// Blocks expected in its cache.
    double expectedBlocks = 0.0;
    /// Leading blocks that the index, and not placement alone, says it holds.
    uint32_t indexedBlocks = 0;
    /// Probability that all blocks up to the last matched level are there.
    float prefixProbability = 1.0F;
    /// Levels matched without a break.
    uint32_t matchedLevels = 0;
};

/// @brief Levels [from, to) of a chain that are looked up by their last block.
struct LevelGroup
{
    uint32_t from = 0;
    uint32_t to = 0;
};

/// @brief Inputs of a walk along a chain that stay the same for all levels.
struct WalkOptions
{
    /// Part of the model's requests that this VM sees.
    double trafficShare = 1.0;
    /// Whole seconds of a target that one request takes.
    double targetSecondsPerRequest = 0.1;
    double replicaUtilisation = 0.5;
    double blockLifetimeSeconds = 20.0;
};

/// @brief Walks along a request's chain and finds for each target how much of it is cached there.
///
/// Two sources of knowledge are joined at each level: the index of what targets hold, and the
/// placement, by which other VMs send the same prefix to the same targets.
class ChainMatcher
{
public:
    /// @brief Prepares one entry for each target; the views need not outlive the call.
    void resolve(std::span<const TargetView> targets, PrefixIndex &index);

    void walk(const RequestView &request, const WalkOptions &options, const PrefixIndex &index,
              const HotPrefixSketch &sketch, const FleetRates &fleetRates, ReplicaCounts &replicas,
              Instant now);

    /// @brief Forgets positions of targets, after one has left.
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

    /// @brief Probability that a target of the placement holds a block that nothing is known of.
    double placementPrior(double requestsPerSecond, size_t replicas,
                          const WalkOptions &options) const;
    /// @brief Rendezvous order of all eligible targets for a chain's first block.
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
    /// ResolvedTarget of each slot plus one, 0 for none.
    std::vector<uint32_t> m_positionOfHandle;
    /// Grows whenever the targets or their eligibility change.
    uint64_t m_targetsVersion = 1;
    std::vector<uint32_t> m_previousEligible;
    std::vector<FirstBlockOrder> m_firstBlockOrders;
    double m_rateConfidence = 0.0;
};

} // namespace teaseldrift::placement
