#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief Segments that crash targets. Requests whose prompt contains all of them are refused.
///
/// There is more than one segment if they occurred together in all crashes.
struct QuarantinedSegments
{
    std::string model;
    /// Sorted ids.
    std::vector<uint64_t> segments;
    /// Crashes at different times.
    size_t crashes = 0;
    Instant lastCrashAt;
    /// One request may be sent from then on, to find out whether it still crashes its target.
    Instant trialFrom;
    /// Targets that have crashed, in order of time.
    std::vector<std::string> targets;

    [[nodiscard]] bool isSame(const QuarantinedSegments &other) const
    {
        return model == other.model && segments == other.segments;
    }
};

/// @brief Retry-After of a refused request: the time until the next trial, at least a second.
Duration quarantineRetryAfter(const QuarantinedSegments &quarantined, Instant now);

} // namespace teaseldrift
