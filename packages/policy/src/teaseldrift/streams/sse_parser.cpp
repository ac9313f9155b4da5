#include "teaseldrift/streams/sse_parser.hpp"

#include <algorithm>

#include "teaseldrift/base/release_memory.hpp"

namespace teaseldrift {

namespace {

/// Returns the end of the event that starts at `begin`, after its blank line; npos if incomplete.
/// The search starts at `scanned`, which is advanced to the start of the last incomplete line.
size_t findEventEnd(std::string_view buffer, size_t begin, size_t &scanned)
{
    size_t line = std::max(begin, scanned);
    while (true) {
        const size_t newline = buffer.find('\n', line);
        if (newline == std::string_view::npos) {
            scanned = line;
            return std::string_view::npos;
        }
        const bool isBlank = newline == line || (newline == line + 1 && buffer[line] == '\r');
        if (isBlank) {
            return newline + 1;
        }
        line = newline + 1;
    }
}

std::string_view withoutCarriageReturn(std::string_view line)
{
    if (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
    }
    return line;
}

} // namespace

SseParser::SseParser(size_t maxEventBytes) : m_maxEventBytes(maxEventBytes) { }

void SseParser::append(std::string_view bytes)
{
    compact();
    m_buffer.append(bytes);
}

bool SseParser::next(SseEvent &event)
{
    if (m_isEventTooLarge) {
        return false;
    }
    const size_t end = findEventEnd(m_buffer, m_begin, m_scanned);
    const size_t size = (end == std::string::npos ? m_buffer.size() : end) - m_begin;
    if (size > m_maxEventBytes) {
        m_isEventTooLarge = true;
        return false;
    }
    if (end == std::string::npos) {
        releaseUnused();
        return false;
    }
    readEvent(std::string_view(m_buffer).substr(m_begin, end - m_begin), event);
    m_begin = end;
    m_scanned = end;
    return true;
}

void SseParser::reset()
{
    releaseMemory(m_buffer);
    releaseMemory(m_joinedData);
    m_begin = 0;
    m_scanned = 0;
    m_isEventTooLarge = false;
}

/// Most streams have small events, and thousands of them may be open.
void SseParser::releaseUnused()
{
    constexpr size_t maxUnusedBytes = 8U << 10U;
    if (!hasPartialEvent() && m_buffer.capacity() > maxUnusedBytes) {
        releaseMemory(m_buffer);
        m_begin = 0;
        m_scanned = 0;
    }
}

void SseParser::compact()
{
    if (m_begin == 0) {
        return;
    }
    m_buffer.erase(0, m_begin);
    m_scanned -= m_begin;
    m_begin = 0;
}

void SseParser::readEvent(std::string_view lines, SseEvent &event)
{
    event = {.raw = lines};
    while (!lines.empty()) {
        const size_t newline = lines.find('\n');
        const std::string_view line = withoutCarriageReturn(lines.substr(0, newline));
        lines.remove_prefix(newline + 1);
        const size_t colon = line.find(':');
        if (line.empty() || colon == 0) {
            continue;
        }
        const std::string_view field = line.substr(0, colon);
        std::string_view value = colon == std::string_view::npos ? "" : line.substr(colon + 1);
        if (!value.empty() && value.front() == ' ') {
            value.remove_prefix(1);
        }
        if (field == "data") {
            appendData(value, event);
        } else if (field == "id") {
            event.id = value;
            event.hasId = true;
        } else if (field == "event") {
            event.type = value;
        }
    }
}

void SseParser::appendData(std::string_view value, SseEvent &event)
{
    if (!event.hasData) {
        event.hasData = true;
        event.data = value;
        return;
    }
    std::string joined(event.data);
    joined += '\n';
    joined += value;
    m_joinedData = std::move(joined);
    event.data = m_joinedData;
}

} // namespace teaseldrift
