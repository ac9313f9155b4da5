#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "teaseldrift/load/standin_text.hpp"

namespace teaseldrift::load {

/// @brief What was seen of one stream.
struct StreamState
{
    /// Tokens received, in order or not.
    uint32_t tokens = 0;
    uint32_t promptTokens = 0;
    uint32_t cachedTokens = 0;
    /// The token counts came, after which there are no more tokens.
    bool hasUsage = false;
    /// The end marker came, and nothing after it.
    bool done = false;
    /// A position was skipped, repeated or missing, or a token came after the token counts.
    bool outOfOrder = false;
    /// The text differs from the stand-in's.
    bool wrongText = false;
    /// Result code of an error event; 0 for none.
    int errorCode = 0;
};

/// @brief Reads server-sent events of a completion piece by piece and checks that the stream is
/// complete and in order.
class StreamValidator
{
public:
    /// @param expected text that the stream must have; none to leave the text unchecked
    explicit StreamValidator(std::optional<StandinText> expected = std::nullopt)
        : m_expected(std::move(expected))
    { }

    /// @brief Takes the next bytes.
    /// @return the number of tokens in them
    uint32_t feed(std::string_view data);

    [[nodiscard]] const StreamState &state() const { return m_state; }

    /// @brief Whether the stream ended properly with this many tokens in order.
    [[nodiscard]] bool isComplete(uint32_t tokens) const;

private:
    std::optional<StandinText> m_expected;
    StreamState m_state;
    std::string m_partial;
    /// Position that the event being read names; negative if it names none.
    int64_t m_position = -1;

    void parseLine(std::string_view line);
    void parseData(std::string_view data);
    void parseToken(std::string_view data);
    void parseUsage(std::string_view data);
};

} // namespace teaseldrift::load
