#include "teaseldrift/allowance/tokens.hpp"

#include <algorithm>
#include <cmath>

namespace teaseldrift::allowance {

namespace {

/// Products of tokens, shares and times exceed 64 bits.
__extension__ using Wide = __int128;

constexpr Wide unitsPerSecond = static_cast<Wide>(wholeShare) * std::micro::den;

} // namespace

Limits limitsFromTokens(double rateTokensPerSecond, double burstTokens)
{
    constexpr double perToken = microTokensPerToken;
    return {.rate = static_cast<MicroTokens>(std::max(rateTokensPerSecond, 0.0) * perToken),
            .burst = static_cast<MicroTokens>(std::max(burstTokens, 0.0) * perToken)};
}

MicroTokens capacityOf(const Limits &limits, ShareUnits share)
{
    return static_cast<MicroTokens>(static_cast<Wide>(limits.burst) * share / wholeShare);
}

ShareUnits shareForTokens(const Limits &limits, MicroTokens tokens)
{
    if (tokens <= 0) {
        return 0;
    }
    if (tokens >= limits.burst) {
        return wholeShare;
    }
    const Wide scaled = static_cast<Wide>(tokens) * wholeShare;
    return static_cast<ShareUnits>((scaled + limits.burst - 1) / limits.burst);
}

MicroTokens accruedTokens(const Limits &limits, ShareUnits share, Duration time)
{
    if (time <= Duration::zero()) {
        return 0;
    }
    const Wide perTime = static_cast<Wide>(limits.rate) * share;
    // Limiting the time to one day keeps the product in range; an idle share is full by then.
    constexpr int64_t longest = int64_t{1'000'000} * 86'400;
    const Wide total = perTime * std::min<int64_t>(time.count(), longest) / unitsPerSecond;
    constexpr Wide most = int64_t{1} << 62;
    return static_cast<MicroTokens>(std::min(total, most));
}

Duration timeToAccrue(const Limits &limits, ShareUnits share, MicroTokens tokens)
{
    if (tokens <= 0) {
        return Duration::zero();
    }
    const Wide perTime = static_cast<Wide>(limits.rate) * share;
    if (perTime == 0) {
        return Duration::max();
    }
    const Wide time = (static_cast<Wide>(tokens) * unitsPerSecond + perTime - 1) / perTime;
    constexpr Wide longest = int64_t{1} << 62;
    return Duration(static_cast<int64_t>(std::min(time, longest)));
}

} // namespace teaseldrift::allowance
