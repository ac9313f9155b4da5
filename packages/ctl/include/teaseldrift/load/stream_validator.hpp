#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "teaseldrift/load/standin_text.hpp"

namespace teaseldrift::load {

/// @brief Observations about one stream.
struct StreamState
{
    /// Tokens received, in order or not.
    uint32_t tokens = 0;
    uint32_t promptTokens = 0;
    uint32_t cachedTokens = 0;
    /// The token counts were received; no token may follow them.
    bool hasUsage = false;
    /// The end marker was received.
    bool done = false;
    /// A position was skipped, repeated or missing, a token followed the token counts, or data
    /// followed the end marker.
    bool outOfOrder = false;
    /// The text differs from that of the stand-in engine.
    bool wrongText = false;
    /// Result code of an error event; 0 for none.
    int errorCode = 0;
};

/// @brief Parses the server-sent events of a completion incrementally and validates that the
/// stream is complete and in order.
class StreamValidator
{
public:
    /// @param expected text that the stream must have; if absent, the text is not validated
    explicit StreamValidator(std::optional<StandinText> expected = std::nullopt)
        : m_expected(std::move(expected))
    { }

    /// @brief Parses the next bytes of the stream.
    /// @return the number of tokens in them
    uint32_t feed(std::string_view data);

    [[nodiscard]] const StreamState &state() const { return m_state; }

    /// @brief Whether the stream ended without errors after exactly `tokens` tokens in order.
    [[nodiscard]] bool isComplete(uint32_t tokens) const;

private:
    std::optional<StandinText> m_expected;
    StreamState m_state;
    std::string m_partial;
    /// Position from the id field of the current event; negative if it has none.
    int64_t m_position = -1;

    void parseLine(std::string_view line);
    void parseData(std::string_view data);
    void parseToken(std::string_view data);
    void parseUsage(std::string_view data);
};

} // namespace teaseldrift::load
