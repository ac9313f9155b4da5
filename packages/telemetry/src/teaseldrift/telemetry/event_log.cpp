#include "teaseldrift/telemetry/event_log.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <poll.h>
#include <unistd.h>
#include <utility>

#include "teaseldrift/base/utf8.hpp"

namespace teaseldrift::telemetry {

namespace {

/// PIPE_BUF: a pipe that poll() reports as writable accepts at least this much without blocking.
constexpr size_t bytesPerWrite = 4096;

/// Bytes that are not UTF-8 are replaced: a line must be valid JSON whatever callers send.
void appendQuoted(std::string &out, std::string_view text)
{
    out += '"';
    while (!text.empty()) {
        const char letter = text.front();
        const unsigned char code = static_cast<unsigned char>(letter);
        const size_t length = utf8SequenceLength(text);
        constexpr unsigned char firstPrintable = 0x20;
        if (letter == '"' || letter == '\\') {
            out += '\\';
            out += letter;
        } else if (code < firstPrintable) {
            constexpr std::string_view digits = "0123456789abcdef";
            out += "\\u00";
            out += digits[code >> 4U];
            out += digits[code & 0xfU];
        } else if (length == 0) {
            out += "\\ufffd";
        } else {
            out += text.substr(0, length);
        }
        text.remove_prefix(std::max<size_t>(length, 1));
    }
    out += '"';
}

template <typename Number>
void appendNumber(std::string &out, Number number)
{
    std::array<char, 32> text{};
    const std::to_chars_result end = std::to_chars(text.data(), text.data() + text.size(), number);
    out.append(text.data(), end.ptr);
}

void appendValue(std::string &out, const EventField &field)
{
    if (const std::string_view *text = std::get_if<std::string_view>(&field.value)) {
        appendQuoted(out, *text);
    } else if (const int64_t *number = std::get_if<int64_t>(&field.value)) {
        appendNumber(out, *number);
    } else if (const double *real = std::get_if<double>(&field.value)) {
        appendNumber(out, *real);
    } else {
        out += std::get<bool>(field.value) ? "true" : "false";
    }
}

} // namespace

EventLog::EventLog(EventLogOptions options) : m_options(std::move(options)) { }

void EventLog::write(EventPriority priority, std::string_view event,
                     std::initializer_list<EventField> fields)
{
    if (priority == EventPriority::Routine) {
        auto found = m_routineLines.find(event);
        if (found == m_routineLines.end()) {
            found = m_routineLines.emplace(std::string(event), 0).first;
        }
        if (++found->second > m_options.routineLinesPerSecond) {
            return;
        }
    }
    append(event, fields);
}

void EventLog::append(std::string_view event, std::initializer_list<EventField> fields)
{
    if (m_buffer.size() >= m_options.maxBufferedBytes) {
        ++m_droppedLines;
        return;
    }
    m_buffer += "{\"time_us\":";
    appendNumber(m_buffer, m_options.wallClock ? m_options.wallClock() : m_unixMicroseconds);
    m_buffer += ",\"vm\":";
    appendQuoted(m_buffer, m_options.vmId);
    m_buffer += ",\"event\":";
    appendQuoted(m_buffer, event);
    for (const EventField &field : fields) {
        m_buffer += ',';
        appendQuoted(m_buffer, field.name);
        m_buffer += ':';
        appendValue(m_buffer, field);
    }
    m_buffer += "}\n";
}

void EventLog::flush()
{
    size_t written = 0;
    while (written < m_buffer.size()) {
        pollfd ready{.fd = m_options.descriptor, .events = POLLOUT, .revents = 0};
        if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
            break;
        }
        const size_t size = std::min(bytesPerWrite, m_buffer.size() - written);
        const ssize_t bytesWritten = ::write(m_options.descriptor, m_buffer.data() + written, size);
        if (bytesWritten <= 0) {
            break;
        }
        written += static_cast<size_t>(bytesWritten);
    }
    m_buffer.erase(0, written);
}

void EventLog::setTime(Instant now, int64_t unixMicroseconds)
{
    m_unixMicroseconds = unixMicroseconds;
    if (now - m_secondStartedAt >= 1s) {
        m_secondStartedAt = now;
        reportSuppressed();
    }
}

void EventLog::reportSuppressed()
{
    for (std::pair<const std::string, uint32_t> &entry : m_routineLines) {
        if (entry.second > m_options.routineLinesPerSecond) {
            const int64_t suppressed = entry.second - m_options.routineLinesPerSecond;
            append("lines_folded",
                   {{"kind", std::string_view(entry.first)}, {"count", suppressed}});
        }
        entry.second = 0;
    }
    if (m_droppedLines > m_reportedDroppedLines) {
        append("lines_dropped",
               {{"count", static_cast<int64_t>(m_droppedLines - m_reportedDroppedLines)}});
        m_reportedDroppedLines = m_droppedLines;
    }
}

} // namespace teaseldrift::telemetry
