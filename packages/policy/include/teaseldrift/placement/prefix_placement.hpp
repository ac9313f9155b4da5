#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "teaseldrift/hashing/block_hash.hpp"

namespace teaseldrift::placement {

/// @brief How the number of replicas follows the rate of a prefix.
struct ReplicaOptions
{
    uint32_t maxReplicas = 16;
    /// Replicas are removed when a prefix requires less than this fraction of half of them.
    double shrinkThreshold = 0.7;
    /// Prefixes whose number of replicas is kept for hysteresis; rounded up to a power of two.
    size_t trackedPrefixes = 4096;
};

/// @brief Number of replicas of each prefix, with hysteresis, in bounded memory.
class ReplicaCounts
{
public:
    explicit ReplicaCounts(const ReplicaOptions &options = {});

    /// @param requiredReplicas targets that the requests of the prefix keep busy, may be fractional
    /// @return number of replicas, at least 1
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

/// @brief The first `count` candidates in rendezvous order for a block, best first.
/// @param candidates indices into `targetIds`
std::vector<uint32_t> rendezvousCandidates(const hashing::BlockHash &block,
                                           std::span<const std::string_view> targetIds,
                                           std::span<const uint32_t> candidates, size_t count);

/// @brief Narrows the targets of a prefix to those of a longer prefix by rendezvous hashing.
///
/// The targets of a longer prefix are a subset of those of the shorter one, so nested prefixes
/// share targets. No state is needed: every VM obtains the same result.
///
/// @param candidates indices into `targetIds`; reduced to the first `count` of the rendezvous
/// order
void narrowCandidates(const hashing::BlockHash &block, std::span<const std::string_view> targetIds,
                      size_t count, std::vector<uint32_t> &candidates);

} // namespace teaseldrift::placement
