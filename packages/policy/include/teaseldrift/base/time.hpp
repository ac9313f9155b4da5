#pragma once

#include <chrono>

namespace teaseldrift {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

/// @brief A time interval in microseconds.
using Duration = std::chrono::microseconds;

/// @brief Clock type of the instants passed to policy code: monotonic, with an arbitrary epoch.
///
/// It has no now(), because policy code does not read clocks: callers pass the current Instant. A
/// task takes it from its monotonic clock; a test advances it explicitly.
struct PolicyClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<PolicyClock>;
};

/// @brief A point in time of PolicyClock.
using Instant = PolicyClock::time_point;

/// @brief Converts to fractional seconds.
constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace teaseldrift
