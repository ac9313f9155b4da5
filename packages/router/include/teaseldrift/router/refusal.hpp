#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/message.hpp"
#include "teaseldrift/schema/options.pb.h"
#include "teaseldrift/schema/result_code.pb.h"

namespace teaseldrift::router {

/// @brief Reason why the router ends a request with its own error response.
struct Refusal
{
    schema::ResultCode code = schema::INTERNAL;
    /// Delay after which the caller may retry.
    std::optional<Duration> retryAfter;
    std::string requestId;
    /// Whether the request ran, if this differs from the result code's default.
    std::optional<schema::Ran> ran = {};
};

/// @brief Converts a refusal to a response: status, `x-teaseldrift-result`, `x-teaseldrift-ran`,
/// and a JSON body in the form of OpenAI API errors.
http::Response toResponse(const Refusal &refusal);

/// @brief Converts a refusal to the error event that ends an incomplete stream.
std::string toErrorEvent(const Refusal &refusal);

} // namespace teaseldrift::router
