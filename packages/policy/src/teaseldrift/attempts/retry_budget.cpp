#include "teaseldrift/attempts/retry_budget.hpp"

#include <algorithm>

namespace teaseldrift {

RetryBudget::RetryBudget(RetryBudgetOptions options) : m_options(options), m_tokens(options.floor)
{ }

RetryBudget::RetryBudget(RetryBudgetOptions options, Instant startedAt)
    : m_options(options), m_tokens(-options.streamReserve), m_lastRefill(startedAt)
{ }

void RetryBudget::setOptions(const RetryBudgetOptions &options, Instant now)
{
    refill(now);
    // A change of the reserve moves the zero of m_tokens.
    const double kept = std::max(0.0, m_tokens + m_options.streamReserve);
    m_options = options;
    m_tokens = std::min(kept - m_options.streamReserve, m_options.capacity);
}

void RetryBudget::countRequest()
{
    m_tokens = std::min(m_options.capacity, m_tokens + m_options.ratio);
}

bool RetryBudget::canAcquire(Instant now, RetryPriority priority)
{
    refill(now);
    const double reserve = priority == RetryPriority::StartedStream ? m_options.streamReserve : 0.0;
    return m_tokens + reserve >= 1.0;
}

bool RetryBudget::tryAcquire(Instant now, RetryPriority priority)
{
    if (!canAcquire(now, priority)) {
        return false;
    }
    m_tokens -= 1.0;
    ++m_acquired;
    return true;
}

void RetryBudget::refill(Instant now)
{
    if (m_tokens < m_options.floor && now > m_lastRefill) {
        const double refilled = toSeconds(now - m_lastRefill) * m_options.floorRefillPerSecond;
        m_tokens = std::min(m_options.floor, m_tokens + refilled);
    }
    m_lastRefill = std::max(m_lastRefill, now);
}

} // namespace teaseldrift
