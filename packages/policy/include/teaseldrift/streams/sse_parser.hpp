#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace teaseldrift {

/// @brief One server-sent event. The views hold until the next call of the parser.
struct SseEvent
{
    /// Value of the `id` line; empty if there was none.
    std::string_view id;
    /// Value of the `event` line; empty if there was none.
    std::string_view type;
    /// Values of the `data` lines joined by newlines.
    std::string_view data;
    /// The event's bytes as they arrived, blank line included.
    std::string_view raw;
    bool hasId = false;
    /// False for comments and other events without a `data` line.
    bool hasData = false;
};

/// @brief Splits a byte stream into server-sent events, whatever the boundaries of its pieces.
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

    /// @brief Adds bytes as they arrived.
    void append(std::string_view bytes);

    /// @brief Takes the next whole event.
    /// @return false if none is whole yet
    bool next(SseEvent &event);

    /// @brief Whether an event is larger than allowed; the stream can then not be read further.
    [[nodiscard]] bool isEventTooLarge() const { return m_isEventTooLarge; }

    /// @brief Whether bytes of an unfinished event are held.
    [[nodiscard]] bool hasPartialEvent() const { return m_begin < m_buffer.size(); }

    /// @brief Forgets all held bytes.
    void reset();

private:
    void readEvent(std::string_view lines, SseEvent &event);
    void appendData(std::string_view value, SseEvent &event);
    void compact();

    size_t m_maxEventBytes;
    std::string m_buffer;
    std::string m_joinedData;
    size_t m_begin = 0;
    size_t m_scanned = 0;
    bool m_isEventTooLarge = false;
};

} // namespace teaseldrift
