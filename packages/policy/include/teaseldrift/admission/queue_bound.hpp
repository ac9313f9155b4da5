#pragma once

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief Bounds on the time that a request may queue at a target.
struct QueueBound
{
    /// Latency objective of the request's route.
    Duration objective{0};
    /// Shortest latency objective among the routes of the service, if its queues are shared fairly;
    /// otherwise the same as `objective`.
    Duration shortestObjective{0};
    /// Time until the request's deadline.
    Duration timeLeft{0};
};

/// @brief Whether a request is to be refused because it would queue for too long.
///
/// Requests of all routes of a service stand in the same queues. If each were bounded by its own
/// objective, under overload those with a long one would fill the queues up to it, and all
/// requests with a shorter one would be late or refused. A queue that is bounded by the shortest
/// objective serves whatever it admits in time.
/// @param expectedWait expected time by which load delays the first event or the response
[[nodiscard]] bool isQueueTooLong(const QueueBound &bound, Duration expectedWait);

} // namespace teaseldrift
