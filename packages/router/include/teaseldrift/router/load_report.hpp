#pragma once

#include <string_view>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/router/target_pool.hpp"

namespace teaseldrift::router {

/// @brief Parses an engine's load report, the JSON body of `GET /load`. A field of another type
/// than expected counts as absent, a number that is too large as the largest.
/// @return false if the body is not a load report
bool parseLoadReport(std::string_view body, Instant now, TargetLoad &report);

} // namespace teaseldrift::router
