#pragma once

#include <algorithm>
#include <cmath>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift::queueing {

/// @brief Rate at which cost is dispatched while requests wait, averaged over a window.
class DispatchRate
{
public:
    explicit DispatchRate(Duration window) : m_window(window) { }

    /// @param waiting whether requests have been waiting since the last call
    void advance(bool waiting, Instant now)
    {
        const double elapsed = std::max(0.0, toSeconds(now - m_updatedAt));
        const double kept = std::exp(-elapsed / toSeconds(m_window));
        m_cost *= kept;
        m_busySeconds = m_busySeconds * kept + (waiting ? elapsed : 0.0);
        m_updatedAt = now;
    }

    void add(double cost) { m_cost += cost; }

    /// @return cost per second, 0 while it is unknown
    double perSecond() const
    {
        return m_busySeconds < minBusySeconds ? 0.0 : m_cost / m_busySeconds;
    }

private:
    static constexpr double minBusySeconds = 0.25;

    Duration m_window;
    Instant m_updatedAt{};
    double m_cost = 0.0;
    double m_busySeconds = 0.0;
};

} // namespace teaseldrift::queueing
