#pragma once

#include <algorithm>
#include <chrono>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift::http {

/// @brief Time-out of connection attempts that follows from how long they take.
///
/// Smoothed time and deviation as in RFC 6298. It doubles while no attempt succeeds at all: packets
/// may wait longer on this host's link than the shortest time-out.
class ConnectTimeout
{
public:
    ConnectTimeout(Duration shortest, Duration longest)
        : m_shortest(shortest), m_longest(std::max(shortest, longest))
    { }

    [[nodiscard]] Duration value() const
    {
        return std::min(std::max(m_shortest, m_smoothed + deviations * m_deviation) * m_backoff,
                        m_longest);
    }

    void succeeded(Duration elapsed)
    {
        m_backoff = 1;
        if (m_smoothed == Duration(0)) {
            m_smoothed = elapsed;
            m_deviation = elapsed / 2;
            return;
        }
        m_deviation += (std::chrono::abs(elapsed - m_smoothed) - m_deviation) / 4;
        m_smoothed += (elapsed - m_smoothed) / 8;
    }

    /// @brief An attempt has timed out. Attempts that were made at the same time count once.
    void failed(Instant startedAt, Instant now)
    {
        if (startedAt < m_doubledAt) {
            return;
        }
        m_doubledAt = now;
        if (value() < m_longest) {
            m_backoff *= 2;
        }
    }

private:
    static constexpr int deviations = 4;

    Duration m_shortest;
    Duration m_longest;
    Duration m_smoothed{0};
    Duration m_deviation{0};
    int m_backoff = 1;
    Instant m_doubledAt;
};

} // namespace teaseldrift::http
