#include "teaseldrift/attempts/request_state_machine.hpp"

#include <algorithm>

namespace teaseldrift {

RequestActions RequestStateMachine::timerExpired(Instant now)
{
    const std::optional<Instant> due = nextDeadline();
    if (!due || now < *due) {
        return {};
    }
    if (m_lingering) {
        m_lingering = false;
        return {CancelAttempt{.id = m_attempt}};
    }
    if (m_phase == RequestPhase::BackingOff && now >= m_retryAt) {
        return startNext(now);
    }
    if (isBoundByDeadline() && now >= m_deadline) {
        return cancelAndGiveUp(schema::DEADLINE_UNREACHABLE);
    }
    if (now - *due > m_options.timerTolerance) {
        m_lastProgress = now; // This VM was paused: its own silence says nothing of the target.
        return {};
    }
    return silent(now);
}

RequestActions RequestStateMachine::silent(Instant now)
{
    if (m_phase == RequestPhase::SelectingTarget) {
        return cancelAndGiveUp(schema::NO_TARGET);
    }
    const bool isSent = m_attemptPhase != AttemptPhase::NotSent;
    return fail(isSent ? Failure::Silent : Failure::ConnectFailed, now);
}

std::optional<Instant> RequestStateMachine::nextDeadline() const
{
    if (m_lingering) {
        return m_lastProgress + m_options.progressTimeout;
    }
    if (m_phase == RequestPhase::New || m_phase == RequestPhase::Finished) {
        return std::nullopt;
    }
    std::optional<Instant> due
            = m_phase == RequestPhase::BackingOff ? std::optional(m_retryAt) : silenceDeadline();
    if (isBoundByDeadline()) {
        due = due ? std::min(*due, m_deadline) : m_deadline;
    }
    return due;
}

std::optional<Instant> RequestStateMachine::silenceDeadline() const
{
    if (m_phase == RequestPhase::SelectingTarget) {
        return m_callerHasPart ? std::optional(m_lastProgress + m_options.firstByteTimeout)
                               : std::nullopt;
    }
    // A resumed stream needs no new computation, so its target answers at once.
    const bool isQuick
            = m_attemptPhase == AttemptPhase::ReceivingResponse || m_kind == AttemptKind::Resume;
    return m_lastProgress + (isQuick ? m_options.progressTimeout : m_options.firstByteTimeout);
}

} // namespace teaseldrift
