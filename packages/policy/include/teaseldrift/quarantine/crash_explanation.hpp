#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "teaseldrift/quarantine/crash_record.hpp"
#include "teaseldrift/quarantine/quarantined_segments.hpp"

namespace teaseldrift {

struct CrashExplanationOptions
{
    /// Crashes at different times that a segment must explain.
    size_t minCrashes = 3;
    /// Crashes within this time of each other count as one: a rack or a link has failed.
    Duration simultaneousCrashes = 100ms;
    /// Delay of the first trial after the last crash; each failed trial multiplies it.
    Duration trialDelay = 20s;
    int64_t trialDelayFactor = 4;
    Duration maxTrialDelay = 900s;
    size_t maxExplanations = 32;
};

/// @brief The fewest segments that explain crashes: the one that is a suspect of most crashes, then
/// the one of most of the remaining crashes, and so on.
///
/// Segments that are suspects of the same crashes cannot be told apart and form one explanation.
std::vector<QuarantinedSegments> explainCrashes(std::span<const CrashRecord *const> crashes,
                                                const CrashExplanationOptions &options);

} // namespace teaseldrift
