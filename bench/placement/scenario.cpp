#include "scenario.hpp"

namespace teaseldrift::bench {

std::vector<Scenario> allScenarios()
{
    return {
            {.name = "steady"},
            {.name = "hot-prefixes-shift", .shiftInterval = 10s},
            {.name = "herd-restart", .routerRestarts = {25s, 45s, 65s}},
            {.name = "engine-crash", .crashes = {25s, 40s, 55s, 70s}},
            {.name = "one-organisation-floods", .flood = true},
            {.name = "events-lost", .eventsLostFrom = 25s},
            {.name = "weights-roll", .rolloutStart = 30s},
    };
}

WorkloadOptions workloadOf(const Scenario &scenario)
{
    return {
            .length = runLength,
            .seed = 20261203,
            .shiftInterval = scenario.shiftInterval,
            .flooding = scenario.flood ? floodingOrganisation : UINT32_MAX,
            .floodFrom = 25s,
    };
}

} // namespace teaseldrift::bench
