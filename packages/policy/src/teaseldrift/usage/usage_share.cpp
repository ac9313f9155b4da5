#include "teaseldrift/usage/usage_share.hpp"

#include <algorithm>

namespace teaseldrift {

namespace {

/// Part of the burst that a VM starts with: VMs that all restart together must not grant a whole
/// burst again.
constexpr double initialBurstPart = 0.25;

} // namespace

void UsageShare::setLimit(const UsageLimit &limit, double share, Instant now)
{
    if (!m_isSet) {
        m_isSet = true;
        m_refilled = now;
        m_level = limit.burst * share * initialBurstPart;
    }
    refill(now);
    m_limit = limit;
    m_share = share;
    m_level = std::min(m_level, limit.burst * share);
}

bool UsageShare::tryTake(double units, Instant now)
{
    m_demand += units;
    if (m_limit.unitsPerSecond <= 0.0) {
        return true;
    }
    refill(now);
    // One request may be larger than a VM's share of the burst: the level then goes below zero and
    // is paid back by the rate.
    const double needed = std::min(units, m_limit.burst * m_share);
    if (m_level < needed) {
        return false;
    }
    m_level -= units;
    return true;
}

void UsageShare::giveBack(double units)
{
    m_level = std::min(m_level + units, m_limit.burst * m_share);
}

Duration UsageShare::timeUntil(double units, Instant now)
{
    refill(now);
    const double needed = std::min(units, m_limit.burst * m_share);
    const double rate = m_limit.unitsPerSecond * m_share;
    if (m_level >= needed || rate <= 0.0) {
        return Duration(0);
    }
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>((needed - m_level) / rate));
}

double UsageShare::takeDemand()
{
    const double demand = m_demand;
    m_demand = 0.0;
    return demand;
}

void UsageShare::refill(Instant now)
{
    if (now <= m_refilled) {
        return;
    }
    const double gained = toSeconds(now - m_refilled) * m_limit.unitsPerSecond * m_share;
    m_level = std::min(m_level + gained, m_limit.burst * m_share);
    m_refilled = now;
}

} // namespace teaseldrift
