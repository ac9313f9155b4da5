#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/message.hpp"

namespace teaseldrift::router {

/// @brief A completion request as the OpenAI-compatible interface defines it.
struct CompletionRequest
{
    std::string model;
    std::string adapter;
    /// The whole prompt as one text; roles and contents of a chat in order.
    std::string prompt;
    bool isChat = false;
    bool streams = false;
    /// The caller asked for the chunk that reports token counts.
    bool includeUsage = false;
    uint32_t maxTokens = 0;
    int32_t priority = 0;
    /// The request as it goes to a target.
    std::string targetBody;
};

/// @brief What must be known to read a completion request.
struct CompletionOptions
{
    bool isChat = false;
    /// Output allowed when the request names none, and at most.
    uint32_t maxOutputTokens = 1024;
    /// Keeps the engines' caches of organisations apart; replaces the caller's own.
    std::string_view cacheSalt;
};

/// @brief Reads a completion request.
/// @return MALFORMED_BODY if the body is not JSON of the expected form
std::error_code parseCompletion(std::string_view body, const CompletionOptions &options,
                                CompletionRequest &request);

/// @brief Headers that bear on routing.
struct CallerHeaders
{
    std::string requestId;
    std::string idempotencyKey;
    /// Token of `Authorization: Bearer`, empty if absent.
    std::string bearer;
    /// From `x-request-timeout-ms`.
    std::optional<Duration> timeout;
};

/// @brief Reads the headers that bear on routing.
/// @return HEADER_REFUSED for control characters, DEADLINE_REFUSED for a bad timeout
std::error_code parseHeaders(const http::Headers &headers, CallerHeaders &parsed);

/// @brief The headers that a target may see: no key, nothing that belongs to one connection.
http::Headers headersForTarget(const http::Headers &headers);

/// @brief The path without query.
std::string_view pathWithoutQuery(std::string_view pathWithQuery);

/// @brief A query parameter's value, empty if it is absent.
std::string_view queryValue(std::string_view pathWithQuery, std::string_view name);

} // namespace teaseldrift::router
