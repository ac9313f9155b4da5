#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/message.hpp"
#include "teaseldrift/segments/prompt_segments.hpp"

namespace teaseldrift::router {

/// @brief A completion request of the OpenAI-compatible API.
struct CompletionRequest
{
    std::string model;
    std::string adapter;
    /// The prompt as one text; for a chat, the roles and contents of its messages in order.
    std::string prompt;
    /// Parts of the prompt that other prompts may share, and a last one for the whole: the messages
    /// of a chat but the last one; of the last one, or of a plain prompt, its beginnings.
    std::vector<PromptSegment> segments;
    bool isChat = false;
    bool streams = false;
    /// The caller requested the stream's chunk with token counts.
    bool includeUsage = false;
    uint32_t maxTokens = 0;
    int32_t priority = 0;
    /// Body to send to a target.
    std::string targetBody;
};

/// @brief Options of parseCompletion().
struct CompletionOptions
{
    bool isChat = false;
    /// Default and maximum of the request's output tokens.
    uint32_t maxOutputTokens = 1024;
    /// Isolates the organisations' KV caches in the engines; replaces a salt set by the caller.
    std::string_view cacheSalt;
};

/// @brief Parses the body of a completion request.
/// @return MALFORMED_BODY if the body is not a JSON object with the expected fields
std::error_code parseCompletion(std::string_view body, const CompletionOptions &options,
                                CompletionRequest &request);

/// @brief Request headers that the router evaluates.
struct CallerHeaders
{
    std::string requestId;
    std::string idempotencyKey;
    /// Token of `Authorization: Bearer`, empty if absent.
    std::string bearer;
    /// From `x-request-timeout-ms`.
    std::optional<Duration> timeout;
};

/// @brief Parses the request headers that the router evaluates.
/// @return HEADER_REFUSED for control characters or an idempotency key of invalid length,
/// DEADLINE_REFUSED for an invalid timeout
std::error_code parseHeaders(const http::Headers &headers, CallerHeaders &parsed);

/// @brief Returns the headers to forward to a target: without credentials and hop-by-hop headers.
http::Headers headersForTarget(const http::Headers &headers);

std::string_view pathWithoutQuery(std::string_view pathWithQuery);

} // namespace teaseldrift::router
