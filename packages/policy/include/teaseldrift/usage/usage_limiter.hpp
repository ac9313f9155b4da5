#pragma once

#include <cstdint>
#include <optional>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief Usage limit of an organisation, for all VMs together.
struct UsageLimit
{
    /// 0 for no limit.
    double unitsPerSecond = 0.0;
    double burst = 0.0;
    /// Additional burst in units, because the VMs count usage independently of each other.
    double slack = 0.0;
    /// Fraction of the capacity in the bucket at the start. If all VMs restart together, they must
    /// not grant a whole burst again.
    double initialFill = 0.25;
    /// Whether a full bucket grants a request that is larger than its capacity.
    bool grantsLargerThanCapacity = true;

    bool operator==(const UsageLimit &) const = default;
};

/// @brief Token bucket that enforces one VM's share of an organisation's usage limit.
///
/// The shares of all VMs add up to the limit, so a request is checked without messages between VMs.
/// A larger share does not raise the bucket's level at once; the level grows only at the refill
/// rate.
class UsageLimiter
{
public:
    /// @brief Sets limit and share. The level is kept, limited to the new capacity.
    /// @param share fraction of the limit that this VM may use, from 0 to 1
    void setLimit(const UsageLimit &limit, double share, Instant now);

    /// @brief Removes units if the level suffices.
    ///
    /// A request larger than the capacity is admitted when the bucket is full, unless the limit
    /// excludes it.
    /// @return whether the units were removed or there is no limit
    [[nodiscard]] bool tryAcquire(double units, Instant now);

    /// @brief Removes units that will be there within `maxWait`; the level may become negative.
    /// @return time until they are there; empty, and nothing removed, if that is longer
    [[nodiscard]] std::optional<Duration> tryReserve(double units, Duration maxWait, Instant now);

    /// @brief Units in the bucket; negative after a request larger than the capacity.
    [[nodiscard]] double level(Instant now);

    /// @brief Sets the units in the bucket, limited to its capacity.
    void setLevel(double level, Instant now);

    /// @brief Time until `units` can be acquired; 0 if the share has no refill rate.
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
