#include "teaseldrift/usage/usage_share.hpp"

#include <algorithm>

namespace teaseldrift {

namespace {

/// Part of the bucket that a VM starts with: VMs that all restart together must not grant a whole
/// burst again.
constexpr double initialPart = 0.25;

} // namespace

void UsageShare::setLimit(const UsageLimit &limit, double share, Instant now)
{
    refill(now);
    m_limit = limit;
    m_share = share;
    if (!m_isSet) {
        m_isSet = true;
        m_refilled = now;
        m_level = capacity() * initialPart;
    }
    m_level = std::min(m_level, capacity());
}

bool UsageShare::tryTake(double units, Instant now)
{
    if (m_limit.unitsPerSecond <= 0.0) {
        return true;
    }
    refill(now);
    // One request may be larger than a VM's share of the burst: the level then goes below zero and
    // is paid back by the rate.
    const double needed = std::min(units, capacity());
    if (m_level < needed) {
        return false;
    }
    m_level -= units;
    return true;
}

void UsageShare::giveBack(double units)
{
    m_level = std::min(m_level + units, capacity());
}

Duration UsageShare::timeUntil(double units, Instant now)
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

void UsageShare::refill(Instant now)
{
    if (now <= m_refilled) {
        return;
    }
    const double gained = toSeconds(now - m_refilled) * m_limit.unitsPerSecond * m_share;
    m_level = std::min(m_level + gained, capacity());
    m_refilled = now;
}

} // namespace teaseldrift
