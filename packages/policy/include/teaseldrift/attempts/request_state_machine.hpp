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

/// @brief How far an attempt has come.
enum class AttemptPhase {
    /// Nothing has left this VM.
    NotSent,
    /// Bytes of the request may have reached the target.
    PossiblySent,
    /// The target has begun to answer.
    ReceivingResponse,
    /// The whole answer is here.
    ResponseComplete,
};

/// @brief Where a request stands as a whole.
enum class RequestPhase {
    /// start() has not been called.
    New,
    /// An attempt is to be given a target.
    SelectingTarget,
    /// An attempt is under way.
    Attempting,
    /// All targets are excluded; another attempt follows after a pause.
    BackingOff,
    /// The caller has its one final outcome.
    Finished,
};

/// @brief How an answer reaches the caller.
enum class ResponseMode {
    /// Held back until it is whole, so that a broken one can be replaced as a whole.
    Buffered,
    /// Passed on event by event.
    Streamed,
};

/// @brief What bounds a request.
struct RequestOptions
{
    schema::RouteClass routeClass = schema::IDEMPOTENT;
    ResponseMode responseMode = ResponseMode::Buffered;
    /// Longest time to the whole answer, or to the first delivered position of a stream.
    Duration deadline = 30s;
    /// Longest silence of a target before its answer begins.
    Duration firstByteTimeout = 30s;
    /// Longest silence of a target within an answer.
    Duration progressTimeout = 5s;
    /// Attempts in all.
    uint32_t maxAttempts = 3;
    /// Attempts after which a target may have run the request; 0 for no bound of their own.
    /// Attempts that targets refused, or that reached none, count only against maxAttempts.
    uint32_t maxRuns = 0;
    /// Targets resume a stream after a broken connection.
    bool targetsResume = true;
    /// Pause before targets that failed are tried again when there is no other.
    Duration retryDelay = 100ms;
    /// How late timerExpired() may be called before this VM is taken to have been paused itself.
    Duration timerTolerance = 500ms;
};

/// @brief One request of a caller and all its attempts.
///
/// Pure: the task reports what happened, with the time, and carries out the returned actions in
/// order. Whatever comes from an attempt that is no longer current is ignored. After the first
/// CompleteResponse, RefuseRequest, EndStreamWithError or callerDisconnected() there is no other
/// outcome.
///
/// ```cpp
/// RequestStateMachine machine({.routeClass = schema::GENERATION}, organisationBudget);
/// perform(machine.start(now));              // StartAttempt{id = 1}
/// machine.targetSelected(1, "engine-7", now);
/// machine.sendStarted(1, now);                     // before the first byte is handed over
/// perform(machine.responseHeadReceived(1, {.status = 200}, now));
/// if (machine.isCurrent(1)) { perform(machine.eventsReceived(1, {.first = 0, .count = 3}, now)); }
/// perform(machine.endMarkerReceived(1, now));       // CompleteResponse{1}
/// ```
class RequestStateMachine
{
public:
    /// Positions of a stream that an attempt has just brought.
    struct PositionRange
    {
        uint64_t first = 0;
        uint64_t count = 0;
    };

    RequestStateMachine(RequestOptions options, RetryBudget &organisationBudget);

    /// @brief Begins; called once.
    RequestActions start(Instant now);

    /// @brief A target was chosen for an attempt and its connection is being made.
    void targetSelected(AttemptId id, std::string_view target, Instant now);

    /// @brief No target can take the attempt, because there is none or its retry budget is spent.
    /// @param retryAfter when to come back, if known
    RequestActions noTargetAvailable(AttemptId id, Instant now, Duration retryAfter = Duration(0));

    /// @brief Bytes may leave from now on.
    ///
    /// Must be called before they do; with a client that tells only afterwards, before any other
    /// event of the attempt, timerExpired() included.
    void sendStarted(AttemptId id, Instant now);

    /// @brief No connection was made, so nothing was sent.
    RequestActions connectFailed(AttemptId id, Instant now);

    /// @brief The head of an answer.
    /// @return nothing if the answer's body is to be taken
    RequestActions responseHeadReceived(AttemptId id, const ResponseSummary &head, Instant now);

    /// @brief Bytes arrived that bring no position: a buffered body, a comment in a stream.
    void bytesReceived(AttemptId id, Instant now);

    /// @brief Events of a stream arrived. Only if nothing is returned may they go to the caller.
    ///
    /// Must be reported for every event that goes to the caller, also with a count of 0, as for the
    /// chunk with the role: from then on the caller cannot be refused any more.
    RequestActions eventsReceived(AttemptId id, PositionRange range, Instant now);

    /// @brief All text of a stream is delivered, though its end marker has yet to come.
    ///
    /// If the rest cannot be had from the same target any more, the caller's stream ends properly.
    void textComplete(AttemptId id);

    /// @brief The end marker of a stream arrived.
    RequestActions endMarkerReceived(AttemptId id, Instant now);

    /// @brief The transport says that the answer is complete.
    RequestActions responseComplete(AttemptId id, Instant now);

    /// @brief The connection broke, or what came over it is not a valid answer.
    RequestActions attemptFailed(AttemptId id, Instant now);

    /// @brief The delivered part of the stream cannot be continued by another target.
    ///
    /// For a Continuation that has already been asked for, report noTargetAvailable() next.
    void forbidContinuation() { m_canContinue = false; }

    /// @brief The caller went away.
    RequestActions callerDisconnected(Instant now);

    /// @brief This VM's time to finish its streams is over.
    RequestActions drainDeadlineExpired(Instant now);

    /// @brief nextDeadline() has passed. Report readable sockets first.
    RequestActions timerExpired(Instant now);

    /// @brief When timerExpired() is to be called; empty if never.
    [[nodiscard]] std::optional<Instant> nextDeadline() const;

    /// @brief Whether data of this attempt may be read and passed on.
    [[nodiscard]] bool isCurrent(AttemptId id) const;

    [[nodiscard]] RequestPhase phase() const { return m_phase; }
    [[nodiscard]] AttemptPhase attemptPhase() const { return m_attemptPhase; }
    /// @brief Positions delivered to the caller.
    [[nodiscard]] uint64_t deliveredPositions() const { return m_deliveredPositions; }
    [[nodiscard]] uint32_t attempts() const { return m_attemptId; }
    /// @brief The target of the current attempt, empty before it is chosen.
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
    /// Target that a Resume goes to.
    std::string m_resumeTarget;
    std::vector<std::string> m_excludedTargets;
    Instant m_deadline;
    Instant m_lastProgress;
    Instant m_retryAt;
    uint64_t m_deliveredPositions = 0;
    /// Failures since the last newly delivered position.
    uint32_t m_failuresSinceProgress = 0;
    /// Attempts given up after which a target may have run the request.
    uint32_t m_possibleRunCount = 0;
    uint32_t m_backoffCount = 0;
    Duration m_retryAfter{0};
    schema::ResultCode m_lastCause = schema::NO_TARGET;
    /// Cause of the last failure after which a target may have run the request.
    schema::ResultCode m_lastPossibleRunCause = schema::TARGET_FAILED;
    /// An attempt given up may have run.
    bool m_mayHaveRun = false;
    bool m_hasDeliveredEvents = false;
    bool m_canContinue = true;
    bool m_textComplete = false;
    bool m_isSuccessStatus = false;
    /// The caller is served; the transport of the last attempt has yet to end.
    bool m_awaitsTransportEnd = false;
};

} // namespace teaseldrift
