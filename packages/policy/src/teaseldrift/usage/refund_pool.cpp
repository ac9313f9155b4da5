#include "teaseldrift/usage/refund_pool.hpp"

#include <algorithm>

namespace teaseldrift {

void RefundPool::add(double units, Instant grantedAt, Instant now, Duration maxAge)
{
    expire(now, maxAge);
    if (units <= 0.0 || now - grantedAt > maxAge) {
        return;
    }
    const auto later = std::upper_bound(
            m_refunds.begin(), m_refunds.end(), grantedAt,
            [](Instant at, const Refund &refund) { return at < refund.grantedAt; });
    m_refunds.insert(later, {.units = units, .grantedAt = grantedAt});
    m_units += units;
}

std::optional<Instant> RefundPool::take(double units, Instant now, Duration maxAge)
{
    expire(now, maxAge);
    if (m_refunds.empty() || m_units < units) {
        return std::nullopt;
    }
    const Instant oldest = m_refunds.front().grantedAt;
    m_units -= units;
    while (!m_refunds.empty() && units >= m_refunds.front().units) {
        units -= m_refunds.front().units;
        m_refunds.pop_front();
    }
    if (m_refunds.empty()) {
        m_units = 0.0;
    } else {
        m_refunds.front().units -= units;
    }
    return oldest;
}

void RefundPool::expire(Instant now, Duration maxAge)
{
    while (!m_refunds.empty() && now - m_refunds.front().grantedAt > maxAge) {
        m_units -= m_refunds.front().units;
        m_refunds.pop_front();
    }
}

} // namespace teaseldrift
