#pragma once

#include <cstddef>
#include <optional>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/schema/vm_record.pb.h"
#include "teaseldrift/targets/target_limits.hpp"

namespace teaseldrift::relay {

/// Most limits in one message.
inline constexpr size_t maxLimitsPerMessage = 64;

schema::TargetLimit writeTargetLimit(const TargetLimit &limit, Instant now);

/// @return empty if the limit is not a number of requests
std::optional<TargetLimit> readTargetLimit(const schema::TargetLimit &message, Instant now);

/// @brief The digest of the known limits and, unless the other VM is known to have the same, some
/// of them.
/// @param first index of the first limit in the message; messages with different ones cover all
schema::TargetLimits targetLimitsFor(const TargetLimits &limits,
                                     std::optional<uint64_t> otherDigest, size_t first,
                                     Instant now);

} // namespace teaseldrift::relay
