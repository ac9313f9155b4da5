#include "teaseldrift/attempts/request_state_machine.hpp"

#include <algorithm>
#include <utility>

namespace teaseldrift {

namespace {

constexpr int firstSuccess = 200;
constexpr int lastSuccess = 299;
constexpr Duration defaultRetryAfter = 1s;

void append(RequestActions &actions, RequestActions more)
{
    std::move(more.begin(), more.end(), std::back_inserter(actions));
}

} // namespace

RequestStateMachine::RequestStateMachine(RequestOptions options, RetryBudget &organisationBudget)
    : m_options(options), m_organisationBudget(organisationBudget)
{ }

RequestActions RequestStateMachine::start(Instant arrivedAt, Instant now)
{
    m_deadline = arrivedAt + m_options.deadline;
    m_organisationBudget.countRequest();
    return startNextAttempt(now);
}

void RequestStateMachine::targetSelected(AttemptId id, std::string_view target, Instant now)
{
    if (!isCurrent(id) || m_phase != RequestPhase::SelectingTarget) {
        return;
    }
    m_phase = RequestPhase::Attempting;
    m_target = target;
    m_lastProgress = now;
}

void RequestStateMachine::sendStarted(AttemptId id, Instant now)
{
    if (isCurrent(id) && m_attemptPhase == AttemptPhase::NotSent) {
        m_attemptPhase = AttemptPhase::PossiblySent;
        m_lastProgress = now;
    }
}

void RequestStateMachine::nothingSent(AttemptId id)
{
    if (isCurrent(id) && m_attemptPhase == AttemptPhase::PossiblySent) {
        m_attemptPhase = AttemptPhase::NotSent;
    }
}

RequestActions RequestStateMachine::connectFailed(AttemptId id, Instant now)
{
    if (!isCurrent(id)) {
        return {};
    }
    const bool isNotSent = m_attemptPhase == AttemptPhase::NotSent;
    return handleFailure(isNotSent ? Failure::ConnectFailed : Failure::Broken, now);
}

RequestActions RequestStateMachine::responseHeadReceived(AttemptId id, const ResponseSummary &head,
                                                         Instant now)
{
    if (!isCurrent(id)) {
        return {CancelAttempt{.id = id}};
    }
    m_attemptPhase = AttemptPhase::ReceivingResponse;
    m_lastProgress = now;
    m_isSuccessStatus = head.status >= firstSuccess && head.status <= lastSuccess;
    const ResponseClass responseClass = classifyResponse(head, m_options.routeClass);
    if (responseClass == ResponseClass::NotRun) {
        m_retryAfter = std::max(m_retryAfter, head.retryAfter);
        return handleFailure(Failure::Refused, now);
    }
    if (m_hasDeliveredEvents && !m_isSuccessStatus) {
        return handleFailure(Failure::Broken, now);
    }
    // If no retry is possible, the target's own error response tells the caller more than a
    // refusal would.
    const bool mayRunAgain = m_options.maxRuns == 0 || m_possibleRunCount + 1 < m_options.maxRuns;
    const bool canRetry = m_failuresSinceProgress + 1 < m_options.maxAttempts && mayRunAgain
                          && now < m_deadline;
    if (responseClass != ResponseClass::Failed || !canRetry) {
        return {};
    }
    m_isRetryRefused = !m_organisationBudget.canAcquire(now, RetryPriority::Normal);
    return m_isRetryRefused ? RequestActions() : handleFailure(Failure::Broken, now);
}

void RequestStateMachine::bytesReceived(AttemptId id, Instant now)
{
    if (isCurrent(id)) {
        m_lastProgress = now;
    }
}

RequestActions RequestStateMachine::eventsReceived(AttemptId id, PositionRange range, Instant now)
{
    if (!isCurrent(id) || m_attemptPhase != AttemptPhase::ReceivingResponse) {
        return {CancelAttempt{.id = id}};
    }
    if (range.count > 0 && range.first != m_deliveredPositions) {
        return handleFailure(Failure::Broken, now);
    }
    m_lastProgress = now;
    m_hasDeliveredEvents = true;
    if (range.count > 0) {
        m_deliveredPositions += range.count;
        m_failuresSinceProgress = 0;
        m_backoffCount = 0;
    }
    return {};
}

void RequestStateMachine::textComplete(AttemptId id)
{
    m_textComplete = m_textComplete || isCurrent(id);
}

RequestActions RequestStateMachine::endMarkerReceived(AttemptId id, Instant now)
{
    if (!isCurrent(id) || m_attemptPhase != AttemptPhase::ReceivingResponse || !isStreamed()) {
        return {};
    }
    m_lastProgress = now;
    m_awaitsTransportEnd = true;
    return completeRequest();
}

RequestActions RequestStateMachine::responseComplete(AttemptId id, Instant now)
{
    if (m_awaitsTransportEnd && id == m_attemptId) {
        m_awaitsTransportEnd = false;
        return {};
    }
    if (!isCurrent(id)) {
        return {};
    }
    if (m_attemptPhase != AttemptPhase::ReceivingResponse || isStreamed()) {
        return handleFailure(Failure::Broken, now);
    }
    return completeRequest();
}

RequestActions RequestStateMachine::attemptFailed(AttemptId id, Instant now)
{
    if (m_awaitsTransportEnd && id == m_attemptId) {
        m_awaitsTransportEnd = false;
        return {};
    }
    if (!isCurrent(id)) {
        return {};
    }
    return handleFailure(Failure::Broken, now);
}

RequestActions RequestStateMachine::callerDisconnected(Instant /*now*/)
{
    if (m_phase == RequestPhase::Finished) {
        return {};
    }
    // A non-idempotent request is not aborted, so that its outcome becomes known.
    if (m_options.routeClass == schema::NON_IDEMPOTENT && m_attemptPhase != AttemptPhase::NotSent) {
        return {};
    }
    const bool isAttemptActive
            = m_phase == RequestPhase::SelectingTarget || m_phase == RequestPhase::Attempting;
    m_phase = RequestPhase::Finished;
    if (!isAttemptActive) {
        return {};
    }
    return {CancelAttempt{.id = m_attemptId}};
}

RequestActions RequestStateMachine::drainDeadlineExpired(Instant /*now*/)
{
    if (m_phase == RequestPhase::Finished) {
        return {};
    }
    return cancelAndFailRequest(schema::SHUTTING_DOWN);
}

RequestActions RequestStateMachine::noTargetAvailable(AttemptId id, Instant now,
                                                      Duration retryAfter)
{
    if (!isCurrent(id) || m_phase != RequestPhase::SelectingTarget) {
        return {};
    }
    m_retryAfter = std::max(m_retryAfter, retryAfter);
    if (m_attemptKind == AttemptKind::Resume && m_canContinue && !m_textComplete) {
        m_attemptKind = AttemptKind::Continuation;
        m_retryReason = schema::RETRY_STREAM_CONTINUED;
        return startNextAttempt(now);
    }
    if (m_attemptKind == AttemptKind::Continuation && !m_canContinue) {
        return failRequest(m_lastCause);
    }
    return backoffOrFail(now);
}

RequestActions RequestStateMachine::backoffOrFail(Instant now)
{
    if (m_textComplete) {
        return completeRequest();
    }
    const Instant retryAt = now + m_options.retryDelay * (1U << m_backoffCount);
    const bool isInTime = !isDeadlineActive() || retryAt < m_deadline;
    if (m_excludedTargets.empty() || m_backoffCount + 1 >= m_options.maxAttempts || !isInTime) {
        return failRequest(m_lastCause);
    }
    ++m_backoffCount;
    m_excludedTargets.clear();
    m_retryAt = retryAt;
    m_phase = RequestPhase::BackingOff;
    return {};
}

bool RequestStateMachine::isCurrent(AttemptId id) const
{
    return id == m_attemptId
           && (m_phase == RequestPhase::SelectingTarget || m_phase == RequestPhase::Attempting);
}

bool RequestStateMachine::isStreamed() const
{
    return m_options.responseMode == ResponseMode::Streamed && m_isSuccessStatus;
}

RequestActions RequestStateMachine::handleFailure(Failure failure, Instant now)
{
    RequestActions actions{CancelAttempt{.id = m_attemptId}};
    recordFailure(failure);
    selectNextAttemptKind(failure);
    const bool isFullyDelivered = m_textComplete && m_attemptKind != AttemptKind::Resume;
    if (isFullyDelivered || !mayRetry(now)) {
        append(actions, failRequest(m_lastCause));
    } else if (!acquireRetry(now)) {
        m_isRetryRefused = true;
        append(actions, failRequest(schema::RETRY_BUDGET_SPENT));
    } else {
        append(actions, startNextAttempt(now));
    }
    return actions;
}

void RequestStateMachine::recordFailure(Failure failure)
{
    ++m_failuresSinceProgress;
    switch (failure) {
    case Failure::ConnectFailed:
        m_lastCause = schema::CONNECT_FAILED;
        m_retryReason = schema::RETRY_CONNECT_FAILED;
        return;
    case Failure::Refused:
        m_lastCause = schema::TARGET_REFUSED;
        m_retryReason = schema::RETRY_TARGET_REFUSED;
        m_attemptPhase = AttemptPhase::NotSent;
        return;
    case Failure::Broken:
        m_lastCause = schema::TARGET_FAILED;
        m_retryReason = schema::RETRY_TARGET_FAILED;
        break;
    case Failure::TimedOut:
        m_lastCause = schema::TARGET_SILENT;
        m_retryReason = schema::RETRY_TARGET_SILENT;
        break;
    }
    m_lastPossibleRunCause = m_lastCause;
    m_mayHaveRun = true;
    ++m_possibleRunCount;
}

void RequestStateMachine::selectNextAttemptKind(Failure failure)
{
    const bool isInterrupted = failure == Failure::Broken || failure == Failure::TimedOut;
    const bool canResume = m_options.targetsResume && m_deliveredPositions > 0 && isInterrupted
                           && m_failuresSinceProgress == 1
                           && m_attemptPhase == AttemptPhase::ReceivingResponse;
    if (canResume) {
        m_attemptKind = AttemptKind::Resume;
        m_resumeTarget = m_target;
        m_retryReason = schema::RETRY_STREAM_RESUMED;
        return;
    }
    if (!m_target.empty()) {
        m_excludedTargets.push_back(m_target);
    }
    m_attemptKind = m_deliveredPositions > 0 ? AttemptKind::Continuation : AttemptKind::FullRequest;
    if (m_deliveredPositions > 0) {
        m_retryReason = schema::RETRY_STREAM_CONTINUED;
    }
}

bool RequestStateMachine::mayRetry(Instant now) const
{
    if (m_options.routeClass == schema::NON_IDEMPOTENT && m_mayHaveRun) {
        return false;
    }
    if (m_attemptKind == AttemptKind::Continuation && !m_canContinue) {
        return false;
    }
    if (m_options.maxRuns > 0 && m_possibleRunCount >= m_options.maxRuns) {
        return false;
    }
    return m_failuresSinceProgress < m_options.maxAttempts
           && (!isDeadlineActive() || now < m_deadline);
}

bool RequestStateMachine::acquireRetry(Instant now)
{
    return m_organisationBudget.tryAcquire(now, m_hasDeliveredEvents ? RetryPriority::StartedStream
                                                                     : RetryPriority::Normal);
}

RequestActions RequestStateMachine::startNextAttempt(Instant now)
{
    ++m_attemptId;
    m_phase = RequestPhase::SelectingTarget;
    m_attemptPhase = AttemptPhase::NotSent;
    m_isSuccessStatus = false;
    m_target.clear();
    m_lastProgress = now;
    return {makeStartAttempt()};
}

StartAttempt RequestStateMachine::makeStartAttempt() const
{
    const bool mayBeStale
            = m_retryReason != schema::RETRY_NONE && m_retryReason != schema::RETRY_TARGET_REFUSED;
    return {
            .id = m_attemptId,
            .kind = m_attemptKind,
            .useFreshConnection = mayBeStale || m_options.routeClass == schema::NON_IDEMPOTENT,
            .target = m_attemptKind == AttemptKind::Resume ? m_resumeTarget : std::string(),
            .excludedTargets = m_excludedTargets,
            .position = m_deliveredPositions,
            .reason = m_retryReason,
    };
}

schema::Ran RequestStateMachine::ranState() const
{
    const bool isUnknown = m_mayHaveRun || m_attemptPhase != AttemptPhase::NotSent;
    return isUnknown ? schema::RAN_UNKNOWN : schema::RAN_NO;
}

RequestActions RequestStateMachine::failRequest(schema::ResultCode codeIfNotRun)
{
    if (m_textComplete) {
        return completeRequest();
    }
    m_phase = RequestPhase::Finished;
    if (m_hasDeliveredEvents) {
        return {EndStreamWithError{.code = schema::STREAM_CUT}};
    }
    if (ranState() == schema::RAN_NO) {
        const Duration retryAfter = std::max(m_retryAfter, defaultRetryAfter);
        return {RefuseRequest{
                .code = codeIfNotRun, .ran = schema::RAN_NO, .retryAfter = retryAfter}};
    }
    const schema::ResultCode code = m_options.routeClass == schema::NON_IDEMPOTENT
                                            ? schema::OUTCOME_UNKNOWN
                                    : m_mayHaveRun ? m_lastPossibleRunCause
                                                   : schema::TARGET_SILENT;
    return {RefuseRequest{.code = code, .ran = schema::RAN_UNKNOWN}};
}

RequestActions RequestStateMachine::cancelAndFailRequest(schema::ResultCode codeIfNotRun)
{
    RequestActions actions{CancelAttempt{.id = m_attemptId}};
    append(actions, failRequest(codeIfNotRun));
    return actions;
}

RequestActions RequestStateMachine::completeRequest()
{
    m_phase = RequestPhase::Finished;
    m_attemptPhase = AttemptPhase::ResponseComplete;
    return {CompleteResponse{.id = m_attemptId}};
}

} // namespace teaseldrift
