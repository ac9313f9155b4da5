#include "teaseldrift/streams/stream_relay.hpp"

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

#include "teaseldrift/base/json_input.hpp"
#include "teaseldrift/schema/result.hpp"

namespace teaseldrift {

namespace {

using nlohmann::ordered_json;

constexpr std::string_view endMarkerData = "[DONE]";

std::optional<uint64_t> parseNumber(std::string_view text)
{
    uint64_t number = 0;
    const std::from_chars_result result
            = std::from_chars(text.data(), text.data() + text.size(), number);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

void appendData(std::string_view data, std::string &out)
{
    while (true) {
        const size_t newline = data.find('\n');
        out += "data: ";
        out += data.substr(0, newline);
        out += '\n';
        if (newline == std::string_view::npos) {
            break;
        }
        data.remove_prefix(newline + 1);
    }
    out += '\n';
}

/// Rewrites id, creation time and token counts of a continuation's chunk to match the stream that
/// the caller has received so far.
std::string rewriteChunk(std::string_view data, std::string_view pattern, uint64_t base)
{
    ordered_json chunk = parseJson<ordered_json>(data);
    const ordered_json first = parseJson<ordered_json>(pattern);
    if (!chunk.is_object()) {
        return std::string(data);
    }
    for (const char *field : {"id", "created"}) {
        if (first.is_object() && first.contains(field) && chunk.contains(field)) {
            chunk[field] = first[field];
        }
    }
    const ordered_json::iterator usage = chunk.find("usage");
    if (usage != chunk.end() && usage->is_object()) {
        ordered_json &prompt = (*usage)["prompt_tokens"];
        ordered_json &completion = (*usage)["completion_tokens"];
        if (prompt.is_number_unsigned() && completion.is_number_unsigned()) {
            const uint64_t tokens = prompt.get<uint64_t>();
            prompt = tokens - std::min(tokens, base);
            completion = completion.get<uint64_t>() + base;
        }
    }
    return toJsonText(chunk);
}

} // namespace

StreamRelay::StreamRelay(StreamOptions options)
    : m_options(options), m_parser(options.maxEventBytes)
{ }

void StreamRelay::beginAttempt(AttemptKind kind)
{
    m_parser.reset();
    m_isFirstAttempt = m_isFirstAttempt && m_firstChunk.empty();
    m_kind = kind;
    if (kind == AttemptKind::Resume) {
        return;
    }
    m_attemptBasePosition = kind == AttemptKind::Continuation ? m_position : 0;
    m_attemptBaseTextBytes = m_deliveredText.size();
    m_lastEventId.clear();
    m_firstEventNumber.reset();
    m_lastEventNumber.reset();
    m_hasConsecutiveEventNumbers = true;
    m_replayedTextBytes.reset();
}

StreamProgress StreamRelay::feed(std::string_view bytes, std::string &out)
{
    StreamProgress progress{.first = m_position};
    m_parser.append(bytes);
    SseEvent event;
    while (!progress.isBroken && !m_endMarkerReceived && m_parser.next(event)) {
        readEvent(event, progress, out);
    }
    progress.count = m_position - progress.first;
    progress.hasEndMarker = m_endMarkerReceived;
    progress.isBroken = progress.isBroken || m_parser.isEventTooLarge();
    progress.isTextComplete = isTextComplete();
    return progress;
}

void StreamRelay::readEvent(const SseEvent &event, StreamProgress &progress, std::string &out)
{
    if (!event.hasData) {
        return;
    }
    if (event.data == endMarkerData) {
        m_endMarkerReceived = true;
        return;
    }
    const ChunkContent chunk = parseChunk(event.data, m_chunkText);
    if (!chunk.isValid || chunk.hasError || event.type == "error") {
        progress.isBroken = true;
        return;
    }
    const EventAction action = classifyEvent(event, chunk);
    if (action == EventAction::Forward) {
        forwardEvent(event, chunk, out);
    }
    progress.isBroken = action == EventAction::Fail;
}

StreamRelay::EventAction StreamRelay::classifyEvent(const SseEvent &event,
                                                    const ChunkContent &chunk)
{
    const std::optional<uint64_t> number = event.hasId ? parseNumber(event.id) : std::nullopt;
    if (number) {
        const EventAction action = classifyEventNumber(*number, chunk);
        if (action != EventAction::Forward) {
            return action;
        }
    } else if (m_kind == AttemptKind::Resume) {
        return EventAction::Fail; // Without an event id, the resumed position is unknown.
    }
    const bool isEmpty = !chunk.hasText && !chunk.preventsContinuation && !chunk.hasFinishReason
                         && !chunk.hasUsage;
    const bool isRepeatedFinishReason = chunk.hasFinishReason && m_finishReasonForwarded;
    const bool isDropped = (isEmpty && !m_isFirstAttempt) || isRepeatedFinishReason;
    return isDropped ? EventAction::Drop : EventAction::Forward;
}

StreamRelay::EventAction StreamRelay::classifyEventNumber(uint64_t number,
                                                          const ChunkContent &chunk)
{
    if (!m_lastEventNumber && m_kind == AttemptKind::Resume) {
        return EventAction::Fail;
    }
    if (!m_lastEventNumber) {
        m_firstEventNumber = number;
        m_lastEventNumber = number;
        return EventAction::Forward;
    }
    if (number <= *m_lastEventNumber) {
        return classifyRepeatedEvent(number, chunk);
    }
    const bool isNext = number == *m_lastEventNumber + 1;
    if (m_kind != AttemptKind::Resume) {
        m_hasConsecutiveEventNumbers = m_hasConsecutiveEventNumbers && isNext;
    } else if (m_hasConsecutiveEventNumbers && !isNext) {
        return EventAction::Fail;
    }
    m_lastEventNumber = number;
    return EventAction::Forward;
}

StreamRelay::EventAction StreamRelay::classifyRepeatedEvent(uint64_t number,
                                                            const ChunkContent &chunk)
{
    if (m_kind != AttemptKind::Resume) {
        return EventAction::Fail;
    }
    if (number == m_firstEventNumber) {
        m_replayedTextBytes = m_attemptBaseTextBytes;
    }
    if (!m_replayedTextBytes || !chunk.hasText) {
        return EventAction::Drop;
    }
    // If a target restarts its stream, it must repeat the delivered text, or the rest would not
    // match.
    const std::string_view known
            = std::string_view(m_deliveredText)
                      .substr(std::min(*m_replayedTextBytes, m_deliveredText.size()));
    if (!known.starts_with(m_chunkText)) {
        return EventAction::Fail;
    }
    *m_replayedTextBytes += m_chunkText.size();
    return EventAction::Drop;
}

void StreamRelay::forwardEvent(const SseEvent &event, const ChunkContent &chunk, std::string &out)
{
    if (chunk.hasText || chunk.preventsContinuation) {
        ++m_position;
        m_deliveredText += m_chunkText;
    }
    m_canContinue = m_canContinue && !chunk.preventsContinuation;
    m_finishReasonForwarded = m_finishReasonForwarded || chunk.hasFinishReason;
    if (chunk.hasUsage) {
        recordUsage(chunk);
        const bool isUsageOnly
                = !chunk.hasText && !chunk.preventsContinuation && !chunk.hasFinishReason;
        if (isUsageOnly && !m_options.includeUsage) {
            return;
        }
    }
    if (m_firstChunk.empty()) {
        m_firstChunk = event.data;
    }
    appendEvent(event, out);
}

void StreamRelay::recordUsage(const ChunkContent &chunk)
{
    m_usage = {
            .promptTokens
            = chunk.promptTokens - std::min(chunk.promptTokens, m_attemptBasePosition),
            .completionTokens = chunk.completionTokens + m_attemptBasePosition,
            .cachedTokens = chunk.cachedTokens,
    };
}

void StreamRelay::appendEvent(const SseEvent &event, std::string &out)
{
    if (event.hasId) {
        m_lastEventId = event.id;
    }
    if (event.hasId && m_lastEventNumber) {
        m_lastCallerEventNumber = m_attemptBasePosition == 0 || !m_lastCallerEventNumber
                                          ? *m_lastEventNumber
                                          : *m_lastCallerEventNumber + 1;
        out += "id: ";
        out += std::to_string(*m_lastCallerEventNumber);
        out += '\n';
    }
    if (!event.type.empty()) {
        out += "event: ";
        out += event.type;
        out += '\n';
    }
    if (m_attemptBasePosition == 0) {
        appendData(event.data, out);
    } else {
        appendData(rewriteChunk(event.data, m_firstChunk, m_attemptBasePosition), out);
    }
}

bool StreamRelay::isTextComplete() const
{
    const bool hasAllPositions = m_options.maxPositions > 0 && m_position >= m_options.maxPositions;
    return m_endMarkerReceived || m_finishReasonForwarded || hasAllPositions;
}

} // namespace teaseldrift
