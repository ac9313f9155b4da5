#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "workload.hpp"

namespace teaseldrift::bench {

/// @brief What goes wrong in one run, and when.
struct Scenario
{
    std::string_view name;
    Duration shiftInterval{};
    /// All routers restart at these times.
    std::vector<Duration> routerRestarts;
    /// An engine crashes at each of these times and comes back empty after a while.
    std::vector<Duration> crashes;
    Duration crashOutage = 3s;
    bool flood = false;
    Duration eventsLostFrom = Duration::max();
    Duration rolloutStart = Duration::max();
};

/// @brief The organisation that floods; one of the large ones.
constexpr uint32_t floodingOrganisation = 1;
/// @brief Requests before this time warm the caches and are not measured.
constexpr Duration warmUp = 20s;
constexpr Duration runLength = 90s;

std::vector<Scenario> allScenarios();

WorkloadOptions workloadOf(const Scenario &scenario);

} // namespace teaseldrift::bench
