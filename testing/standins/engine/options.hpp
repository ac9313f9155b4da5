#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace teaseldrift::standins {

/// @brief Options of the stand-in engine.
struct EngineOptions
{
    uint16_t port = 9000;
    /// Time between tokens of one response; 0 generates all tokens at once.
    uint32_t tokenMs = 5;
    /// Prefill time per uncached token.
    double prefillUsPerToken = 0;
    uint32_t slots = 16;
    uint32_t maxQueued = 10000;
    size_t cacheBlocks = 4096;
    uint32_t blockTokens = 1024;
    /// Time for which a response can be resumed after its connection closed.
    uint32_t resumeMs = 5000;
    /// The process exits when it begins to answer a prompt with this text; empty for none.
    std::string crashText;
    /// Age of the load report.
    uint32_t loadLagMs = 0;
    /// Port of the cache events; 0 for none.
    uint16_t eventsPort = 0;
    uint32_t eventsDelayMs = 0;
    /// Fraction of event batches that are lost.
    double eventsLoss = 0;
    /// Models loaded at startup, as NAME or NAME@VERSION; if empty, any model name is served.
    std::vector<std::string> models;
    /// Rejects orders with an outdated fencing token.
    bool checksFencing = false;
    uint32_t loadMs = 300;
    /// Weight loads beyond this many concurrent ones take twice as long.
    uint32_t fastLoads = 3;
    /// 0 for a random one.
    uint64_t incarnation = 0;
    /// Seed of the random choice of lost event batches.
    uint64_t seed = 1;
};

} // namespace teaseldrift::standins
