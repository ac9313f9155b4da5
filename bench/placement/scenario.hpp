#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "workload.hpp"

namespace teaseldrift::bench {

/// @brief Faults and load changes of one run, and their times.
struct Scenario
{
    std::string_view name;
    Duration shiftInterval{};
    /// All routers restart at these times.
    std::vector<Duration> routerRestarts;
    /// One engine crashes at each of these times and restarts with an empty cache after
    /// crashOutage.
    std::vector<Duration> crashes;
    Duration crashOutage = 3s;
    bool flood = false;
    Duration eventsLostFrom = Duration::max();
    Duration rolloutStart = Duration::max();
};

/// @brief Organisation that exceeds its rate in the flood scenario; one of the large ones.
constexpr uint32_t floodingOrganisation = 1;
/// @brief Requests that arrive before this time warm up the caches and are not measured.
constexpr Duration warmUp = 20s;
constexpr Duration runLength = 90s;

std::vector<Scenario> allScenarios();

WorkloadOptions workloadOf(const Scenario &scenario);

} // namespace teaseldrift::bench
