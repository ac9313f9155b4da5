#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/attempts/request_action.hpp"
#include "teaseldrift/attempts/response_class.hpp"
#include "teaseldrift/attempts/retry_budget.hpp"
#include "teaseldrift/base/time.hpp"
#include "teaseldrift/schema/configuration.pb.h"

namespace teaseldrift {

/// @brief Progress of an attempt.
enum class AttemptPhase {
    /// No byte of the request has left this VM.
    NotSent,
    /// Bytes of the request may have reached the target.
    PossiblySent,
    /// The response head has arrived.
    ReceivingResponse,
    /// The complete response has arrived.
    ResponseComplete,
};

/// @brief State of a request as a whole.
enum class RequestPhase {
    /// start() has not been called.
    New,
    /// A target is being selected for the next attempt.
    SelectingTarget,
    /// An attempt is in progress.
    Attempting,
    /// Every target is excluded; the next attempt starts after a backoff.
    BackingOff,
    /// The request has its final outcome.
    Finished,
};

/// @brief How the response is forwarded to the caller.
enum class ResponseMode {
    /// Held back until it is complete, so that the request can be retried if it breaks off.
    Buffered,
    /// Forwarded event by event.
    Streamed,
};

/// @brief Limits of a request.
struct RequestOptions
{
    schema::RouteClass routeClass = schema::IDEMPOTENT;
    ResponseMode responseMode = ResponseMode::Buffered;
    /// Maximum time until the response is complete or, for a stream, until its first event is
    /// delivered.
    Duration deadline = 30s;
    /// Maximum time without data from the target before the response head.
    Duration firstByteTimeout = 30s;
    /// Maximum time without data from the target after the response head; for a Resume also before
    /// it.
    Duration progressTimeout = 5s;
    /// Maximum number of failed attempts between two newly delivered positions. Also limits the
    /// number of backoffs.
    uint32_t maxAttempts = 3;
    /// Maximum number of failed attempts in which a target may have run the request; 0 for no
    /// separate limit. Attempts that were refused or never reached a target count only against
    /// maxAttempts.
    uint32_t maxRuns = 0;
    /// Maximum number of waits for a target that has asked to be left alone.
    uint32_t maxWaits = 4;
    /// Targets support resuming a stream after a lost connection.
    bool targetsResume = true;
    /// Initial backoff before failed targets are retried when no other target is left; doubles
    /// each time.
    Duration retryDelay = 100ms;
    /// If timerExpired() is called later than this after its deadline, this VM is assumed to have
    /// been paused, and the target is not considered timed out.
    Duration timerTolerance = 500ms;
};

/// @brief State machine for one caller request and all its attempts.
///
/// Performs no I/O and reads no clock: the request task reports events with their time and carries
/// out the returned actions in order. Events of an attempt that is no longer current are ignored.
/// A request has exactly one outcome: the first CompleteResponse, RefuseRequest,
/// EndStreamWithError or effective callerDisconnected().
///
/// ```cpp
/// RequestStateMachine machine({.routeClass = schema::GENERATION}, organisationBudget);
/// perform(machine.start(now)); // StartAttempt{id = 1}
/// machine.targetSelected(1, "engine-7", now);
/// machine.sendStarted(1, now); // before the first byte is handed over
/// perform(machine.responseHeadReceived(1, {.status = 200}, now));
/// if (machine.isCurrent(1)) { perform(machine.eventsReceived(1, {.first = 0, .count = 3}, now)); }
/// perform(machine.endMarkerReceived(1, now)); // CompleteResponse{1}
/// ```
class RequestStateMachine
{
public:
    /// A range of stream positions received from an attempt.
    struct PositionRange
    {
        uint64_t first = 0;
        uint64_t count = 0;
    };

    RequestStateMachine(RequestOptions options, RetryBudget &organisationBudget);

    /// @brief Starts the first attempt. Must be called exactly once.
    RequestActions start(Instant now) { return start(now, now); }

    /// @brief The same for a request that arrived earlier; its deadline counts from its arrival.
    RequestActions start(Instant arrivedAt, Instant now);

    /// @brief A target was selected for the attempt, and a connection to it is being established.
    void targetSelected(AttemptId id, std::string_view target, Instant now);

    /// @brief No target can take the attempt: none is available, or their retry budgets are
    /// exhausted.
    /// @param retryAfter Retry-After value for the caller; 0 if unknown
    RequestActions noTargetAvailable(AttemptId id, Instant now, Duration retryAfter = Duration(0));

    /// @brief No target can take the attempt before a known time: the next attempt starts then.
    ///
    /// If that is not before the deadline, or the request has waited too often, it ends as by
    /// targetsUnavailable().
    RequestActions waitForTarget(AttemptId id, Instant until, Instant now);

    /// @brief No target can take the request in time: it ends without a backoff.
    /// @param retryAfter Retry-After value for the caller; 0 if unknown
    RequestActions targetsUnavailable(AttemptId id, Instant now, Duration retryAfter = Duration(0));

    /// @brief Bytes of the request may leave this VM from now on.
    ///
    /// Must be called before the first byte is sent. If the HTTP client reports this only
    /// afterwards, it must be called before any other event of the attempt, including
    /// timerExpired().
    void sendStarted(AttemptId id, Instant now);

    /// @brief Contrary to sendStarted(), no byte of the request has reached the target, and none
    /// will. Follows what another VM states that was to pass the request on.
    void nothingSent(AttemptId id);

    /// @brief The connection could not be established, so nothing was sent.
    RequestActions connectFailed(AttemptId id, Instant now);

