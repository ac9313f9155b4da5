#pragma once

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief A duration as fractional milliseconds, in which costs of targets are added up.
constexpr double toMs(Duration duration)
{
    constexpr double perSecond = 1000.0;
    return toSeconds(duration) * perSecond;
}

/// @brief The duration of fractional milliseconds, rounded down to a microsecond.
constexpr Duration fromMs(double ms)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

} // namespace teaseldrift
