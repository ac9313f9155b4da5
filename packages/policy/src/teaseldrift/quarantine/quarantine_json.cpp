#include "teaseldrift/quarantine/quarantine_json.hpp"

#include "teaseldrift/base/json_input.hpp"

#include <nlohmann/json.hpp>

namespace teaseldrift {

using nlohmann::json;

std::string quarantineJson(std::span<const QuarantinedSegments> quarantined, Instant now)
{
    json list = json::array();
    for (const QuarantinedSegments &entry : quarantined) {
        json segments = json::array();
        for (const uint64_t &segment : entry.segments) {
            segments.push_back(segmentIds(std::span(&segment, 1)));
        }
        list.push_back({{"model", entry.model},
                        {"segments", segments},
                        {"crashes", entry.crashes},
                        {"targets", entry.targets},
                        {"last_crash_age_s", toSeconds(now - entry.lastCrashAt)},
                        {"trial_in_s", toSeconds(entry.trialFrom - now)}});
    }
    const json body{{"quarantined", list}};
    // Model names come from callers and need not be valid UTF-8.
    return toJsonText(body);
}

std::optional<LiftOrder> parseLiftOrder(std::string_view body)
{
    const json order = parseJson(body);
    if (!order.is_object() || !order.contains("model") || !order["model"].is_string()
        || !order.contains("segment") || !order["segment"].is_string()) {
        return std::nullopt;
    }
    const std::optional<uint64_t> segment
            = parseSegmentId(order["segment"].get_ref<const std::string &>());
    if (!segment) {
        return std::nullopt;
    }
    return LiftOrder{.model = order["model"].get<std::string>(), .segment = *segment};
}

} // namespace teaseldrift
