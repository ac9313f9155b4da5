#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace teaseldrift::standins {

/// @brief Fields of a completion request that the stand-in uses.
struct CompletionRequest
{
    std::string model;
    /// Prompt text; for a chat, the rendered messages.
    std::string prompt;
    std::string cacheSalt;
    uint32_t maxTokens = 16;
    /// Smaller values are served first.
    int64_t priority = 0;
    bool chat = false;
    bool stream = false;
    bool includeUsage = false;
};

/// @brief Parses the body of a completion request.
/// @param chat whether the body has messages instead of a prompt
/// @return false if the body is invalid
bool parseCompletion(std::string_view body, bool chat, CompletionRequest &request);

} // namespace teaseldrift::standins
