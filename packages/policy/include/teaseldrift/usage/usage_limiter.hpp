#pragma once

#include <cstdint>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief An organisation's limit over all VMs.
struct UsageLimit
{
    /// Units a second; 0 for no limit.
    double unitsPerSecond = 0.0;
    double burst = 0.0;
    /// Units by which the fleet may exceed the limit for a while, because its VMs count apart.
    double slack = 0.0;

    bool operator==(const UsageLimit &) const = default;
};

/// @brief One VM's share of an organisation's limit: a token bucket.
///
/// The shares of all VMs add up to the limit, so no message between VMs is needed on the way of a
/// request. A share that grows or a VM that starts gains only by the rate, never by a jump of the
/// bucket's level.
class UsageLimiter
{
public:
    /// @brief Sets limit and share; the level is kept, but never above the new room.
    /// @param share part of the limit that this VM may use, from 0 to 1
    void setLimit(const UsageLimit &limit, double share, Instant now);

    /// @brief Takes units if they are there.
    [[nodiscard]] bool tryAcquire(double units, Instant now);

    /// @brief Returns units of a request that did not run.
    void refund(double units);

    /// @brief Time until `units` will be there.
    [[nodiscard]] Duration timeUntilAvailable(double units, Instant now);

private:
    void refill(Instant now);
    [[nodiscard]] double capacity() const { return (m_limit.burst + m_limit.slack) * m_share; }

    UsageLimit m_limit;
    double m_share = 0.0;
    double m_level = 0.0;
    Instant m_refilledAt;
    bool m_isInitialised = false;
};

} // namespace teaseldrift
