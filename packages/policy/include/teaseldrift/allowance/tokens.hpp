#pragma once

#include <cstdint>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift::allowance {

/// @brief Millionths of a token. Integers, so that rounding in a transfer cannot create tokens.
using MicroTokens = int64_t;

/// @brief Share of an organisation's rate and burst, in units of 1 / 2^30.
using ShareUnits = uint32_t;

constexpr MicroTokens microTokensPerToken = 1'000'000;
constexpr ShareUnits wholeShare = 1U << 30U;

/// @brief Parameters of an organisation's token bucket, summed over all VMs.
struct Limits
{
    /// Tokens per second.
    MicroTokens rate = 0;
    MicroTokens burst = 0;

    friend bool operator==(const Limits &, const Limits &) = default;
};

/// @brief Converts limits in tokens, as the configuration has them. Negative values become 0.
Limits limitsFromTokens(double rateTokensPerSecond, double burstTokens);

/// @brief Capacity of a bucket with this share of the burst, rounded down.
MicroTokens capacityOf(const Limits &limits, ShareUnits share);

/// @brief Smallest share whose capacity holds the tokens; wholeShare if none does.
ShareUnits shareForTokens(const Limits &limits, MicroTokens tokens);

/// @brief Tokens that a share accrues in the given time, rounded down.
MicroTokens accruedTokens(const Limits &limits, ShareUnits share, Duration time);

/// @brief Time in which a share accrues the tokens, rounded up; Duration::max() if it never does.
Duration timeToAccrue(const Limits &limits, ShareUnits share, MicroTokens tokens);

} // namespace teaseldrift::allowance
