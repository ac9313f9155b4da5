#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/hashing/block_hash.hpp"

namespace teaseldrift::bench {

/// @brief Sizes of one site and of its model engines.
struct Site
{
    std::string_view name;
    uint32_t engines = 20;
    uint32_t zones = 3;
    uint32_t routers = 6;
    uint32_t slots = 16;
    uint32_t blockTokens = 1000;
    /// Blocks that an engine's cache holds.
    uint32_t cacheBlocks = 240;
    double prefillTokensPerSecond = 20000.0;
    /// Time of one output token with one request running, and its growth per running request.
    Duration decodeTimePerToken = 15ms;
    Duration decodeTimePerRunning = 600us;
    Duration crossZoneDelay = 1500us;
    Duration weightsLoadTime = 333ms;
    uint32_t concurrentLoads = 3;
    double requestsPerSecond = 66.0;
    /// Prefixes at each nested level below one of the level above; the first is per organisation.
    uint32_t topics = 12;
    uint32_t sectionsPerTopic = 20;
    /// Blocks of each level.
    uint32_t topicBlocks = 3;
    uint32_t sectionBlocks = 2;
    uint32_t documentBlocks = 1;
    /// Prompt tokens of a request's own after the shared levels, at most.
    uint32_t maxUniqueTokens = 1500;
    uint32_t meanOutputTokens = 80;
    double zipfExponent = 1.0;
};

Site kinlochAndBaird();
Site cropAcreage();

/// @brief One request of the workload.
struct ModelRequest
{
    uint64_t id = 0;
    Instant arrival{};
    uint32_t organisation = 0;
    uint32_t router = 0;
    std::vector<hashing::BlockHash> chain;
    uint32_t promptTokens = 0;
    uint32_t outputTokens = 0;
};

struct WorkloadOptions
{
    Duration length = 90s;
    uint64_t seed = 1;
    /// Time after which other prefixes become the hot ones; 0 for never.
    Duration shiftInterval{};
    /// Organisation that sends several times its rate; none if beyond the last.
    uint32_t flooding = UINT32_MAX;
    Duration floodFrom{};
    double floodFactor = 5.0;
};

/// @brief Shares of the organisations in the site's requests: a few large, the rest small.
std::vector<double> organisationShares();

std::string organisationName(uint32_t organisation);

/// @brief All requests in order of arrival, the same for every policy.
std::vector<ModelRequest> makeWorkload(const Site &site, const WorkloadOptions &options);

} // namespace teaseldrift::bench
