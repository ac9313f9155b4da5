#pragma once

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/schema/vm_record.pb.h"
#include "teaseldrift/targets/target_selector.hpp"
#include "teaseldrift/telemetry/metrics.hpp"

namespace teaseldrift::relay {

/// @brief Writes what this VM knows about the speeds of targets: nothing if it has learned nothing.
void writeTargetSpeeds(const TargetSelector &selector, Instant now, schema::FleetLoad &message);

/// @brief Applies what another VM has learned. Speeds of unknown targets and of other incarnations
/// are ignored.
void applyTargetSpeeds(const schema::FleetLoad &message, Instant now, TargetSelector &selector);

/// @brief Sets gauges of the estimates: by target the time that work takes relative to the mean of
/// its service. Bounded: the 100 targets that differ most from the mean.
void setTargetSpeedGauges(const TargetSelector &selector, Instant now, telemetry::Metrics &metrics);

} // namespace teaseldrift::relay
