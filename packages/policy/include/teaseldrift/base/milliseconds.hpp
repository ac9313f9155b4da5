#pragma once

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief Converts to fractional milliseconds, the unit in which costs of targets are summed.
constexpr double toMs(Duration duration)
{
    constexpr double perSecond = 1000.0;
    return toSeconds(duration) * perSecond;
}

/// @brief Converts from fractional milliseconds, truncating to whole microseconds.
constexpr Duration fromMs(double ms)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

} // namespace teaseldrift
