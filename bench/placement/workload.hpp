#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/hashing/block_hash.hpp"

namespace teaseldrift::bench {

/// @brief Size of a site, properties of its engines and shape of its requests.
struct Site
{
    std::string_view name;
    uint32_t engines = 20;
    uint32_t zones = 3;
    uint32_t routers = 6;
    uint32_t slots = 16;
    uint32_t blockTokens = 1000;
    /// Capacity of an engine's cache.
    uint32_t cacheBlocks = 240;
    double prefillTokensPerSecond = 20000.0;
    /// Time of one output token: a fixed part, and a part for each running request.
    Duration decodeTimePerToken = 15ms;
    Duration decodeTimePerRunning = 600us;
    Duration crossZoneDelay = 1500us;
    Duration weightsLoadTime = 333ms;
    uint32_t concurrentLoads = 3;
    double requestsPerSecond = 66.0;
    /// Number of topics per organisation and of sections per topic.
    uint32_t topics = 12;
    uint32_t sectionsPerTopic = 20;
    /// Prompt blocks at each level.
    uint32_t topicBlocks = 3;
    uint32_t sectionBlocks = 2;
    uint32_t documentBlocks = 1;
    /// Upper bound of the prompt tokens after the shared levels, which no other request has.
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
    /// Interval at which other prefixes become the most popular; 0 for never.
    Duration shiftInterval{};
    /// Organisation that sends floodFactor times its rate from floodFrom on; none if out of range.
    uint32_t flooding = UINT32_MAX;
    Duration floodFrom{};
    double floodFactor = 5.0;
};

/// @brief Each organisation's fraction of the site's requests: a few large, the rest small.
std::vector<double> organisationShares();

std::string organisationName(uint32_t organisation);

/// @brief Generates all requests in order of arrival; the same options give the same requests.
std::vector<ModelRequest> makeWorkload(const Site &site, const WorkloadOptions &options);

} // namespace teaseldrift::bench
