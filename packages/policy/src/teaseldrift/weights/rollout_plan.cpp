#include "teaseldrift/weights/rollout_plan.hpp"

#include <algorithm>
#include <tuple>

namespace teaseldrift {

bool RolloutPlan::hasSameContent(const RolloutPlan &other) const
{
    return version == other.version && loading == other.loading && waiting == other.waiting
           && loaded == other.loaded && batchSize == other.batchSize;
}

bool RolloutPlan::supersedes(const RolloutPlan &other) const
{
    return std::tie(fencing, sequence) > std::tie(other.fencing, other.sequence);
}

std::optional<size_t> RolloutPlan::batchesUntilLoad(uint32_t target) const
{
    if (std::find(loading.begin(), loading.end(), target) != loading.end()) {
        return 0;
    }
    const std::vector<uint32_t>::const_iterator found
            = std::find(waiting.begin(), waiting.end(), target);
    if (found == waiting.end()) {
        return std::nullopt;
    }
    return 1 + static_cast<size_t>(found - waiting.begin()) / std::max<size_t>(1, batchSize);
}

} // namespace teaseldrift
