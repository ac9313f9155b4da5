#pragma once

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/schema/configuration.pb.h"

namespace teaseldrift {

/// @brief The parts of a target's response head that decide whether the request is retried.
struct ResponseSummary
{
    int status = 200;
    /// Value of the Retry-After header; 0 if absent.
    Duration retryAfter{0};
    /// The target stated explicitly that it did not run the request.
    bool reportsNotRun = false;
};

/// @brief How a response is handled.
enum class ResponseClass {
    /// Forwarded to the caller unchanged.
    Final,
    /// The target did not run the request.
    NotRun,
    /// The target failed; the request may have run.
    Failed,
};

/// @brief Classifies a response for a class of routes.
///
/// A non-idempotent request counts as not run only if the target states so explicitly; otherwise
/// its 429 and 503 responses are forwarded to the caller.
ResponseClass classifyResponse(const ResponseSummary &head, schema::RouteClass routeClass);

} // namespace teaseldrift
