#include "teaseldrift/orders/controller_lease.hpp"

#include <algorithm>

namespace teaseldrift {

namespace {

constexpr Duration acquireInterval = 1s;
/// Renewals within the lease's time to live.
constexpr int renewalsPerLease = 3;

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace

uint64_t fencingToken(uint64_t epoch, uint64_t revision)
{
    // Targets may read the token as a double, which holds integers of 53 bits.
    constexpr uint64_t revisionBits = 36;
    constexpr uint64_t maxEpoch = (uint64_t{1} << 17U) - 1;
    constexpr uint64_t maxRevision = (uint64_t{1} << revisionBits) - 1;
    return (std::min(epoch, maxEpoch) << revisionBits) + std::min(revision, maxRevision);
}

ControllerLease::ControllerLease(OrderOptions options) : m_options(options) { }

LeaseAction ControllerLease::nextAction(Instant now)
{
    if (now < m_nextCallAt) {
        return LeaseAction::None;
    }
    if (m_fencing == 0) {
        m_nextCallAt = now + acquireInterval;
        return LeaseAction::Acquire;
    }
    m_nextCallAt = now + m_options.leaseTtl / renewalsPerLease;
    return LeaseAction::Renew;
}

void ControllerLease::acquired(Instant requestedAt, uint64_t fencing, Instant now)
{
    m_fencing = fencing;
    m_acquiredAt = now;
    m_heldUntil = requestedAt + scaled(m_options.leaseTtl, 1.0 - m_options.clockDrift);
    m_nextCallAt = requestedAt + m_options.leaseTtl / renewalsPerLease;
}

void ControllerLease::renewed(Instant requestedAt)
{
    const Instant until = requestedAt + scaled(m_options.leaseTtl, 1.0 - m_options.clockDrift);
    m_heldUntil = std::max(m_heldUntil, until);
}

void ControllerLease::lost(Instant now)
{
    m_fencing = 0;
    m_heldUntil = now;
    m_nextCallAt = now + acquireInterval;
}

void ControllerLease::storeRestored(Instant now)
{
    m_formerLeasesEndAt = now + scaled(m_options.leaseTtl, 1.0 + m_options.clockDrift);
    lost(now);
}

void ControllerLease::retryLater(Instant now, Duration pause)
{
    m_nextCallAt = now + pause;
}

bool ControllerLease::isHeld(Instant now) const
{
    return m_fencing != 0 && now < m_heldUntil;
}

bool ControllerLease::mayIssueOrders(Instant now) const
{
    const Duration wait = scaled(m_options.maxOrderLifetime, 1.0 + m_options.clockDrift);
    return isHeld(now) && now >= m_acquiredAt + wait && now >= m_formerLeasesEndAt;
}

} // namespace teaseldrift
