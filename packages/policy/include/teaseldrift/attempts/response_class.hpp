#pragma once

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/schema/configuration.pb.h"

namespace teaseldrift {

/// @brief What the head of a target's answer says.
struct ResponseSummary
{
    int status = 200;
    /// Value of Retry-After; 0 if there was none.
    Duration retryAfter{0};
    /// The target said explicitly that the request did not run.
    bool reportsNotRun = false;
};

/// @brief What follows from the head of an answer.
enum class ResponseClass {
    /// The answer to the request, to be passed on as it is.
    Final,
    /// The target did not run the request.
    NotRun,
    /// The target failed; the request may have run.
    Failed,
};

/// @brief Reads the head of an answer for a class of calls.
///
/// A non-idempotent call counts as not run only if the target says so explicitly: its 429 and
/// 503 are passed on as the answers they are.
ResponseClass classifyResponse(const ResponseSummary &head, schema::RouteClass routeClass);

} // namespace teaseldrift
