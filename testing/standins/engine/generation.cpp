#include "standins/engine/generation.hpp"

#include <nlohmann/json.hpp>

namespace teaseldrift::standins {

namespace {

using nlohmann::json;

std::string jsonString(const std::string &text)
{
    return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string Generation::usage() const
{
    return R"({"prompt_tokens":)" + std::to_string(promptTokens) + R"(,"completion_tokens":)"
           + std::to_string(position) + R"(,"total_tokens":)"
           + std::to_string(promptTokens + position)
           + R"(,"prompt_tokens_details":{"cached_tokens":)" + std::to_string(cachedTokens) + "}}";
}

void Generation::appendEvent(const std::string &token)
{
    unsent += "id: " + std::to_string(position);
    unsent += request.chat ? R"(
data: {"object":"chat.completion.chunk","model":)"
                           : R"(
data: {"object":"text_completion","model":)";
    unsent += jsonString(request.model);
    unsent += request.chat ? R"(,"choices":[{"index":0,"delta":{"content":")"
                           : R"(,"choices":[{"index":0,"text":")";
    unsent += token;
    unsent += request.chat ? R"("},"finish_reason":)" : R"(","finish_reason":)";
    const bool last = position + 1 == request.maxTokens;
    unsent += last ? R"("length"}])" : "null}]";
}

void Generation::advance()
{
    const std::string token = text.next();
    if (!request.stream) {
        bufferedText += token;
        ++position;
        return;
    }
    appendEvent(token);
    ++position;
    if (isComplete() && !request.includeUsage) {
        unsent += R"(,"usage":)" + usage();
    }
    unsent += "}\n\n";
}

std::string Generation::finalEvents() const
{
    std::string events;
    if (request.includeUsage) {
        events = R"(data: {"object":"chat.completion.chunk","model":)" + jsonString(request.model)
                 + R"(,"choices":[],"usage":)" + usage() + "}\n\n";
    }
    return events + "data: [DONE]\n\n";
}

http::Response Generation::bufferedResponse() const
{
    const std::string content = jsonString(bufferedText);
    std::string body = R"({"object":")";
    body += request.chat ? "chat.completion" : "text_completion";
    body += R"(","model":)" + jsonString(request.model) + R"(,"choices":[{"index":0,)";
    body += request.chat ? R"("message":{"role":"assistant","content":)" + content + "}"
                         : R"("text":)" + content;
    body += R"(,"finish_reason":"length"}],"usage":)" + usage() + "}";
    return {.headers = {{"content-type", "application/json"}}, .body = std::move(body)};
}

} // namespace teaseldrift::standins
