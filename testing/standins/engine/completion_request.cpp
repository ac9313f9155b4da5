#include "standins/engine/completion_request.hpp"

#include <nlohmann/json.hpp>

#include "teaseldrift/load/standin_text.hpp"

namespace teaseldrift::standins {

namespace {

using nlohmann::json;

std::string textOf(const json &content)
{
    if (content.is_string()) {
        return content.get<std::string>();
    }
    std::string text;
    for (const json &part : content) {
        text += part.value("text", "");
    }
    return text;
}

void renderChat(const json &body, std::string &prompt)
{
    const json &messages = body.at("messages");
    const bool continues = body.value("continue_final_message", false);
    for (size_t i = 0; i < messages.size(); ++i) {
        const std::string role = messages[i].at("role").get<std::string>();
        const std::string content = textOf(messages[i].at("content"));
        if (continues && i + 1 == messages.size()) {
            load::beginAssistantMessage(prompt, content);
            return;
        }
        load::appendMessage(prompt, {.role = role, .content = content});
    }
    load::beginAssistantMessage(prompt);
}

void read(const json &body, CompletionRequest &request)
{
    constexpr uint32_t defaultMaxTokens = 16;
    request.model = body.at("model").get<std::string>();
    request.cacheSalt = body.value("cache_salt", "");
    request.maxTokens = body.value("max_tokens", defaultMaxTokens);
    request.maxTokens = body.value("max_completion_tokens", request.maxTokens);
    request.priority = body.value("priority", int64_t(0));
    request.stream = body.value("stream", false);
    if (body.contains("stream_options")) {
        request.includeUsage = body["stream_options"].value("include_usage", false);
    }
    if (request.chat) {
        renderChat(body, request.prompt);
    } else {
        request.prompt = body.at("prompt").get<std::string>();
    }
}

} // namespace

bool parseCompletion(std::string_view body, bool chat, CompletionRequest &request)
{
    request.chat = chat;
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        return false;
    }
    try {
        read(parsed, request);
    } catch (const json::exception &) {
        return false;
    }
    return request.maxTokens > 0;
}

} // namespace teaseldrift::standins
