#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "teaseldrift/attempts/request_action.hpp"
#include "teaseldrift/streams/chunk_parser.hpp"
#include "teaseldrift/streams/sse_parser.hpp"

namespace teaseldrift {

/// @brief Token counts reported at the end of a response.
struct StreamUsage
{
    uint64_t promptTokens = 0;
    uint64_t completionTokens = 0;
    uint64_t cachedTokens = 0;
};

/// @brief Result of processing bytes of a target's stream.
struct StreamProgress
{
    /// First newly delivered position.
    uint64_t first = 0;
    /// Number of newly delivered positions.
    uint64_t count = 0;
    /// All text has been forwarded: call RequestStateMachine::textComplete().
    bool isTextComplete = false;
    /// The end marker arrived.
    bool hasEndMarker = false;
    /// The stream is invalid, has a gap or contains an error event: call
    /// RequestStateMachine::attemptFailed().
    bool isBroken = false;
};

/// @brief Properties of a stream that follow from its request.
struct StreamOptions
{
    size_t maxEventBytes = 1U << 20U;
    /// Maximum number of positions that the request allows; 0 if unlimited.
    uint64_t maxPositions = 0;
    /// The caller requested the chunk that contains only token counts.
    bool includeUsage = true;
};

/// @brief Derives the options of a StreamRelay from a request body.
StreamOptions parseStreamOptions(std::string_view requestBody);

/// @brief Merges the streams of all attempts of a request into the one stream the caller receives.
///
/// Only complete events are forwarded, so the caller never receives part of an event when a
/// connection is lost. A position is the index of an event with text or with content that prevents
/// a continuation. Events that the caller has already received are dropped. feed() does not forward
/// the end marker: write finalEvents() when RequestStateMachine returns CompleteResponse.
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

    /// @brief Starts a new attempt; the bytes that follow belong to it.
    void beginAttempt(AttemptKind kind);

    /// @brief Processes bytes of the current attempt.
    /// @param out complete events for the caller are appended to it
    StreamProgress feed(std::string_view bytes, std::string &out);

    /// @brief Bytes that belong to no complete event yet.
    [[nodiscard]] size_t bufferedBytes() const { return m_parser.bufferedBytes(); }

    /// @brief Number of positions forwarded so far.
    [[nodiscard]] uint64_t position() const { return m_position; }

    /// @brief The text forwarded so far.
    [[nodiscard]] std::string_view deliveredText() const { return m_deliveredText; }

    /// @brief Value for `Last-Event-ID`; empty if the target sends no event ids.
    [[nodiscard]] std::string_view lastEventId() const { return m_lastEventId; }

    /// @brief Whether another target can continue from the delivered text.
    [[nodiscard]] bool canContinue() const { return m_canContinue; }

    /// @brief Builds the request body with which another target continues this stream.
    /// @return empty if the stream cannot be continued: call
    /// RequestStateMachine::forbidContinuation() and noTargetAvailable(), and send nothing
    [[nodiscard]] std::optional<std::string> continuationBody(std::string_view originalBody) const;

    /// @brief Token counts over all attempts; empty until the target has reported them.
    [[nodiscard]] const std::optional<StreamUsage> &usage() const { return m_usage; }

    /// @brief The events that end the stream: the end marker, preceded by a finish reason if the
    /// target was lost before it sent one.
    [[nodiscard]] std::string finalEvents() const;

    /// @brief Builds the event that ends a stream with an error.
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
    /// Position at which the response to the current attempt's request body starts.
    uint64_t m_attemptBasePosition = 0;
    size_t m_attemptBaseTextBytes = 0;
    std::string m_deliveredText;
    std::string m_chunkText;
    /// The first chunk forwarded to the caller, the template for rewritten and generated chunks.
    std::string m_firstChunk;
    std::string m_lastEventId;
    /// Numeric event ids as sent by the current target.
    std::optional<uint64_t> m_firstEventNumber;
    std::optional<uint64_t> m_lastEventNumber;
    bool m_hasConsecutiveEventNumbers = true;
    /// Offset in the delivered text up to which a target that restarted its stream has repeated it.
    std::optional<size_t> m_replayedTextBytes;
    /// Last event id sent to the caller.
    std::optional<uint64_t> m_lastCallerEventNumber;
    std::optional<StreamUsage> m_usage;
    bool m_canContinue = true;
    bool m_finishReasonForwarded = false;
    bool m_endMarkerReceived = false;
};

} // namespace teaseldrift
