#include "teaseldrift/shutdown/stop_plan.hpp"

#include <algorithm>

namespace teaseldrift {

namespace {

/// A request taken later could not be finished within the usual grace, and callers have let go of
/// their directory answers by then.
constexpr Duration longestLinger = 2800ms;
constexpr double lingerPart = 0.35;

/// Time before the end of the grace at which the process ends in any case.
constexpr Duration margin = 700ms;

} // namespace

StopPhase stopPhase(Duration sinceRequest, Duration grace, size_t openRequests)
{
    const Duration part(
            static_cast<Duration::rep>(static_cast<double>(grace.count()) * lingerPart));
    if (sinceRequest < std::min(longestLinger, part)) {
        return StopPhase::Lingering;
    }
    const bool isOver = sinceRequest >= grace - margin;
    return openRequests == 0 || isOver ? StopPhase::Ended : StopPhase::Finishing;
}

} // namespace teaseldrift
