#include "teaseldrift/shutdown/shutdown_phase.hpp"

#include <algorithm>

namespace teaseldrift {

namespace {

/// A request taken later could not be finished within the usual grace, and callers have let go of
/// their directory answers by then.
constexpr Duration maximumLameDuckTime = 2800ms;
constexpr double lameDuckFraction = 0.35;

/// Time before the end of the grace at which the process ends in any case.
constexpr Duration exitMargin = 700ms;

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

} // namespace teaseldrift
