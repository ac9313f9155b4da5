#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace teaseldrift::standins {

/// @brief How the stand-in engine behaves.
struct EngineOptions
{
    uint16_t port = 9000;
    /// Time between tokens of one answer; 0 gives the whole answer at once.
    uint32_t tokenMs = 5;
    /// Prefill time of one token that is not cached.
    double prefillUsPerToken = 0;
    uint32_t slots = 16;
    uint32_t maxQueued = 10000;
    size_t cacheBlocks = 4096;
    uint32_t blockTokens = 1024;
    /// How long an answer whose connection closed can be resumed.
    uint32_t resumeMs = 5000;
    /// Age of the load report.
    uint32_t loadLagMs = 0;
    /// Port of the cache events; 0 for none.
    uint16_t eventsPort = 0;
    uint32_t eventsDelayMs = 0;
    /// Fraction of event batches that are lost.
    double eventsLoss = 0;
    /// Models at start as NAME or NAME@VERSION; empty serves any name.
    std::vector<std::string> models;
    /// Refuses an order with an old fencing number.
    bool checksFencing = false;
    uint32_t loadMs = 300;
    /// Loads beyond this many at once take twice as long.
    uint32_t fastLoads = 3;
    /// 0 for a random one.
    uint64_t incarnation = 0;
    /// Decides which event batches are lost.
    uint64_t seed = 1;
};

} // namespace teaseldrift::standins
