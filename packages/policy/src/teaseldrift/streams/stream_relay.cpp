#include "teaseldrift/streams/stream_relay.hpp"

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

#include "teaseldrift/schema/result.hpp"

namespace teaseldrift {

namespace {

using nlohmann::ordered_json;

constexpr std::string_view endData = "[DONE]";

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

void writeData(std::string_view data, std::string &out)
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

/// Makes a chunk of a continuation look like one of the stream that the caller knows.
std::string rewriteChunk(std::string_view data, std::string_view pattern, uint64_t base)
{
    ordered_json chunk = ordered_json::parse(data, nullptr, false);
    const ordered_json first = ordered_json::parse(pattern, nullptr, false);
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
    return chunk.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
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
    m_base = kind == AttemptKind::Continuation ? m_position : 0;
    m_baseBytes = m_text.size();
    m_lastEventId.clear();
    m_firstNumber.reset();
    m_lastNumber.reset();
    m_isNumberedInOrder = true;
    m_repeatedBytes.reset();
}

StreamProgress StreamRelay::feed(std::string_view bytes, std::string &out)
{
    StreamProgress progress{.first = m_position};
    m_parser.append(bytes);
    SseEvent event;
    while (!progress.isBroken && !m_ended && m_parser.next(event)) {
        readEvent(event, progress, out);
    }
    progress.count = m_position - progress.first;
    progress.isEnded = m_ended;
    progress.isBroken = progress.isBroken || m_parser.isOverfull();
    progress.isTextComplete = isTextComplete();
    return progress;
}

void StreamRelay::readEvent(const SseEvent &event, StreamProgress &progress, std::string &out)
{
    if (!event.hasData) {
        return;
    }
    if (event.data == endData) {
        m_ended = true;
        return;
    }
    const ChunkContent chunk = scanChunk(event.data, m_chunkText);
    if (!chunk.isValid || chunk.hasError || event.type == "error") {
        progress.isBroken = true;
        return;
    }
    const Verdict verdict = judge(event, chunk);
    if (verdict == Verdict::Pass) {
        take(event, chunk, out);
    }
    progress.isBroken = verdict == Verdict::Broken;
}

StreamRelay::Verdict StreamRelay::judge(const SseEvent &event, const ChunkContent &chunk)
{
    const std::optional<uint64_t> number = event.hasId ? parseNumber(event.id) : std::nullopt;
    if (number) {
        const Verdict verdict = judgeNumber(*number, chunk);
        if (verdict != Verdict::Pass) {
            return verdict;
        }
    } else if (m_kind == AttemptKind::Resume) {
        return Verdict::Broken; // Without a number nothing tells where the target went on.
    }
    const bool bringsNothing
            = !chunk.hasText && !chunk.isOpaque && !chunk.hasFinish && !chunk.hasUsage;
    const bool isRepeatedFinish = chunk.hasFinish && m_finishPassed;
    const bool isDropped = (bringsNothing && !m_isFirstAttempt) || isRepeatedFinish;
    return isDropped ? Verdict::Drop : Verdict::Pass;
}

StreamRelay::Verdict StreamRelay::judgeNumber(uint64_t number, const ChunkContent &chunk)
{
    if (!m_lastNumber && m_kind == AttemptKind::Resume) {
        return Verdict::Broken;
    }
    if (!m_lastNumber) {
        m_firstNumber = number;
        m_lastNumber = number;
        return Verdict::Pass;
    }
    if (number <= *m_lastNumber) {
        return judgeRepeat(number, chunk);
    }
    const bool isNext = number == *m_lastNumber + 1;
    if (m_kind != AttemptKind::Resume) {
        m_isNumberedInOrder = m_isNumberedInOrder && isNext;
    } else if (m_isNumberedInOrder && !isNext) {
        return Verdict::Broken;
    }
    m_lastNumber = number;
    return Verdict::Pass;
}

StreamRelay::Verdict StreamRelay::judgeRepeat(uint64_t number, const ChunkContent &chunk)
{
    if (m_kind != AttemptKind::Resume) {
        return Verdict::Broken;
    }
    if (number == m_firstNumber) {
        m_repeatedBytes = m_baseBytes;
    }
    if (!m_repeatedBytes || !chunk.hasText) {
        return Verdict::Drop;
    }
    // A target that begins anew must say the same again, or its rest does not fit.
    const std::string_view known
            = std::string_view(m_text).substr(std::min(*m_repeatedBytes, m_text.size()));
    if (!known.starts_with(m_chunkText)) {
        return Verdict::Broken;
    }
    *m_repeatedBytes += m_chunkText.size();
    return Verdict::Drop;
}

void StreamRelay::take(const SseEvent &event, const ChunkContent &chunk, std::string &out)
{
    if (chunk.hasText || chunk.isOpaque) {
        ++m_position;
        m_text += m_chunkText;
    }
    m_canContinue = m_canContinue && !chunk.isOpaque;
    m_finishPassed = m_finishPassed || chunk.hasFinish;
    if (chunk.hasUsage) {
        takeUsage(chunk);
    }
    if (m_firstChunk.empty()) {
        m_firstChunk = event.data;
    }
    writeEvent(event, out);
}

void StreamRelay::takeUsage(const ChunkContent &chunk)
{
    m_usage = {
            .promptTokens = chunk.promptTokens - std::min(chunk.promptTokens, m_base),
            .completionTokens = chunk.completionTokens + m_base,
            .cachedTokens = chunk.cachedTokens,
    };
}

void StreamRelay::writeEvent(const SseEvent &event, std::string &out)
{
    if (event.hasId) {
        m_lastEventId = event.id;
    }
    if (event.hasId && m_lastNumber) {
        m_callerNumber = m_base == 0 || !m_callerNumber ? *m_lastNumber : *m_callerNumber + 1;
        out += "id: ";
        out += std::to_string(*m_callerNumber);
        out += '\n';
    }
    if (!event.type.empty()) {
        out += "event: ";
        out += event.type;
        out += '\n';
    }
    if (m_base == 0) {
        writeData(event.data, out);
    } else {
        writeData(rewriteChunk(event.data, m_firstChunk, m_base), out);
    }
}

bool StreamRelay::isTextComplete() const
{
    const bool hasAllPositions = m_options.maxPositions > 0 && m_position >= m_options.maxPositions;
    return m_ended || m_finishPassed || hasAllPositions;
}

} // namespace teaseldrift
