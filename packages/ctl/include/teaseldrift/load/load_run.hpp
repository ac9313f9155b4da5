#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/message.hpp"
#include "teaseldrift/load/tally.hpp"
#include "teaseldrift/load/workload.hpp"

namespace teaseldrift::load {

/// @brief What a load run sends and to whom.
struct LoadOptions
{
    std::vector<http::Endpoint> vms;
    /// Asks GET /v1/entry which VMs to use.
    bool discoverEntryVms = false;
    /// Keys of the organisations that take turns; empty sends none.
    std::vector<std::string> keys;
    /// Mean of the arrivals, which don't wait for answers.
    double requestsPerS = 50;
    uint64_t requests = 1000;
    /// Arrivals wait while this many requests are open.
    uint32_t maxInFlight = 2000;
    WorkloadOptions workload;
    /// Compares each text with that of the stand-in engine.
    bool verifyStandin = false;
    /// Sends non-idempotent calls to this path instead of completions.
    std::string plainPath;
    /// Tries of a request while each says "not run".
    uint32_t maxAttempts = 6;
    /// Longest silence within an answer.
    Duration ioTimeout = 60s;
    bool progress = false;

    /// @brief Non-idempotent calls to a plain service.
    static LoadOptions plain(std::string path);
};

/// @brief Sends the load and waits for all answers.
LoadResult runLoad(const LoadOptions &options);

} // namespace teaseldrift::load
