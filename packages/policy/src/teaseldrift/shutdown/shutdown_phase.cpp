#include "teaseldrift/shutdown/shutdown_phase.hpp"

#include <algorithm>

namespace teaseldrift {

namespace {

/// Requests accepted later could not be completed within the usual grace period. By then, callers
/// have discarded directory answers that contain this VM.
constexpr Duration maximumLameDuckTime = 2800ms;
constexpr double lameDuckFraction = 0.35;

/// Time before the end of the grace period at which the process exits even with open requests.
constexpr Duration exitMargin = 700ms;

/// Time for the last responses to leave before that.
constexpr Duration responseMargin = 200ms;

} // namespace

ShutdownPhase shutdownPhase(Duration sinceRequest, Duration grace, size_t openRequests)
{
    const Duration fractionOfGrace(
            static_cast<Duration::rep>(static_cast<double>(grace.count()) * lameDuckFraction));
    if (sinceRequest < std::min(maximumLameDuckTime, fractionOfGrace)) {
        return ShutdownPhase::LameDuck;
    }
    const bool isGraceEnding = sinceRequest >= grace - exitMargin;
    return openRequests == 0 || isGraceEnding ? ShutdownPhase::Ended : ShutdownPhase::Draining;
}

Duration shutdownAnswerTime(Duration grace)
{
    return std::max(Duration(0), grace - exitMargin - responseMargin);
}

} // namespace teaseldrift
