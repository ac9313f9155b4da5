#pragma once

#include <cstddef>

#include "teaseldrift/http/connection_limiter.hpp"
#include "teaseldrift/schema/settings.pb.h"

namespace teaseldrift::router {

/// Copies of a caller's body while its request is at a target.
inline constexpr size_t callerBodyCopies = 2;

/// @brief What a process may use.
struct ProcessResources
{
    size_t memoryBytes = 0;
    size_t descriptors = 0;
};

/// @brief Takes the settings, or what the machine and the process's limits allow where they are 0.
[[nodiscard]] ProcessResources processResources(const schema::RouterSettings &settings);

/// @brief What clients may hold: a tenth of the memory for incomplete requests, a fifth for those
/// that handlers have, and at least enough for two bodies of the largest size.
[[nodiscard]] http::ConnectionLimits connectionLimits(const schema::RouterSettings &settings,
                                                      const ProcessResources &resources);

/// @brief Largest number of callers' connections.
[[nodiscard]] size_t maxCallerConnections(const ProcessResources &resources);

} // namespace teaseldrift::router
