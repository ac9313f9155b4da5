#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace teaseldrift {

/// @brief Content of one chunk of an OpenAI-compatible stream.
struct ChunkContent
{
    /// The chunk is a JSON object of the expected form.
    bool isValid = false;
    /// The chunk contains text, and therefore counts as a position.
    bool hasText = false;
    /// `finish_reason` is set.
    bool hasFinishReason = false;
    bool hasUsage = false;
    bool hasError = false;
    /// The chunk contains data that cannot be reproduced by a continuation from the delivered text:
    /// a delta field other than role and content, such as tool calls, or a second choice.
    bool preventsContinuation = false;
    uint64_t promptTokens = 0;
    uint64_t completionTokens = 0;
    uint64_t cachedTokens = 0;
};

/// @brief Parses a chunk in one pass without building a JSON document.
/// @param text set to the text of the chunk
ChunkContent parseChunk(std::string_view json, std::string &text);

} // namespace teaseldrift
