#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/message.hpp"
#include "teaseldrift/schema/options.pb.h"
#include "teaseldrift/schema/result_code.pb.h"

namespace teaseldrift::router {

/// @brief Why a request gets no answer from a target.
struct Refusal
{
    schema::ResultCode code = schema::INTERNAL;
    /// When the caller may try again.
    std::optional<Duration> retryAfter;
    std::string requestId;
    /// Replaces what the code says about whether the request ran.
    std::optional<schema::Ran> ran = {};
};

/// @brief The answer that a caller gets: status, `x-teaseldrift-result`, whether the request ran,
/// and a JSON body in the form of the OpenAI interface's errors.
http::Response toResponse(const Refusal &refusal);

/// @brief The same as an event that ends a stream which cannot be completed.
std::string toErrorEvent(const Refusal &refusal);

} // namespace teaseldrift::router
