#pragma once

#include <concepts>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/server.hpp"
#include "teaseldrift/segments/prompt_segments.hpp"
#include "teaseldrift/targets/target_notice.hpp"
#include "teaseldrift/targets/target_selector.hpp"

namespace teaseldrift::relay {

/// @brief A caller's request, independent of the interface it arrived on.
struct CallerRequest
{
    /// Identifies this attempt of the caller.
    std::string id;
    std::string key;
    std::string method;
    std::string host;
    /// Path and query as received.
    std::string path;
    /// Headers forwarded unchanged to the target.
    http::Headers headers;
    /// Time the caller is willing to wait, counted from the arrival of the request.
    std::optional<Duration> deadline;
    std::string model;
    uint64_t promptTokens = 0;
    uint64_t maxOutputTokens = 0;
    /// The caller's estimate of the output length, if it sent one.
    std::optional<uint64_t> expectedOutputTokens;
    bool hasTokenCounts = false;
    std::vector<PromptSegment> segments;
    /// Id of the last event that the caller received of a stream it resumes; empty otherwise.
    std::string lastEventId;
};

/// @brief What is sent to a target in addition to the caller's request.
struct AttemptMetadata
{
    Duration timeLeft{0};
    std::string_view instance;
    std::string_view organisation;
    std::string_view cacheSalt;
    /// Weights version that the target must have loaded; 0 for any.
    uint64_t weights = 0;
    /// 0 is the most urgent; if empty, the target chooses.
    std::optional<uint32_t> priority;
    std::string_view importFrom;
    std::string_view saveTo;
    std::string_view lastEventId;
};

/// @brief What the head of a target's response states.
struct ResponseMetadata
{
    std::string requestId;
    /// The response carries the target's seal, which confirms that it belongs to the request.
    bool isSealed = false;
    bool reportsNotRun = false;
    bool isEventStream = false;
    Duration retryAfter{0};
    std::optional<TargetLoadReport> load;
    std::optional<uint64_t> weights;
    TargetNotice notice;
};

/// @brief Parses and builds the HTTP messages of one interface.
template <typename D>
concept Dialect
        = requires(const D &dialect, const http::Exchange &exchange, const http::ResponseHead &head,
                   const CallerRequest &request, const AttemptMetadata &metadata)
{
    {
        dialect.readRequest(exchange)
        } -> std::same_as<CallerRequest>;
    {
        dialect.targetHeaders(request, metadata)
        } -> std::same_as<http::Headers>;
    {
        dialect.readResponse(head)
        } -> std::same_as<ResponseMetadata>;
    {
        dialect.responseHeaders(head)
        } -> std::same_as<http::Headers>;
};

} // namespace teaseldrift::relay
