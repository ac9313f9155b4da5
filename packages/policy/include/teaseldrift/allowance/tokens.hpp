#pragma once

#include <cstdint>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift::allowance {

/// @brief Tokens in millionths. Integers, so that moving tokens never makes any.
using MicroTokens = int64_t;

/// @brief Part of an organisation's rate and burst, in units of 1 / 2^30.
using ShareUnits = uint32_t;

constexpr MicroTokens microTokensPerToken = 1'000'000;
constexpr ShareUnits wholeShare = 1U << 30U;

/// @brief An organisation's token bucket over the whole fleet.
struct Limits
{
    /// Tokens per second.
    MicroTokens rate = 0;
    MicroTokens burst = 0;

    friend bool operator==(const Limits &, const Limits &) = default;
};

/// @brief Limits from whole tokens, as the configuration gives them.
Limits limitsFromTokens(double rateTokensPerSecond, double burstTokens);

/// @brief The burst that belongs to a share, rounded down.
MicroTokens capacityOf(const Limits &limits, ShareUnits share);

/// @brief The least share whose capacity holds a number of tokens; wholeShare if none does.
ShareUnits shareForTokens(const Limits &limits, MicroTokens tokens);

/// @brief Tokens that a share earns in a time, rounded down.
MicroTokens accruedTokens(const Limits &limits, ShareUnits share, Duration time);

/// @brief Time in which a share earns a number of tokens, rounded up; Duration::max() for never.
Duration timeToAccrue(const Limits &limits, ShareUnits share, MicroTokens tokens);

} // namespace teaseldrift::allowance
