#include "teaseldrift/router/caller_request.hpp"

#include <algorithm>
#include <array>
#include <charconv>

#include <nlohmann/json.hpp>

#include "teaseldrift/base/json_input.hpp"
#include "teaseldrift/schema/result.hpp"

namespace teaseldrift::router {

namespace {

using nlohmann::json;

/// Separates the roles and contents of a chat, so that chats which split the same text differently
/// give different prompts.
constexpr char fieldSeparator = '\x1e';

void appendContent(const json &content, std::string &prompt)
{
    if (content.is_string()) {
        prompt += content.get_ref<const std::string &>();
        return;
    }
    for (const json &part : content) {
        if (part.is_object() && part.contains("text") && part["text"].is_string()) {
            prompt += part["text"].get_ref<const std::string &>();
        } else {
            prompt += part.dump();
        }
    }
}

PromptSegment segmentOf(std::string_view text)
{
    constexpr uint64_t arbitraryId = 0;
    return {.id = segmentKeyOf(text, arbitraryId), .tokens = static_cast<uint32_t>(text.size())};
}

/// Adds the beginnings of a text whose lengths are powers of two, and the whole text.
///
/// Texts that share a long beginning have most of these in common, and their number stays small.
void addBeginnings(std::string_view text, std::vector<PromptSegment> &segments)
{
    constexpr size_t shortestBeginning = 256;
    for (size_t length = shortestBeginning; length < text.size(); length *= 2) {
        segments.push_back(segmentOf(text.substr(0, length)));
    }
    segments.push_back(segmentOf(text));
}

bool parseMessages(const json &body, std::string &prompt, std::vector<PromptSegment> &segments)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty()) {
        return false;
    }
    for (const json &message : *messages) {
        const size_t begin = prompt.size();
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string()) {
            return false;
        }
        prompt += message["role"].get_ref<const std::string &>();
        prompt += fieldSeparator;
        const auto content = message.find("content");
        if (content != message.end() && (content->is_string() || content->is_array())) {
            appendContent(*content, prompt);
        }
        prompt += fieldSeparator;
        const std::string_view text = std::string_view(prompt).substr(begin);
        if (&message == &messages->back()) {
            addBeginnings(text, segments);
        } else {
            segments.push_back(segmentOf(text));
        }
    }
    return true;
}

bool parsePrompt(const json &body, std::string &prompt)
{
    const auto found = body.find("prompt");
    if (found == body.end()) {
        return false;
    }
    if (found->is_string()) {
        prompt = found->get<std::string>();
        return true;
    }
    // Token ids; equal prefixes of ids have equal prefixes of text.
    if (found->is_array() && std::all_of(found->begin(), found->end(), [](const json &id) {
            return id.is_number_integer();
        })) {
        prompt = found->dump();
        return true;
    }
    return false;
}

template <typename Value>
bool parseOptional(const json &body, const char *name, Value &value)
{
    const auto found = body.find(name);
    if (found == body.end() || found->is_null()) {
        return true;
    }
    if constexpr (std::is_same_v<Value, bool>) {
        if (!found->is_boolean()) {
            return false;
        }
    } else if constexpr (std::is_unsigned_v<Value>) {
        if (!found->is_number_unsigned() || found->get<uint64_t>() > UINT32_MAX) {
            return false;
        }
    } else if (!found->is_number_integer()) {
        return false;
    }
    value = found->get<Value>();
    return true;
}

bool parseLimits(const json &body, uint32_t maxOutputTokens, CompletionRequest &request)
{
    request.maxTokens = maxOutputTokens;
    uint32_t requestedTokens = 0;
    if (!parseOptional(body, "max_tokens", requestedTokens)
        || (requestedTokens == 0
            && !parseOptional(body, "max_completion_tokens", requestedTokens))) {
        return false;
    }
    if (requestedTokens != 0) {
        request.maxTokens = std::min(requestedTokens, maxOutputTokens);
    }
    return parseOptional(body, "stream", request.streams)
           && parseOptional(body, "priority", request.priority);
}

