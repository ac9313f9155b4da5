#pragma once

#include <optional>
#include <string>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief A header whose value is outside its format and was ignored or capped.
struct InvalidHeader
{
    std::string name;
    std::string value;
};

/// @brief What a response states about its target, whatever the request was.
struct TargetNotice
{
    /// The target shuts down and takes no new requests.
    bool isLeaving = false;
    /// Time for which the target asks this VM to send nothing; 0 for no such request.
    Duration quietTime{0};
    /// Requests a second that the target takes from all VMs together.
    std::optional<double> requestsPerSecond;
    /// Whether a target with a limit would have named it in this response.
    bool wouldNameLimit = false;
    /// The target falls over if it refuses more requests a second than this for want of room.
    std::optional<double> bearableRefusals;
    /// Whether such a target would have said so in this response.
    bool wouldNameRefusals = false;
    std::optional<InvalidHeader> invalidLeaving;
    std::optional<InvalidHeader> invalidQuietTime;
    std::optional<InvalidHeader> invalidLimit;
    std::optional<InvalidHeader> invalidRefusals;
};

} // namespace teaseldrift
