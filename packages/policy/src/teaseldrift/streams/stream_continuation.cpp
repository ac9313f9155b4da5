#include "teaseldrift/streams/stream_relay.hpp"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

#include "teaseldrift/base/json_input.hpp"
#include "teaseldrift/schema/result.hpp"

namespace teaseldrift {

namespace {

using nlohmann::ordered_json;

constexpr std::array<const char *, 2> maxTokenFields{"max_tokens", "max_completion_tokens"};

std::optional<uint64_t> optionalUnsigned(const ordered_json &body, const char *field)
{
    const ordered_json::const_iterator value = body.find(field);
    if (value == body.end() || !value->is_number_unsigned()) {
        return std::nullopt;
    }
    return value->get<uint64_t>();
}

/// Whether the response to a request is a single text that a continuation can extend.
bool isContinuable(const ordered_json &body)
{
    const bool isSingle = optionalUnsigned(body, "n").value_or(1) == 1;
    const ordered_json::const_iterator messages = body.find("messages");
    const ordered_json::const_iterator prompt = body.find("prompt");
    const bool isChat = messages != body.end() && messages->is_array();
    const bool isCompletion = prompt != body.end() && prompt->is_string();
    return isSingle && (isChat || isCompletion);
}

/// Makes the model continue from the text delivered so far.
void appendDeliveredText(ordered_json &body, std::string_view text)
{
    if (body.contains("messages")) {
        body["messages"].push_back({{"role", "assistant"}, {"content", std::string(text)}});
        body["continue_final_message"] = true;
        body["add_generation_prompt"] = false;
        return;
    }
    body["prompt"] = body["prompt"].get<std::string>() + std::string(text);
}

/// Reduces the token limits by the tokens already delivered.
/// @return false if no tokens are left to generate
bool reduceTokenLimits(ordered_json &body, uint64_t delivered)
{
    for (const char *field : maxTokenFields) {
        const std::optional<uint64_t> allowed = optionalUnsigned(body, field);
        if (allowed && *allowed <= delivered) {
            return false;
        }
        if (allowed) {
            body[field] = *allowed - delivered;
        }
    }
    const std::optional<uint64_t> least = optionalUnsigned(body, "min_tokens");
    if (least) {
        body["min_tokens"] = *least - std::min(*least, delivered);
    }
    return true;
}

/// Builds the event that reports that the token limit was reached.
std::string lengthLimitEvent(std::string_view pattern)
{
    ordered_json chunk = parseJson<ordered_json>(pattern);
    if (!chunk.is_object()) {
        return {};
    }
    const bool isChat = chunk.contains("choices") && chunk["choices"].is_array()
                        && !chunk["choices"].empty() && chunk["choices"][0].contains("delta");
    ordered_json choice = {{"index", 0}};
    if (isChat) {
        choice["delta"] = ordered_json::object();
    } else {
        choice["text"] = "";
    }
    choice["finish_reason"] = "length";
    chunk["choices"] = ordered_json::array({choice});
    chunk.erase("usage");
    return "data: " + toJsonText(chunk) + "\n\n";
}

} // namespace

StreamOptions parseStreamOptions(std::string_view requestBody)
{
    StreamOptions options;
    const ordered_json body = parseJson<ordered_json>(requestBody);
    if (!body.is_object()) {
        return options;
    }
    for (const char *field : maxTokenFields) {
        options.maxPositions
                = std::max(options.maxPositions, optionalUnsigned(body, field).value_or(0));
    }
    return options;
}

std::optional<std::string> StreamRelay::continuationBody(std::string_view originalBody) const
{
    ordered_json body = parseJson<ordered_json>(originalBody);
    if (!m_canContinue || !body.is_object() || !isContinuable(body)) {
        return std::nullopt;
    }
    if (!reduceTokenLimits(body, m_position)) {
        return std::nullopt;
    }
    appendDeliveredText(body, m_deliveredText);
    return toJsonText(body);
}

std::string StreamRelay::finalEvents() const
{
    std::string finalEvents;
    if (!m_endMarkerReceived && !m_finishReasonForwarded) {
        finalEvents = lengthLimitEvent(m_firstChunk);
    }
    finalEvents += "data: [DONE]\n\n";
    return finalEvents;
}

std::string StreamRelay::errorEvent(schema::ResultCode code)
{
    const schema::ResultInfo &info = schema::describe(code);
    const ordered_json error = {
            {"error",
             {{"code", static_cast<int>(code)},
              {"type", schema::metricLabel(code)},
              {"message", info.message()}}},
    };
    return "event: error\ndata: " + error.dump() + "\n\n";
}

} // namespace teaseldrift