bool parseIncludeUsage(const json &body, bool &includeUsage)
{
    const auto options = body.find("stream_options");
    if (options == body.end() || options->is_null()) {
        return true;
    }
    return options->is_object() && parseOptional(*options, "include_usage", includeUsage);
}

bool hasControlCharacter(std::string_view text)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    return std::any_of(text.begin(), text.end(), [](unsigned char c) {
        return (c < firstPrintable && c != '\t') || c == deleteCharacter;
    });
}

bool parseTimeout(std::string_view text, std::optional<Duration> &timeout)
{
    uint32_t milliseconds = 0;
    const char *end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data(), end, milliseconds);
    if (result.ec != std::errc() || result.ptr != end || milliseconds == 0) {
        return false;
    }
    timeout = std::chrono::milliseconds(milliseconds);
    return true;
}

} // namespace

std::error_code parseCompletion(std::string_view body, const CompletionOptions &options,
                                CompletionRequest &request)
{
    const std::error_code malformed = schema::makeError(schema::MALFORMED_BODY);
    json parsed = parseJson(body);
    if (!parsed.is_object()) {
        return malformed;
    }
    const auto model = parsed.find("model");
    if (model == parsed.end() || !model->is_string()) {
        return malformed;
    }
    request.model = model->get<std::string>();
    request.isChat = options.isChat;
    const bool hasPrompt = options.isChat ? parseMessages(parsed, request.prompt, request.segments)
                                          : parsePrompt(parsed, request.prompt);
    if (!options.isChat) {
        addBeginnings(request.prompt, request.segments);
    }
    if (!hasPrompt || !parseLimits(parsed, options.maxOutputTokens, request)
        || !parseIncludeUsage(parsed, request.includeUsage)) {
        return malformed;
    }
    parsed["max_tokens"] = request.maxTokens;
    parsed.erase("max_completion_tokens");
    parsed["cache_salt"] = options.cacheSalt;
    if (request.streams) {
        parsed["stream_options"] = {{"include_usage", true}};
    }
    request.targetBody = parsed.dump();
    return {};
}

std::error_code parseHeaders(const http::Headers &headers, CallerHeaders &parsed)
{
    constexpr std::string_view bearerPrefix = "Bearer ";
    constexpr size_t maxIdLength = 128;
    for (const http::Header &header : headers) {
        if (hasControlCharacter(header.value)) {
            return schema::makeError(schema::HEADER_REFUSED);
        }
        if (header.name == "authorization" && header.value.starts_with(bearerPrefix)) {
            parsed.bearer = header.value.substr(bearerPrefix.size());
        } else if (header.name == "x-request-id" && header.value.size() <= maxIdLength) {
            parsed.requestId = header.value;
        } else if (header.name == "idempotency-key") {
            if (header.value.empty() || header.value.size() > maxIdLength) {
                return schema::makeError(schema::HEADER_REFUSED);
            }
            parsed.idempotencyKey = header.value;
        } else if (header.name == "x-request-timeout-ms"
                   && !parseTimeout(header.value, parsed.timeout)) {
            return schema::makeError(schema::DEADLINE_REFUSED);
        }
    }
    return {};
}

http::Headers headersForTarget(const http::Headers &headers)
{
    // Hop-by-hop headers, credentials, and headers that the router sets itself.
    constexpr std::array<std::string_view, 15> removed{
            "authorization",
            "proxy-authorization",
            "cookie",
            "connection",
            "keep-alive",
            "transfer-encoding",
            "te",
            "trailer",
            "upgrade",
            "host",
            "content-length",
            "expect",
            "x-request-id",
            "last-event-id",
            "accept-encoding",
    };
    http::Headers kept;
    for (const http::Header &header : headers) {
        if (std::find(removed.begin(), removed.end(), header.name) == removed.end()) {
            kept.push_back(header);
        }
    }
    return kept;
}

std::string_view pathWithoutQuery(std::string_view pathWithQuery)
{
    return pathWithQuery.substr(0, pathWithQuery.find('?'));
}

} // namespace teaseldrift::router
