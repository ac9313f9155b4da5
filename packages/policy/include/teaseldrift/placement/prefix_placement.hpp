#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "teaseldrift/hashing/block_hash.hpp"

namespace teaseldrift::placement {

/// @brief How replicas follow the rate of a prefix.
struct ReplicaOptions
{
    uint32_t maxReplicas = 16;
    /// A prefix loses half of its replicas when it needs less than this part of that half.
    double shrinkThreshold = 0.7;
    /// Prefixes whose replicas are remembered for hysteresis, a power of two.
    size_t trackedPrefixes = 4096;
};

/// @brief Number of replicas of each prefix, with hysteresis in bounded memory.
class ReplicaCounts
{
public:
    explicit ReplicaCounts(const ReplicaOptions &options = {});

    /// @param needed targets that the prefix keeps busy, as a fraction of whole targets
    /// @return replicas of the prefix, at least 1
    uint32_t update(const hashing::BlockHash &block, double requiredReplicas);

    size_t memoryBytes() const;

private:
    struct TrackedPrefix
    {
        uint64_t hash = 0;
        uint32_t replicas = 0;
    };

    ReplicaOptions m_options;
    std::vector<TrackedPrefix> m_trackedPrefixes;
};

/// @brief The first `count` of some targets in rendezvous order for a block, best first.
/// @param candidates indices into `targetIds`
std::vector<uint32_t> rendezvousCandidates(const hashing::BlockHash &block,
                                           std::span<const std::string_view> targetIds,
                                           std::span<const uint32_t> candidates, size_t count);

/// @brief Narrows the targets of a prefix to those of a longer prefix by rendezvous hashing.
///
/// Since the targets of the longer prefix lie inside those of the shorter one, nested prefixes
/// gather on the same targets. No state is needed: every VM narrows alike.
///
/// @param candidates indices into `targetIds`; reduced to the first `count` of the rendezvous
/// order
void narrowCandidates(const hashing::BlockHash &block, std::span<const std::string_view> targetIds,
                      size_t count, std::vector<uint32_t> &candidates);

} // namespace teaseldrift::placement
