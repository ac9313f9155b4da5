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
    : m_options(options), m_budget(organisationBudget)
{ }

RequestActions RequestStateMachine::start(Instant now)
{
    m_deadline = now + m_options.deadline;
    m_budget.countRequest();
    return startNext(now);
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

RequestActions RequestStateMachine::connectFailed(AttemptId id, Instant now)
{
    if (!isCurrent(id)) {
        return {};
    }
    const bool isCertain = m_attemptPhase == AttemptPhase::NotSent;
    return fail(isCertain ? Failure::ConnectFailed : Failure::Broken, now);
}

RequestActions RequestStateMachine::responseHeadReceived(AttemptId id, const ResponseSummary &head,
                                                         Instant now)
{
    if (!isCurrent(id)) {
        return {CancelAttempt{.id = id}};
    }
    m_attemptPhase = AttemptPhase::ReceivingResponse;
    m_lastProgress = now;
    m_headIsSuccess = head.status >= firstSuccess && head.status <= lastSuccess;
    const ResponseClass meaning = classifyResponse(head, m_options.routeClass);
    if (meaning == ResponseClass::NotRun) {
        m_retryAfter = std::max(m_retryAfter, head.retryAfter);
        return fail(Failure::Refused, now);
    }
    if (m_callerHasPart && !m_headIsSuccess) {
        return fail(Failure::Broken, now);
    }
    // Without another attempt the caller is better served by the target's own words.
    const bool mayRunAgain = m_options.maxRuns == 0 || m_runs + 1 < m_options.maxRuns;
    const bool canRetry = m_failures + 1 < m_options.maxAttempts && mayRunAgain && now < m_deadline
                          && m_budget.available() >= 1.0;
    if (meaning == ResponseClass::Failed && canRetry) {
        return fail(Failure::Broken, now);
    }
    return {};
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
    if (range.count > 0 && range.first != m_delivered) {
        return fail(Failure::Broken, now);
    }
    m_lastProgress = now;
    m_callerHasPart = true;
    if (range.count > 0) {
        m_delivered += range.count;
        m_failures = 0;
        m_waits = 0;
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
    m_lingering = true;
    return finish();
}

RequestActions RequestStateMachine::responseComplete(AttemptId id, Instant now)
{
    if (m_lingering && id == m_attempt) {
        m_lingering = false;
        return {};
    }
    if (!isCurrent(id)) {
        return {};
    }
    if (m_attemptPhase != AttemptPhase::ReceivingResponse || isStreamed()) {
        return fail(Failure::Broken, now);
    }
    return finish();
}

RequestActions RequestStateMachine::attemptFailed(AttemptId id, Instant now)
{
    if (m_lingering && id == m_attempt) {
        m_lingering = false;
        return {};
    }
    if (!isCurrent(id)) {
        return {};
    }
    return fail(Failure::Broken, now);
}

RequestActions RequestStateMachine::callerDisconnected(Instant /*now*/)
{
    if (m_phase == RequestPhase::Finished) {
        return {};
    }
    // A call that may not be repeated goes on, so that its outcome becomes known.
    if (m_options.routeClass == schema::NON_IDEMPOTENT && m_attemptPhase != AttemptPhase::NotSent) {
        return {};
    }
    const bool isUnderWay
            = m_phase == RequestPhase::SelectingTarget || m_phase == RequestPhase::Attempting;
    m_phase = RequestPhase::Finished;
    if (!isUnderWay) {
        return {};
    }
    return {CancelAttempt{.id = m_attempt}};
}

RequestActions RequestStateMachine::drainDeadlineExpired(Instant /*now*/)
{
    if (m_phase == RequestPhase::Finished) {
        return {};
    }
    return cancelAndGiveUp(schema::SHUTTING_DOWN);
}

RequestActions RequestStateMachine::noTargetAvailable(AttemptId id, Instant now,
                                                      Duration retryAfter)
{
    if (!isCurrent(id) || m_phase != RequestPhase::SelectingTarget) {
        return {};
    }
    m_retryAfter = std::max(m_retryAfter, retryAfter);
    if (m_kind == AttemptKind::Resume && m_canContinue && !m_textComplete) {
        m_kind = AttemptKind::Continuation;
        m_reason = schema::RETRY_STREAM_CONTINUED;
        return startNext(now);
    }
    if (m_kind == AttemptKind::Continuation && !m_canContinue) {
        return giveUp(m_lastCause);
    }
    return waitOrGiveUp(now);
}

RequestActions RequestStateMachine::waitOrGiveUp(Instant now)
{
    if (m_textComplete) {
        return finish();
    }
    const Instant retryAt = now + m_options.retryDelay * (1U << m_waits);
    const bool isInTime = !isBoundByDeadline() || retryAt < m_deadline;
    if (m_excluded.empty() || m_waits + 1 >= m_options.maxAttempts || !isInTime) {
        return giveUp(m_lastCause);
    }
    ++m_waits;
    m_excluded.clear();
    m_retryAt = retryAt;
    m_phase = RequestPhase::BackingOff;
    return {};
}

bool RequestStateMachine::isCurrent(AttemptId id) const
{
    return id == m_attempt
           && (m_phase == RequestPhase::SelectingTarget || m_phase == RequestPhase::Attempting);
}

bool RequestStateMachine::isStreamed() const
{
    return m_options.responseMode == ResponseMode::Streamed && m_headIsSuccess;
}

RequestActions RequestStateMachine::fail(Failure failure, Instant now)
{
    RequestActions actions{CancelAttempt{.id = m_attempt}};
    note(failure);
    chooseNext(failure);
    const bool isNothingLeft = m_textComplete && m_kind != AttemptKind::Resume;
    if (isNothingLeft || !mayRetry(now)) {
        append(actions, giveUp(m_lastCause));
    } else if (!takeRetry(now)) {
        append(actions, giveUp(schema::RETRY_BUDGET_SPENT));
    } else {
        append(actions, startNext(now));
    }
    return actions;
}

void RequestStateMachine::note(Failure failure)
{
    ++m_failures;
    switch (failure) {
    case Failure::ConnectFailed:
        m_lastCause = schema::CONNECT_FAILED;
        m_reason = schema::RETRY_CONNECT_FAILED;
        return;
    case Failure::Refused:
        m_lastCause = schema::TARGET_REFUSED;
        m_reason = schema::RETRY_TARGET_REFUSED;
        m_attemptPhase = AttemptPhase::NotSent;
        return;
    case Failure::Broken:
        m_lastCause = schema::TARGET_FAILED;
        m_reason = schema::RETRY_TARGET_FAILED;
        break;
    case Failure::Silent:
        m_lastCause = schema::TARGET_SILENT;
        m_reason = schema::RETRY_TARGET_SILENT;
        break;
    }
    m_lastRunCause = m_lastCause;
    m_mayHaveRun = true;
    ++m_runs;
}

void RequestStateMachine::chooseNext(Failure failure)
{
    const bool isBrokenOff = failure == Failure::Broken || failure == Failure::Silent;
    const bool canResume = m_options.targetsResume && m_delivered > 0 && isBrokenOff
                           && m_failures == 1 && m_attemptPhase == AttemptPhase::ReceivingResponse;
    if (canResume) {
        m_kind = AttemptKind::Resume;
        m_resumeTarget = m_target;
        m_reason = schema::RETRY_STREAM_RESUMED;
        return;
    }
    if (!m_target.empty()) {
        m_excluded.push_back(m_target);
    }
    m_kind = m_delivered > 0 ? AttemptKind::Continuation : AttemptKind::FullRequest;
    if (m_delivered > 0) {
        m_reason = schema::RETRY_STREAM_CONTINUED;
    }
}

bool RequestStateMachine::mayRetry(Instant now) const
{
    if (m_options.routeClass == schema::NON_IDEMPOTENT && m_mayHaveRun) {
        return false;
    }
    if (m_kind == AttemptKind::Continuation && !m_canContinue) {
        return false;
    }
    if (m_options.maxRuns > 0 && m_runs >= m_options.maxRuns) {
        return false;
    }
    return m_failures < m_options.maxAttempts && (!isBoundByDeadline() || now < m_deadline);
}

bool RequestStateMachine::takeRetry(Instant now)
{
    return m_budget.tryTake(now,
                            m_callerHasPart ? RetryUrgency::StartedStream : RetryUrgency::Normal);
}

RequestActions RequestStateMachine::startNext(Instant now)
{
    ++m_attempt;
    m_phase = RequestPhase::SelectingTarget;
    m_attemptPhase = AttemptPhase::NotSent;
    m_headIsSuccess = false;
    m_target.clear();
    m_lastProgress = now;
    return {startAction()};
}

StartAttempt RequestStateMachine::startAction() const
{
    const bool mayBeStale
            = m_reason != schema::RETRY_NONE && m_reason != schema::RETRY_TARGET_REFUSED;
    return {
            .id = m_attempt,
            .kind = m_kind,
            .useFreshConnection = mayBeStale || m_options.routeClass == schema::NON_IDEMPOTENT,
            .target = m_kind == AttemptKind::Resume ? m_resumeTarget : std::string(),
            .excludedTargets = m_excluded,
            .position = m_delivered,
            .reason = m_reason,
    };
}

schema::Ran RequestStateMachine::ran() const
{
    const bool isUnknown = m_mayHaveRun || m_attemptPhase != AttemptPhase::NotSent;
    return isUnknown ? schema::RAN_UNKNOWN : schema::RAN_NO;
}

RequestActions RequestStateMachine::giveUp(schema::ResultCode whenNotRun)
{
    if (m_textComplete) {
        return finish();
    }
    m_phase = RequestPhase::Finished;
    if (m_callerHasPart) {
        return {EndStreamWithError{.code = schema::STREAM_CUT}};
    }
    if (ran() == schema::RAN_NO) {
        const Duration retryAfter = std::max(m_retryAfter, defaultRetryAfter);
        return {RefuseRequest{.code = whenNotRun, .ran = schema::RAN_NO, .retryAfter = retryAfter}};
    }
    const schema::ResultCode code = m_options.routeClass == schema::NON_IDEMPOTENT
                                            ? schema::OUTCOME_UNKNOWN
                                    : m_mayHaveRun ? m_lastRunCause
                                                   : schema::TARGET_SILENT;
    return {RefuseRequest{.code = code, .ran = schema::RAN_UNKNOWN}};
}

RequestActions RequestStateMachine::cancelAndGiveUp(schema::ResultCode whenNotRun)
{
    RequestActions actions{CancelAttempt{.id = m_attempt}};
    append(actions, giveUp(whenNotRun));
    return actions;
}

RequestActions RequestStateMachine::finish()
{
    m_phase = RequestPhase::Finished;
    m_attemptPhase = AttemptPhase::ResponseComplete;
    return {CompleteResponse{.id = m_attempt}};
}

} // namespace teaseldrift
