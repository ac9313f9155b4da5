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
#include "teaseldrift/targets/target_selector.hpp"

namespace teaseldrift::relay {

/// @brief A caller's request, whatever interface it came through.
struct CallerRequest
{
    /// Id of this attempt of the caller.
    std::string id;
    std::string key;
    std::string method;
    std::string host;
    /// Path with query, as sent.
    std::string path;
    /// Headers to be passed on unchanged.
    http::Headers headers;
    /// How long the caller waits.
    std::optional<Duration> deadline;
    std::string model;
    uint64_t promptTokens = 0;
    uint64_t maxOutputTokens = 0;
    /// The caller's own estimate of what will be generated; none if it gave none.
    std::optional<uint64_t> expectedOutputTokens;
    bool hasTokenCounts = false;
    std::vector<PromptSegment> segments;
    /// Last event that the caller has of a stream it resumes; empty otherwise.
    std::string lastEventId;
};

/// @brief What a target is told beside the caller's request.
struct AttemptMetadata
{
    Duration timeLeft{0};
    std::string_view instance;
    std::string_view organisation;
    std::string_view cacheSalt;
    /// Weights that the target must have; 0 for any.
    uint64_t weights = 0;
    /// 0 is the most urgent; empty leaves it to the target.
    std::optional<uint32_t> priority;
    std::string_view importFrom;
    std::string_view saveTo;
    std::string_view lastEventId;
};

/// @brief What a target's answer says beside its body.
struct ResponseMetadata
{
    std::string requestId;
    /// The target vouches for the answer: it is that of the request.
    bool isSealed = false;
    bool reportsNotRun = false;
    bool isEventStream = false;
    Duration retryAfter{0};
    std::optional<TargetLoadReport> load;
    std::optional<uint64_t> weights;
};

/// @brief Reads and writes the messages of one interface.
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
