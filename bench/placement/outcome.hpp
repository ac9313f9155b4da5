#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "scenario.hpp"
#include "workload.hpp"

namespace teaseldrift::bench {

/// @brief Longest time to first token with which a request counts as served.
constexpr Duration firstTokenDeadline = 10s;

/// @brief Records what happened to each request of a run and computes the metrics.
class Outcome
{
public:
    Outcome(const Site &site, const Scenario &scenario, std::span<const ModelRequest> requests);

    void onPrefillStarted(const ModelRequest &request, uint32_t cachedBlocks,
                          uint32_t importedBlocks);
    void onFirstToken(const ModelRequest &request, Instant now);
    void onWeights() { m_prefilledBlocks.clear(); }

    /// @brief CSV rows `scenario,policy,metric,value,unit`.
    std::string rows(std::string_view policy) const;

private:
    struct Latency
    {
        double p50 = 0.0;
        double p99 = 0.0;
    };

    bool isMeasured(const ModelRequest &request) const;
    Latency latency() const;
    double worstOrganisationShare() const;
    uint32_t unserved() const;

    const Site &m_site;
    const Scenario &m_scenario;
    std::span<const ModelRequest> m_requests;
    std::vector<Duration> m_firstToken;
    std::unordered_set<hashing::BlockHash> m_prefilledBlocks;
    uint64_t m_promptTokens = 0;
    uint64_t m_cachedTokens = 0;
    uint64_t m_importedTokens = 0;
    uint64_t m_recomputedTokens = 0;
};

} // namespace teaseldrift::bench
