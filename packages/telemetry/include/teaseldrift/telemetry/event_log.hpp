#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift::telemetry {

/// @brief A named value of an event.
struct EventField
{
    std::string_view name;
    std::variant<std::string_view, int64_t, double, bool> value;
};

/// @brief How much an event matters when the log's volume is bounded.
enum class EventPriority {
    /// One of many alike; those over the bound of a second are counted instead.
    Routine,
    /// Always written, unless the reader is so slow that the buffer is full.
    Important,
};

/// @brief Bounds of an event log.
struct EventLogOptions
{
    /// Descriptor that the lines go to.
    int descriptor = 1;
    /// Bytes held for a reader that is slow; more are dropped and counted.
    size_t maxBufferedBytes = 512U << 10U;
    /// Routine lines of one kind a second.
    uint32_t routineLinesPerSecond = 50;
    /// Written into each line.
    std::string vmId;
};

/// @brief Decisions and changes of belief as JSON lines, written in batches and never waited for.
///
/// ```cpp
/// log.write(EventPriority::Important, "request_refused", {{"request_id", id}, {"status", 503}});
/// log.flush();
/// ```
class EventLog
{
public:
    explicit EventLog(EventLogOptions options);

    void write(EventPriority priority, std::string_view event,
               std::initializer_list<EventField> fields);

    /// @brief Hands buffered lines to the descriptor as far as it takes them without waiting.
    void flush();

    /// @brief Sets the time written into lines and begins a new second for the bounds when due.
    /// @param now monotonic time
    /// @param unixMicroseconds time of day
    void setTime(Instant now, int64_t unixMicroseconds);

    /// @brief Lines dropped because the reader was too slow.
    [[nodiscard]] uint64_t droppedLines() const { return m_droppedLines; }

private:
    void append(std::string_view event, std::initializer_list<EventField> fields);
    void reportSuppressed();

    EventLogOptions m_options;
    std::string m_buffer;
    int64_t m_unixMicroseconds = 0;
    Instant m_secondStartedAt;
    uint64_t m_droppedLines = 0;
    uint64_t m_reportedDroppedLines = 0;
    std::map<std::string, uint32_t, std::less<>> m_routineLines;
};

} // namespace teaseldrift::telemetry
