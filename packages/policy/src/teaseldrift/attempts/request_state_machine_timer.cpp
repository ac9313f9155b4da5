#include "teaseldrift/attempts/request_state_machine.hpp"

#include <algorithm>

namespace teaseldrift {

RequestActions RequestStateMachine::timerExpired(Instant now)
{
    const std::optional<Instant> due = nextDeadline();
    if (!due || now < *due) {
        return {};
    }
    if (m_awaitsTransportEnd) {
        m_awaitsTransportEnd = false;
        return {CancelAttempt{.id = m_attemptId}};
    }
    if (m_phase == RequestPhase::BackingOff && now >= m_retryAt) {
        return startNextAttempt(now);
    }
    if (isDeadlineActive() && now >= m_deadline) {
        return cancelAndFailRequest(schema::DEADLINE_UNREACHABLE);
    }
    if (now - *due > m_options.timerTolerance) {
        // This VM itself was paused, so the missing data says nothing about the target.
        m_lastProgress = now;
        return {};
    }
    return handleTimeout(now);
}

RequestActions RequestStateMachine::waitForTarget(AttemptId id, Instant until, Instant now)
{
    if (!isCurrent(id) || m_phase != RequestPhase::SelectingTarget) {
        return {};
    }
    const bool isInTime = !isDeadlineActive() || until < m_deadline;
    const bool mayContinue = m_attemptKind == AttemptKind::FullRequest || m_canContinue;
    if (!isInTime || !mayContinue || m_textComplete || m_waitCount >= m_options.maxWaits) {
        return targetsUnavailable(id, now, until - now);
    }
    ++m_waitCount;
    m_excludedTargets.clear();
    m_retryAt = until;
    m_phase = RequestPhase::BackingOff;
    return {};
}

RequestActions RequestStateMachine::targetsUnavailable(AttemptId id, Instant now,
                                                       Duration retryAfter)
{
    if (!isCurrent(id)) {
        return {};
    }
    m_excludedTargets.clear();
    return noTargetAvailable(id, now, retryAfter);
}

RequestActions RequestStateMachine::handleTimeout(Instant now)
{
    if (m_phase == RequestPhase::SelectingTarget) {
        return cancelAndFailRequest(schema::NO_TARGET);
    }
    const bool isSent = m_attemptPhase != AttemptPhase::NotSent;
    return handleFailure(isSent ? Failure::TimedOut : Failure::ConnectFailed, now);
}

std::optional<Instant> RequestStateMachine::nextDeadline() const
{
    if (m_awaitsTransportEnd) {
        return m_lastProgress + m_options.progressTimeout;
    }
    if (m_phase == RequestPhase::New || m_phase == RequestPhase::Finished) {
        return std::nullopt;
    }
    std::optional<Instant> due
            = m_phase == RequestPhase::BackingOff ? std::optional(m_retryAt) : progressDeadline();
    if (isDeadlineActive()) {
        due = due ? std::min(*due, m_deadline) : m_deadline;
    }
    return due;
}

std::optional<Instant> RequestStateMachine::progressDeadline() const
{
    if (m_phase == RequestPhase::SelectingTarget) {
        return m_hasDeliveredEvents ? std::optional(m_lastProgress + m_options.firstByteTimeout)
                                    : std::nullopt;
    }
    // A Resume needs no new computation before its response starts, so the progress time-out
    // applies from the beginning.
    const bool usesProgressTimeout = m_attemptPhase == AttemptPhase::ReceivingResponse
                                     || m_attemptKind == AttemptKind::Resume;
    return m_lastProgress
           + (usesProgressTimeout ? m_options.progressTimeout : m_options.firstByteTimeout);
}

} // namespace teaseldrift
