#include "teaseldrift/admission/queue_bound.hpp"

#include <algorithm>

namespace teaseldrift {

bool isQueueTooLong(const QueueBound &bound, Duration expectedWait)
{
    // Only the wait counts, not the prefill of the request's own prompt, so that long prompts are
    // not refused for their length.
    return expectedWait > std::min(bound.objective, bound.shortestObjective)
           || expectedWait >= bound.timeLeft;
}

} // namespace teaseldrift
