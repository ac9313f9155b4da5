#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace teaseldrift::standins {

/// @brief What the stand-in takes from the body of a completion request.
struct CompletionRequest
{
    std::string model;
    /// Everything before the first token.
    std::string prompt;
    std::string cacheSalt;
    uint32_t maxTokens = 16;
    /// Smaller goes first.
    int64_t priority = 0;
    bool chat = false;
    bool stream = false;
    bool includeUsage = false;
};

/// @brief Reads a body.
/// @param chat the body has messages instead of a prompt
/// @return false if it is not valid
bool parseCompletion(std::string_view body, bool chat, CompletionRequest &request);

} // namespace teaseldrift::standins
