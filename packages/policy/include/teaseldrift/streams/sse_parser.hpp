#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace teaseldrift {

/// @brief One server-sent event. The views are valid until the next call to the parser.
struct SseEvent
{
    /// Value of the `id` line; empty if absent.
    std::string_view id;
    /// Value of the `event` line; empty if absent.
    std::string_view type;
    /// Values of the `data` lines joined by newlines.
    std::string_view data;
    /// The received bytes of the event, including the terminating blank line.
    std::string_view raw;
    bool hasId = false;
    /// False for comments and other events without a `data` line.
    bool hasData = false;
};

/// @brief Splits a byte stream into server-sent events, independent of how the bytes are chunked.
///
/// ```cpp
/// SseParser parser;
/// parser.append(bytes);
/// SseEvent event;
/// while (parser.next(event)) { ... }
/// if (parser.isEventTooLarge()) { ... }
/// ```
class SseParser
{
public:
    explicit SseParser(size_t maxEventBytes = 1U << 20U);

    /// @brief Appends received bytes.
    void append(std::string_view bytes);

    /// @brief Extracts the next complete event.
    /// @return false if no event is complete yet, or if isEventTooLarge()
    bool next(SseEvent &event);

    /// @brief Whether an event exceeds the size limit. The rest of the stream cannot be parsed
    /// then.
    [[nodiscard]] bool isEventTooLarge() const { return m_isEventTooLarge; }

    /// @brief Whether the buffer contains unparsed bytes.
    [[nodiscard]] bool hasPartialEvent() const { return m_begin < m_buffer.size(); }

    /// @brief Bytes that belong to no complete event yet.
    [[nodiscard]] size_t bufferedBytes() const { return m_buffer.size() - m_begin; }

    /// @brief Discards all buffered bytes, with their memory, and the error state.
    void reset();

private:
    void readEvent(std::string_view lines, SseEvent &event);
    void appendData(std::string_view value, SseEvent &event);
    void compact();
    void releaseUnused();

    size_t m_maxEventBytes;
    std::string m_buffer;
    std::string m_joinedData;
    size_t m_begin = 0;
    size_t m_scanned = 0;
    bool m_isEventTooLarge = false;
};

} // namespace teaseldrift
