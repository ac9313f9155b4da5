#include "target_limit_messages.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <vector>

namespace teaseldrift::relay {

namespace {

/// Greater ages have no further effect.
constexpr uint64_t maxAgeMs = 86400000;

} // namespace

schema::TargetLimit writeTargetLimit(const TargetLimit &limit, Instant now)
{
    schema::TargetLimit message;
    message.set_target_key(limit.key.target);
    message.set_started_at_ms(limit.key.startedAtMs);
    if (limit.perSecond) {
        message.set_per_second(*limit.perSecond);
    }
    message.set_age_ms(
            static_cast<uint64_t>(std::max<Duration>(now - limit.statedAt, Duration(0)) / 1ms));
    return message;
}

std::optional<TargetLimit> readTargetLimit(const schema::TargetLimit &message, Instant now)
{
    if (message.has_per_second()
        && (!std::isfinite(message.per_second()) || message.per_second() < 0.0)) {
        return std::nullopt;
    }
    TargetLimit limit{
            .key = {.target = message.target_key(), .startedAtMs = message.started_at_ms()},
            .statedAt = now - std::chrono::milliseconds(std::min(message.age_ms(), maxAgeMs))};
    if (message.has_per_second()) {
        limit.perSecond = message.per_second();
    }
    return limit;
}

schema::TargetLimits targetLimitsFor(const TargetLimits &limits,
                                     std::optional<uint64_t> otherDigest, size_t first, Instant now)
{
    schema::TargetLimits message;
    message.set_digest(limits.digest());
    if (otherDigest == message.digest()) {
        return message;
    }
    const std::vector<TargetLimit> all = limits.statements(now);
    for (size_t i = 0; i < std::min(all.size(), maxLimitsPerMessage); ++i) {
        *message.add_limits() = writeTargetLimit(all[(first + i) % all.size()], now);
    }
    return message;
}

} // namespace teaseldrift::relay
