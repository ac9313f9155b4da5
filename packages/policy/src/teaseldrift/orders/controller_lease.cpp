#include "teaseldrift/orders/controller_lease.hpp"

#include <algorithm>

namespace teaseldrift {

namespace {

constexpr Duration askInterval = 1s;
/// A lease is kept alive this many times within its life.
constexpr int keepsPerLease = 3;

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace

ControllerLease::ControllerLease(OrderOptions options) : m_options(options) { }

LeaseStep ControllerLease::nextStep(Instant now)
{
    if (now < m_nextAsk) {
        return LeaseStep::None;
    }
    if (m_fencing == 0) {
        m_nextAsk = now + askInterval;
        return LeaseStep::Acquire;
    }
    m_nextAsk = now + m_options.leaseTtl / keepsPerLease;
    return LeaseStep::Keep;
}

void ControllerLease::acquired(Instant askedAt, uint64_t fencing, Instant now)
{
    m_fencing = fencing;
    m_acquiredAt = now;
    m_heldUntil = askedAt + scaled(m_options.leaseTtl, 1.0 - m_options.clockDrift);
    m_nextAsk = askedAt + m_options.leaseTtl / keepsPerLease;
}

void ControllerLease::kept(Instant askedAt)
{
    const Instant until = askedAt + scaled(m_options.leaseTtl, 1.0 - m_options.clockDrift);
    m_heldUntil = std::max(m_heldUntil, until);
}

void ControllerLease::lost(Instant now)
{
    m_fencing = 0;
    m_heldUntil = now;
    m_nextAsk = now + askInterval;
}

void ControllerLease::unanswered(Instant now, Duration pause)
{
    m_nextAsk = now + pause;
}

bool ControllerLease::isHeld(Instant now) const
{
    return m_fencing != 0 && now < m_heldUntil;
}

bool ControllerLease::mayOrder(Instant now) const
{
    const Duration wait = scaled(m_options.maxOrderLife, 1.0 + m_options.clockDrift);
    return isHeld(now) && now >= m_acquiredAt + wait;
}

} // namespace teaseldrift
