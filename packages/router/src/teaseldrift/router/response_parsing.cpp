#include "response_parsing.hpp"

#include "teaseldrift/base/json_input.hpp"

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

namespace teaseldrift::router {

namespace {

Duration retryAfterOf(const http::Headers &headers)
{
    const std::string_view text = http::findHeader(headers, "retry-after");
    constexpr int64_t maxSeconds = 3600;
    int64_t seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return std::chrono::seconds(std::clamp<int64_t>(seconds, 0, maxSeconds));
}

} // namespace

RequestOptions machineOptions(const RequestSpec &spec)
{
    const Duration progress = std::chrono::milliseconds(spec.defaults.progress_timeout_ms());
    return {
            .routeClass = spec.routeClass,
            .responseMode = spec.streams ? ResponseMode::Streamed : ResponseMode::Buffered,
            .deadline = spec.deadline,
            .firstByteTimeout = std::max(progress, spec.deadline / 2),
            .progressTimeout = progress,
            .maxAttempts = spec.defaults.max_attempts(),
    };
}

StreamOptions relayOptions(const RequestSpec &spec)
{
    // The body has been parsed before; its token limit is in the query.
    return {.maxPositions = spec.query->maxTokens, .includeUsage = spec.includeUsage};
}

ResponseSummary summarizeResponse(const http::ResponseHead &head)
{
    return {
            .status = head.status,
            .retryAfter = retryAfterOf(head.headers),
            .reportsNotRun = http::findHeader(head.headers, "x-request-ran") == "no",
    };
}

http::Headers endToEndHeaders(const http::Headers &headers)
{
    http::Headers kept;
    for (const http::Header &header : headers) {
        if (header.name != "connection" && header.name != "transfer-encoding"
            && header.name != "content-length" && header.name != "keep-alive"
            && header.name != "server" && header.name != "date") {
            kept.push_back(header);
        }
    }
    return kept;
}

std::optional<StreamUsage> parseUsage(const std::string &body)
{
    const nlohmann::json response = parseJson(body);
    if (!response.is_object() || !response.contains("usage") || !response["usage"].is_object()) {
        return std::nullopt;
    }
    const nlohmann::json &usage = response["usage"];
    StreamUsage counts{
            .promptTokens = unsignedField<uint64_t>(usage, "prompt_tokens"),
            .completionTokens = unsignedField<uint64_t>(usage, "completion_tokens"),
    };
    const auto details = usage.find("prompt_tokens_details");
    if (details != usage.end() && details->is_object()) {
        counts.cachedTokens = unsignedField<uint64_t>(*details, "cached_tokens");
    }
    return counts;
}

} // namespace teaseldrift::router
