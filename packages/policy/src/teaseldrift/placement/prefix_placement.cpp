#include "teaseldrift/placement/prefix_placement.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

#include <boost/container/small_vector.hpp>

#include "teaseldrift/base/rendezvous.hpp"

namespace teaseldrift::placement {

ReplicaCounts::ReplicaCounts(const ReplicaOptions &options)
    : m_options(options),
      m_trackedPrefixes(std::bit_ceil(std::max<size_t>(options.trackedPrefixes, 1)))
{ }

uint32_t ReplicaCounts::update(const hashing::BlockHash &block, double requiredReplicas)
{
    const double bounded
            = std::clamp(requiredReplicas, 1.0, static_cast<double>(m_options.maxReplicas));
    TrackedPrefix &entry = m_trackedPrefixes[block.high & (m_trackedPrefixes.size() - 1)];
    const bool isTracked = entry.hash == block.low && entry.replicas > 0;
    // Powers of two, so that VMs whose rates differ slightly use the same number of replicas.
    const uint32_t wanted = std::bit_ceil(static_cast<uint32_t>(std::ceil(bounded)));
    if (!isTracked && wanted == 1) {
        return 1;
    }
    const bool grows = !isTracked || wanted > entry.replicas;
    const bool shrinks = isTracked && wanted < entry.replicas
                         && requiredReplicas < m_options.shrinkThreshold * entry.replicas / 2.0;
    if (grows || shrinks) {
        entry = {.hash = block.low, .replicas = wanted};
    }
    return entry.replicas;
}

size_t ReplicaCounts::memoryBytes() const
{
    return m_trackedPrefixes.size() * sizeof(TrackedPrefix);
}

std::vector<uint32_t> rendezvousCandidates(const hashing::BlockHash &block,
                                           std::span<const std::string_view> targetIds,
                                           std::span<const uint32_t> candidates, size_t count)
{
    struct Scored
    {
        double score;
        uint32_t index;
    };
    boost::container::small_vector<Scored, 32> scored;
    scored.reserve(candidates.size());
    for (const uint32_t index : candidates) {
        scored.push_back({rendezvousScore(block.low, targetIds[index]), index});
    }
    const size_t kept = std::min(count, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(kept),
                      scored.end(), [&targetIds](const Scored &left, const Scored &right) {
                          return left.score != right.score
                                         ? left.score > right.score
                                         : targetIds[left.index] < targetIds[right.index];
                      });
    std::vector<uint32_t> best;
    best.reserve(kept);
    for (const Scored &one : std::span<const Scored>(scored.data(), kept)) {
        best.push_back(one.index);
    }
    return best;
}

void narrowCandidates(const hashing::BlockHash &block, std::span<const std::string_view> targetIds,
                      size_t count, std::vector<uint32_t> &candidates)
{
    if (candidates.size() > count) {
        candidates = rendezvousCandidates(block, targetIds, candidates, count);
    }
}

} // namespace teaseldrift::placement
