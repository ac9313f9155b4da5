#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "teaseldrift/attempts/request_action.hpp"
#include "teaseldrift/streams/chunk_parser.hpp"
#include "teaseldrift/streams/sse_parser.hpp"

namespace teaseldrift {

/// @brief Token counts that a finished answer reports.
struct StreamUsage
{
    uint64_t promptTokens = 0;
    uint64_t completionTokens = 0;
    uint64_t cachedTokens = 0;
};

/// @brief What a piece of a target's stream brought.
struct StreamProgress
{
    /// First new position and how many.
    uint64_t first = 0;
    uint64_t count = 0;
    /// All text is passed on: report RequestStateMachine::textComplete().
    bool isTextComplete = false;
    /// The end marker arrived.
    bool hasEndMarker = false;
    /// Not a valid stream, a gap, or an error event: treat the attempt as broken.
    bool isBroken = false;
};

/// @brief What is known of a stream from its request.
struct StreamOptions
{
    size_t maxEventBytes = 1U << 20U;
    /// Most positions that the request allows; 0 if it sets no bound.
    uint64_t maxPositions = 0;
    /// The caller wants the chunk that reports token counts only.
    bool includeUsage = true;
};

/// @brief Reads from a request's body what a StreamRelay has to know.
StreamOptions parseStreamOptions(std::string_view requestBody);

/// @brief The caller's view of one stream over all attempts that feed it.
///
/// Whole events only are passed on, so a broken connection never leaves half an event. Positions
/// count events with text; events of an attempt that the caller already has are dropped. The end
/// marker is not passed on by feed(): write finalEvents() when RequestStateMachine says
/// CompleteResponse.
///
/// ```cpp
/// StreamRelay relay(parseStreamOptions(body));
/// relay.beginAttempt(AttemptKind::FullRequest);
/// StreamProgress progress = relay.feed(bytes, out);
/// std::optional<std::string> rest = relay.continuationBody(body);
/// ```
class StreamRelay
{
public:
    explicit StreamRelay(StreamOptions options = {});

    /// @brief What follows comes from a new attempt.
    void beginAttempt(AttemptKind kind);

    /// @brief Reads bytes of the current attempt.
    /// @param out whole events for the caller are appended to it
    StreamProgress feed(std::string_view bytes, std::string &out);

    /// @brief Positions passed on so far.
    [[nodiscard]] uint64_t position() const { return m_position; }

    /// @brief The text passed on so far.
    [[nodiscard]] std::string_view deliveredText() const { return m_deliveredText; }

    /// @brief Value for `Last-Event-ID`; empty if the target numbers no events.
    [[nodiscard]] std::string_view lastEventId() const { return m_lastEventId; }

    /// @brief Whether another target can continue from the delivered text.
    [[nodiscard]] bool canContinue() const { return m_canContinue; }

    /// @brief The request that makes another target continue where this stream stands.
    /// @return empty if that cannot be asked for: then report
    /// RequestStateMachine::forbidContinuation() and noTargetAvailable(), and send nothing
    [[nodiscard]] std::optional<std::string> continuationBody(std::string_view originalBody) const;

    /// @brief Token counts, once a finished answer has reported them.
    [[nodiscard]] const std::optional<StreamUsage> &usage() const { return m_usage; }

    /// @brief What ends the stream properly: the end marker, and before it the finish reason if
    /// the target was lost between the last text and that.
    [[nodiscard]] std::string finalEvents() const;

    /// @brief An event that ends a stream with an error.
    static std::string errorEvent(schema::ResultCode code);

private:
    enum class EventAction { Forward, Drop, Fail };

    void readEvent(const SseEvent &event, StreamProgress &progress, std::string &out);
    EventAction classifyEvent(const SseEvent &event, const ChunkContent &chunk);
    EventAction classifyEventNumber(uint64_t number, const ChunkContent &chunk);
    EventAction classifyRepeatedEvent(uint64_t number, const ChunkContent &chunk);
    void forwardEvent(const SseEvent &event, const ChunkContent &chunk, std::string &out);
    void recordUsage(const ChunkContent &chunk);
    void appendEvent(const SseEvent &event, std::string &out);
    [[nodiscard]] bool isTextComplete() const;

    StreamOptions m_options;
    SseParser m_parser;
    AttemptKind m_kind = AttemptKind::FullRequest;
    bool m_isFirstAttempt = true;
    uint64_t m_position = 0;
    /// Position at which the current attempt's own request begins.
    uint64_t m_attemptBasePosition = 0;
    size_t m_attemptBaseTextBytes = 0;
    std::string m_deliveredText;
    std::string m_chunkText;
    /// A chunk as the caller got it, the pattern for rewritten ones.
    std::string m_firstChunk;
    std::string m_lastEventId;
    /// Numbers in the current target's own counting.
    std::optional<uint64_t> m_firstEventNumber;
    std::optional<uint64_t> m_lastEventNumber;
    bool m_hasConsecutiveEventNumbers = true;
    /// Where a target that begins anew stands in the text already passed on.
    std::optional<size_t> m_replayedTextBytes;
    /// Last number that the caller got.
    std::optional<uint64_t> m_lastCallerEventNumber;
    std::optional<StreamUsage> m_usage;
    bool m_canContinue = true;
    bool m_finishReasonForwarded = false;
    bool m_endMarkerReceived = false;
};

} // namespace teaseldrift
