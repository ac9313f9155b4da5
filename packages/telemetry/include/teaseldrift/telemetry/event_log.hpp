#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift::telemetry {

/// @brief A named field of an event.
struct EventField
{
    std::string_view name;
    std::variant<std::string_view, int64_t, double, bool> value;
};

/// @brief Whether an event is subject to the rate limit of the log.
enum class EventPriority {
    /// Rate-limited per event name; events over the limit are only counted.
    Routine,
    /// Not rate-limited; dropped only if the buffer is full because the reader is slow.
    Important,
};

/// @brief Options of an event log.
struct EventLogOptions
{
    /// File descriptor that lines are written to.
    int descriptor = 1;
    /// Bytes buffered for a slow reader; further lines are dropped and counted.
    size_t maxBufferedBytes = 512U << 10U;
    /// Routine lines written per event name and second.
    uint32_t routineLinesPerSecond = 50;
    /// Id of this VM, written into each line.
    std::string vmId;
    /// Optional; returns the wall-clock time in Unix microseconds for the timestamp of each line.
    /// Without it, lines bear the time of the last setTime(), which is out of date after a
    /// suspension of the process.
    std::function<int64_t()> wallClock;
};

/// @brief Log of decisions and state changes as JSON lines, written in batches without blocking.
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

    /// @brief Writes buffered lines as far as the descriptor accepts them without blocking.
    void flush();

    /// @brief Resets the rate limit once a second, and sets the timestamp of following lines if no
    /// EventLogOptions::wallClock is set.
    /// @param now monotonic time
    /// @param unixMicroseconds wall-clock time
    void setTime(Instant now, int64_t unixMicroseconds);

    /// @brief Number of lines dropped because the buffer was full.
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
