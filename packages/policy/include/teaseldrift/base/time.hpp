#pragma once

#include <chrono>

namespace teaseldrift {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

/// @brief A length of time, in microseconds.
using Duration = std::chrono::microseconds;

/// @brief Tag of the time line on which decisions are made: monotonic, with a free origin.
///
/// Policy code never reads it; the caller passes an Instant in. A task takes it from its
/// monotonic clock, a test counts it up by hand.
struct PolicyClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<PolicyClock>;
};

/// @brief A point on the time line of decisions.
using Instant = PolicyClock::time_point;

/// @brief A duration as fractional seconds.
constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace teaseldrift
