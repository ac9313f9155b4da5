#include "teaseldrift/relay/target_speed_messages.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace teaseldrift::relay {

void writeTargetSpeeds(const TargetSelector &selector, Instant now, schema::FleetLoad &message)
{
    // The time in microseconds differs between messages.
    const uint64_t seed = static_cast<uint64_t>(now.time_since_epoch() / 1us);
    for (const KnownTargetSpeed &known : selector.speedsToSend(seed, now)) {
        message.add_speed_targets(known.targetKey);
        message.add_speeds(known.speed.pack());
    }
}

void applyTargetSpeeds(const schema::FleetLoad &message, Instant now, TargetSelector &selector)
{
    const int count = std::min(message.speed_targets_size(), message.speeds_size());
    for (int i = 0; i < count; ++i) {
        selector.applySpeed(message.speed_targets(i), SharedSpeed::unpack(message.speeds(i)), now);
    }
}

void setTargetSpeedGauges(const TargetSelector &selector, Instant now, telemetry::Metrics &metrics)
{
    constexpr std::ptrdiff_t maxGauges = 100;
    std::vector<KnownTargetSpeed> known = selector.speeds(now);
    metrics.setGauge({"teaseldrift_target_speeds"}, static_cast<double>(known.size()));
    const auto last
            = known.begin()
              + std::min<std::ptrdiff_t>(static_cast<std::ptrdiff_t>(known.size()), maxGauges);
    const auto difference = [](const KnownTargetSpeed &speed) {
        return std::abs(std::log(speed.speed.usualFactor));
    };
    std::partial_sort(known.begin(), last, known.end(),
                      [&](const KnownTargetSpeed &left, const KnownTargetSpeed &right) {
                          return difference(left) > difference(right);
                      });
    for (auto speed = known.begin(); speed != last; ++speed) {
        metrics.setGauge({"teaseldrift_target_time_factor", "target", speed->id},
                         speed->speed.usualFactor);
    }
}

} // namespace teaseldrift::relay
