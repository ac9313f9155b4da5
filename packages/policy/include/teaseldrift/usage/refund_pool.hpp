#pragma once

#include <deque>
#include <optional>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief Units of requests that did not run; they may be granted again for a limited time.
///
/// The age counts from the time at which a limiter granted the units, also if they are refunded
/// more than once. What is granted within any window then exceeds the limiter's own bound by at
/// most the rate multiplied by the maximum age.
class RefundPool
{
public:
    void add(double units, Instant grantedAt, Instant now, Duration maxAge);

    /// @brief Takes units that are not older than `maxAge`.
    /// @return the time at which the oldest of them were granted; none if there are too few
    [[nodiscard]] std::optional<Instant> take(double units, Instant now, Duration maxAge);

private:
    struct Refund
    {
        double units = 0.0;
        Instant grantedAt;
    };

    void expire(Instant now, Duration maxAge);

    /// Oldest first.
    std::deque<Refund> m_refunds;
    double m_units = 0.0;
};

} // namespace teaseldrift
