#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/message.hpp"
#include "teaseldrift/load/tally.hpp"
#include "teaseldrift/load/workload.hpp"

namespace teaseldrift::load {

/// @brief Load to generate and the VMs that receive it.
struct LoadOptions
{
    std::vector<http::Endpoint> vms;
    /// Queries GET /v1/entry for the VMs to connect to.
    bool discoverEntryVms = false;
    /// API keys, used in turn; if empty, requests carry no key.
    std::vector<std::string> keys;
    /// Mean arrival rate of the open-loop load: arrivals don't wait for earlier responses.
    double requestsPerS = 50;
    uint64_t requests = 1000;
    /// Arrivals are delayed while this many requests are in flight.
    uint32_t maxInFlight = 2000;
    WorkloadOptions workload;
    /// Compares each response with the text of the stand-in engine.
    bool verifyStandin = false;
    /// Sends non-idempotent calls to this path instead of completions.
    std::string plainPath;
    /// Maximum attempts of a request, each after one that did not run it.
    uint32_t maxAttempts = 6;
    /// Longest time without data from the VM.
    Duration ioTimeout = 60s;
    bool progress = false;

    /// @brief Options for non-idempotent calls to a plain service.
    static LoadOptions plain(std::string path);
};

/// @brief Generates the load and waits until all requests have ended.
LoadResult runLoad(const LoadOptions &options);

} // namespace teaseldrift::load
