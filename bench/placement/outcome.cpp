#include "outcome.hpp"

#include <algorithm>
#include <cstdio>

namespace teaseldrift::bench {

Outcome::Outcome(const Site &site, const Scenario &scenario, std::span<const ModelRequest> requests)
    : m_site(site), m_scenario(scenario), m_requests(requests),
      m_firstToken(requests.size(), Duration::max())
{ }

bool Outcome::isMeasured(const ModelRequest &request) const
{
    return request.arrival.time_since_epoch() >= warmUp;
}

void Outcome::onPrefillStarted(const ModelRequest &request, uint32_t cachedBlocks,
                               uint32_t importedBlocks)
{
    const bool measured = isMeasured(request);
    const uint64_t tokens = m_site.blockTokens;
    for (size_t level = 0; level < request.chain.size(); ++level) {
        const bool isNew = m_prefilledBlocks.insert(request.chain[level]).second;
        if (measured && !isNew && level >= cachedBlocks) {
            m_recomputedTokens += tokens;
        }
    }
    if (measured) {
        m_promptTokens += request.promptTokens;
        m_cachedTokens += cachedBlocks * tokens;
        m_importedTokens += importedBlocks * tokens;
    }
}

void Outcome::onFirstToken(const ModelRequest &request, Instant now)
{
    Duration &firstToken = m_firstToken[request.id];
    firstToken = std::min(firstToken, now - request.arrival);
}

/// Leaves out the flooding organisation; a request without a first token counts as answered at the
/// deadline.
Outcome::Latency Outcome::latency() const
{
    std::vector<double> milliseconds;
    for (const ModelRequest &request : m_requests) {
        if (isMeasured(request)
            && !(m_scenario.flood && request.organisation == floodingOrganisation)) {
            const Duration time = m_firstToken[request.id];
            milliseconds.push_back(
                    1e3 * toSeconds(time == Duration::max() ? firstTokenDeadline : time));
        }
    }
    if (milliseconds.empty()) {
        return {};
    }
    std::ranges::sort(milliseconds);
    return {.p50 = milliseconds[milliseconds.size() / 2],
            .p99 = milliseconds[milliseconds.size() * 99 / 100]};
}

double Outcome::worstOrganisationShare() const
{
    const size_t organisations = organisationShares().size();
    std::vector<double> served(organisations);
    std::vector<double> entitled(organisations);
    for (const ModelRequest &request : m_requests) {
        if (!isMeasured(request)) {
            continue;
        }
        const bool floods = m_scenario.flood && request.organisation == floodingOrganisation;
        entitled[request.organisation] += floods ? 1.0 / WorkloadOptions{}.floodFactor : 1.0;
        served[request.organisation] += m_firstToken[request.id] <= firstTokenDeadline ? 1.0 : 0.0;
    }
    double worst = 1.0;
    for (size_t i = 0; i < organisations; ++i) {
        worst = entitled[i] > 0.0 ? std::min(worst, served[i] / entitled[i]) : worst;
    }
    return worst;
}

uint32_t Outcome::unserved() const
{
    uint32_t count = 0;
    for (const ModelRequest &request : m_requests) {
        const bool floods = m_scenario.flood && request.organisation == floodingOrganisation;
        if (isMeasured(request) && !floods && m_firstToken[request.id] > firstTokenDeadline) {
            ++count;
        }
    }
    return count;
}

std::string Outcome::rows(std::string_view policy) const
{
    std::string text;
    const auto add = [this, policy, &text](const char *metric, double value, const char *format,
                                           const char *unit) {
        char number[64];
        std::snprintf(number, sizeof(number), format, value);
        text.append(m_site.name).append("/").append(m_scenario.name).append(",").append(policy);
        text.append(",").append(metric).append(",").append(number).append(",").append(unit);
        text.append("\n");
    };
    const Latency times = latency();
    const double prompt = static_cast<double>(std::max<uint64_t>(1, m_promptTokens));
    add("prefix_hit_rate", static_cast<double>(m_cachedTokens) / prompt, "%.4f", "fraction");
    add("ttft_p50_ms", times.p50, "%.1f", "ms");
    add("ttft_p99_ms", times.p99, "%.1f", "ms");
    add("recomputed_tokens", static_cast<double>(m_recomputedTokens), "%.0f", "tokens");
    add("imported_tokens", static_cast<double>(m_importedTokens), "%.0f", "tokens");
    add("worst_org_share", worstOrganisationShare(), "%.3f", "fraction");
    add("unserved_requests", unserved(), "%.0f", "requests");
    return text;
}

} // namespace teaseldrift::bench
