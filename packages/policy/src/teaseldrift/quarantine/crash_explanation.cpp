#include "teaseldrift/quarantine/crash_explanation.hpp"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace teaseldrift {

namespace {

using Crashes = std::vector<const CrashRecord *>;
using Times = std::vector<Instant>;
/// Model and id.
using Segment = std::pair<std::string_view, uint64_t>;

std::map<Segment, Crashes> crashesBySuspect(const Crashes &crashes)
{
    std::map<Segment, Crashes> bySuspect;
    for (const CrashRecord *crash : crashes) {
        for (const std::pair<const uint64_t, bool> &suspect : crash->suspects) {
            if (!suspect.second) {
                bySuspect[{crash->model, suspect.first}].push_back(crash);
            }
        }
    }
    return bySuspect;
}

/// Times of the crashes in order; crashes at the same time have one.
Times distinctTimes(const Crashes &crashes, const CrashExplanationOptions &options)
{
    Times times;
    for (const CrashRecord *crash : crashes) {
        times.push_back(crash->observedAt);
    }
    std::sort(times.begin(), times.end());
    Times distinct;
    for (const Instant &time : times) {
        if (distinct.empty() || time - distinct.back() >= options.simultaneousCrashes) {
            distinct.push_back(time);
        }
    }
    return distinct;
}

/// @return the crashes of the suspect that explains most; null if none explains enough
const Crashes *mostExplained(const std::map<Segment, Crashes> &bySuspect,
                             const CrashExplanationOptions &options)
{
    const Crashes *most = nullptr;
    std::pair<size_t, size_t> mostCounts(options.minCrashes, 0);
    for (const std::pair<const Segment, Crashes> &suspect : bySuspect) {
        const std::pair<size_t, size_t> counts(distinctTimes(suspect.second, options).size(),
                                               suspect.second.size());
        if (counts > mostCounts) {
            most = &suspect.second;
            mostCounts = counts;
        }
    }
    return most;
}

Duration trialDelayAfter(const Times &crashTimes, const CrashExplanationOptions &options)
{
    Duration delay = options.trialDelay;
    for (size_t i = 1; i < crashTimes.size() && delay < options.maxTrialDelay; ++i) {
        // Only trials can have crashed targets after so long a pause.
        if (crashTimes[i] - crashTimes[i - 1] >= options.trialDelay) {
            delay *= options.trialDelayFactor;
        }
    }
    return std::min(delay, options.maxTrialDelay);
}

QuarantinedSegments describe(std::vector<uint64_t> segments, Crashes crashes,
                             const CrashExplanationOptions &options)
{
    std::sort(crashes.begin(), crashes.end(),
              [](const CrashRecord *left, const CrashRecord *right) {
                  return left->observedAt < right->observedAt;
              });
    const Times times = distinctTimes(crashes, options);
    QuarantinedSegments quarantined{.model = crashes.front()->model,
                                    .segments = std::move(segments),
                                    .crashes = times.size(),
                                    .lastCrashAt = crashes.back()->observedAt};
    quarantined.trialFrom = quarantined.lastCrashAt + trialDelayAfter(times, options);
    for (const CrashRecord *crash : crashes) {
        quarantined.targets.push_back(crash->target);
    }
    return quarantined;
}

} // namespace

std::vector<QuarantinedSegments> explainCrashes(std::span<const CrashRecord *const> crashes,
                                                const CrashExplanationOptions &options)
{
    Crashes unexplained(crashes.begin(), crashes.end());
    std::vector<QuarantinedSegments> explanations;
    while (explanations.size() < options.maxExplanations) {
        const std::map<Segment, Crashes> bySuspect = crashesBySuspect(unexplained);
        const Crashes *explained = mostExplained(bySuspect, options);
        if (explained == nullptr) {
            break;
        }
        std::vector<uint64_t> segments;
        for (const std::pair<const Segment, Crashes> &suspect : bySuspect) {
            if (suspect.second == *explained) {
                segments.push_back(suspect.first.second);
            }
        }
        explanations.push_back(describe(std::move(segments), *explained, options));
        std::erase_if(unexplained, [explained](const CrashRecord *crash) {
            return std::find(explained->begin(), explained->end(), crash) != explained->end();
        });
    }
    return explanations;
}

} // namespace teaseldrift
