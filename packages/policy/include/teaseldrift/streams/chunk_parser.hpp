#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace teaseldrift {

/// @brief What one chunk of an OpenAI-compatible stream brings.
struct ChunkContent
{
    /// The chunk is a JSON object of the expected form.
    bool isValid = false;
    /// The chunk holds text that belongs to a position.
    bool hasText = false;
    /// `finish_reason` is set.
    bool hasFinishReason = false;
    bool hasUsage = false;
    bool hasError = false;
    /// The chunk holds something that a continuation by text cannot reproduce: tool calls, log
    /// probabilities, or a second choice.
    bool preventsContinuation = false;
    uint64_t promptTokens = 0;
    uint64_t completionTokens = 0;
    uint64_t cachedTokens = 0;
};

/// @brief Reads a chunk without building a document.
/// @param text receives the text of the chunk
ChunkContent parseChunk(std::string_view json, std::string &text);

} // namespace teaseldrift
