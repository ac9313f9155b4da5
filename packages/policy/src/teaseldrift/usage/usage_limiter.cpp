#include "teaseldrift/usage/usage_limiter.hpp"

#include <algorithm>

namespace teaseldrift {

void UsageLimiter::setLimit(const UsageLimit &limit, double share, Instant now)
{
    refill(now);
    m_limit = limit;
    m_share = share;
    if (!m_isInitialised) {
        m_isInitialised = true;
        m_refilledAt = now;
        m_level = capacity() * m_limit.initialFill;
    }
    m_level = std::min(m_level, capacity());
}

bool UsageLimiter::tryAcquire(double units, Instant now)
{
    if (m_limit.unitsPerSecond <= 0.0) {
        return true;
    }
    refill(now);
    // A request larger than the capacity is granted when the bucket is full. The level then becomes
    // negative, and later requests wait until it has been refilled.
    const double needed = m_limit.grantsLargerThanCapacity ? std::min(units, capacity()) : units;
    if (m_level < needed) {
        return false;
    }
    m_level -= units;
    return true;
}

std::optional<Duration> UsageLimiter::tryReserve(double units, Duration maxWait, Instant now)
{
    if (tryAcquire(units, now)) {
        return Duration(0);
    }
    const bool isNeverGranted = m_limit.unitsPerSecond * m_share <= 0.0
                                || (units > capacity() && !m_limit.grantsLargerThanCapacity);
    const Duration wait = timeUntilAvailable(units, now);
    if (isNeverGranted || wait > maxWait) {
        return std::nullopt;
    }
    m_level -= units;
    return wait;
}

double UsageLimiter::level(Instant now)
{
    refill(now);
    return m_level;
}

void UsageLimiter::setLevel(double level, Instant now)
{
    refill(now);
    m_level = std::min(level, capacity());
}

Duration UsageLimiter::timeUntilAvailable(double units, Instant now)
{
    refill(now);
    const double needed = std::min(units, capacity());
    const double rate = m_limit.unitsPerSecond * m_share;
    if (m_level >= needed || rate <= 0.0) {
        return Duration(0);
    }
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>((needed - m_level) / rate));
}

void UsageLimiter::refill(Instant now)
{
    if (now <= m_refilledAt) {
        return;
    }
    const double accrued = toSeconds(now - m_refilledAt) * m_limit.unitsPerSecond * m_share;
    m_level = std::min(m_level + accrued, capacity());
    m_refilledAt = now;
}

} // namespace teaseldrift
