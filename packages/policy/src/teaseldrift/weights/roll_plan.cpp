#include "teaseldrift/weights/roll_plan.hpp"

#include <algorithm>
#include <tuple>

namespace teaseldrift {

bool RollPlan::saysTheSame(const RollPlan &other) const
{
    return version == other.version && loading == other.loading && waiting == other.waiting
           && loaded == other.loaded && together == other.together;
}

bool RollPlan::replaces(const RollPlan &other) const
{
    return std::tie(fencing, number) > std::tie(other.fencing, other.number);
}

std::optional<size_t> RollPlan::turnsUntil(uint32_t target) const
{
    if (std::find(loading.begin(), loading.end(), target) != loading.end()) {
        return 0;
    }
    const std::vector<uint32_t>::const_iterator found
            = std::find(waiting.begin(), waiting.end(), target);
    if (found == waiting.end()) {
        return std::nullopt;
    }
    return 1 + static_cast<size_t>(found - waiting.begin()) / std::max<size_t>(1, together);
}

} // namespace teaseldrift
