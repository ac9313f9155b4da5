#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "teaseldrift/quarantine/segment_quarantine.hpp"

namespace teaseldrift {

/// @brief Quarantined segments as JSON for operators: `{"quarantined": [...]}`, one object each
/// with `model`, `segments` (hexadecimal ids), `crashes`, `targets`, `last_crash_age_s` and
/// `trial_in_s`.
std::string quarantineJson(std::span<const QuarantinedSegments> quarantined, Instant now);

/// @brief An operator's order to lift a quarantine.
struct LiftOrder
{
    std::string model;
    uint64_t segment = 0;
};

/// @brief Parses `{"model": ..., "segment": "<hexadecimal id>"}`; empty if it is malformed.
std::optional<LiftOrder> parseLiftOrder(std::string_view body);

} // namespace teaseldrift
