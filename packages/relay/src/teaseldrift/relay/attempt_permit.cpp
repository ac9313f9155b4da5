#include "teaseldrift/relay/attempt_permit.hpp"

#include "teaseldrift/http/event_loop.hpp"

namespace teaseldrift::relay {

namespace {

/// Permits that are requested for one attempt.
constexpr int maxQueries = 4;

/// The load that a target reported at the head of its response counts for this long.
constexpr Duration loadMaxAge = 100ms;

} // namespace

AttemptPermit::~AttemptPermit()
{
    refund();
    end(http::EventLoop::now());
}

std::optional<TargetLimitKey> AttemptPermit::target() const
{
    return m_permit ? std::optional(m_permit->target) : std::nullopt;
}

bool AttemptPermit::mayQuery(AttemptId attempt) const
{
    return m_attempt != attempt || m_queries < maxQueries;
}

void AttemptPermit::countQuery(AttemptId attempt)
{
    if (m_attempt != attempt) {
        m_attempt = attempt;
        m_queries = 0;
    }
    ++m_queries;
}

void AttemptPermit::set(const TargetPermit &permit)
{
    refund();
    m_permit = permit;
}

void AttemptPermit::use(Instant now)
{
    end(now);
    if (m_permit && m_permit->held) {
        m_use = Use{.target = m_permit->target, .permit = *m_permit->held};
    }
    m_permit.reset();
}

void AttemptPermit::answered(bool wasRefused, const std::optional<TargetLoadReport> &load,
                             Instant now)
{
    if (!m_use) {
        return;
    }
    m_use->answeredAt = now;
    m_use->feedback.wasRefused = wasRefused;
    if (load) {
        m_use->feedback.running = load->running;
        m_use->feedback.waiting = load->waiting;
    }
}

void AttemptPermit::end(Instant now)
{
    if (!m_use) {
        return;
    }
    Use ended = *m_use;
    m_use.reset();
    if (!ended.answeredAt || now - *ended.answeredAt > loadMaxAge) {
        ended.feedback.running.reset();
    }
    m_permits.release(ended.target, ended.permit, ended.feedback);
}

void AttemptPermit::refund()
{
    if (m_permit) {
        const TargetPermit permit = *m_permit;
        m_permit.reset();
        m_permits.refund(permit);
    }
}

} // namespace teaseldrift::relay