    /// @brief The response head arrived.
    /// @return no actions if the response body is to be read
    RequestActions responseHeadReceived(AttemptId id, const ResponseSummary &head, Instant now);

    /// @brief Bytes arrived that advance no position, such as a buffered body or an SSE comment.
    void bytesReceived(AttemptId id, Instant now);

    /// @brief Stream events arrived. They may be forwarded only if no actions are returned.
    ///
    /// Must be called for every event that is forwarded, even if its count is 0, as for the chunk
    /// that contains the role: once the caller has received an event, the request can no longer be
    /// refused.
    RequestActions eventsReceived(AttemptId id, PositionRange range, Instant now);

    /// @brief All text of a stream has been delivered, but the end marker has not arrived yet.
    ///
    /// If the target then fails and the rest cannot be obtained from it, the caller's stream is
    /// ended normally.
    void textComplete(AttemptId id);

    /// @brief The end marker of a stream arrived.
    RequestActions endMarkerReceived(AttemptId id, Instant now);

    /// @brief The transport reports that the response is complete.
    RequestActions responseComplete(AttemptId id, Instant now);

    /// @brief The connection was lost, or the data received is not a valid response.
    RequestActions attemptFailed(AttemptId id, Instant now);

    /// @brief The delivered part of the stream cannot be continued by another target.
    ///
    /// If a StartAttempt for a Continuation has already been returned, report noTargetAvailable()
    /// next.
    void forbidContinuation() { m_canContinue = false; }

    /// @brief The caller closed its connection.
    ///
    /// A non-idempotent request that may have reached its target is not aborted.
    RequestActions callerDisconnected(Instant now);

    /// @brief The shutdown deadline of this VM has passed; the request is ended.
    RequestActions drainDeadlineExpired(Instant now);

    /// @brief nextDeadline() has passed.
    ///
    /// Data that is already readable on a socket must be reported first.
    RequestActions timerExpired(Instant now);

    /// @brief When to call timerExpired(); empty if no timer is needed.
    [[nodiscard]] std::optional<Instant> nextDeadline() const;

    /// @brief Whether data of this attempt may still be read and forwarded.
    [[nodiscard]] bool isCurrent(AttemptId id) const;

    [[nodiscard]] RequestPhase phase() const { return m_phase; }
    [[nodiscard]] AttemptPhase attemptPhase() const { return m_attemptPhase; }
    /// @brief Number of positions delivered to the caller.
    [[nodiscard]] uint64_t deliveredPositions() const { return m_deliveredPositions; }
    [[nodiscard]] uint32_t attempts() const { return m_attemptId; }
    /// @brief The budget refused the last retry.
    [[nodiscard]] bool isRetryRefused() const { return m_isRetryRefused; }
    /// @brief The target of the current attempt; empty until one is selected.
    [[nodiscard]] std::string_view target() const { return m_target; }

private:
    enum class Failure { ConnectFailed, Refused, Broken, TimedOut };

    RequestActions handleFailure(Failure failure, Instant now);
    RequestActions startNextAttempt(Instant now);
    RequestActions failRequest(schema::ResultCode codeIfNotRun);
    RequestActions cancelAndFailRequest(schema::ResultCode codeIfNotRun);
    RequestActions completeRequest();
    RequestActions backoffOrFail(Instant now);
    RequestActions handleTimeout(Instant now);
    void recordFailure(Failure failure);
    void selectNextAttemptKind(Failure failure);
    bool acquireRetry(Instant now);
    [[nodiscard]] bool mayRetry(Instant now) const;
    [[nodiscard]] bool isStreamed() const;
    [[nodiscard]] bool isDeadlineActive() const { return !m_hasDeliveredEvents; }
    [[nodiscard]] std::optional<Instant> progressDeadline() const;
    [[nodiscard]] StartAttempt makeStartAttempt() const;
    [[nodiscard]] schema::Ran ranState() const;

    RequestOptions m_options;
    RetryBudget &m_organisationBudget;
    RequestPhase m_phase = RequestPhase::New;
    AttemptPhase m_attemptPhase = AttemptPhase::NotSent;
    AttemptId m_attemptId = 0;
    AttemptKind m_attemptKind = AttemptKind::FullRequest;
    schema::RetryReason m_retryReason = schema::RETRY_NONE;
    std::string m_target;
    /// Target of a Resume attempt.
    std::string m_resumeTarget;
    std::vector<std::string> m_excludedTargets;
    Instant m_deadline;
    Instant m_lastProgress;
    Instant m_retryAt;
    uint64_t m_deliveredPositions = 0;
    /// Failed attempts since the last newly delivered position.
    uint32_t m_failuresSinceProgress = 0;
    /// Failed attempts in which a target may have run the request.
    uint32_t m_possibleRunCount = 0;
    uint32_t m_backoffCount = 0;
    uint32_t m_waitCount = 0;
    Duration m_retryAfter{0};
    schema::ResultCode m_lastCause = schema::NO_TARGET;
    /// Cause of the last failed attempt in which a target may have run the request.
    schema::ResultCode m_lastPossibleRunCause = schema::TARGET_FAILED;
    /// A target may have run the request in a failed attempt.
    bool m_mayHaveRun = false;
    bool m_hasDeliveredEvents = false;
    bool m_canContinue = true;
    bool m_textComplete = false;
    bool m_isSuccessStatus = false;
    bool m_isRetryRefused = false;
    /// The response is complete, but the transport of the last attempt has not ended yet.
    bool m_awaitsTransportEnd = false;
};

} // namespace teaseldrift
