#include "teaseldrift/quarantine/quarantined_segments.hpp"

#include <algorithm>

namespace teaseldrift {

Duration quarantineRetryAfter(const QuarantinedSegments &quarantined, Instant now)
{
    return std::max<Duration>(1s, quarantined.trialFrom - now);
}

} // namespace teaseldrift
