#pragma once

#include <string>
#include <string_view>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/schema/result_code.pb.h"
#include "teaseldrift/telemetry/metrics.hpp"

namespace teaseldrift::router {

/// @brief Metrics of the router's request path, which docs/OPERATIONS.md describes.
class RouterMetrics
{
public:
    RouterMetrics();

    void countResult(schema::ResultCode code);
    void countRetry(schema::RetryReason reason);
    void observeFirstToken(Duration duration) { m_firstToken.observe(toSeconds(duration)); }
    void observeBetweenTokens(Duration duration) { m_betweenTokens.observe(toSeconds(duration)); }
    void observeQueueWait(Duration duration) { m_queueWait.observe(toSeconds(duration)); }
    void countEvents(uint64_t events) { m_events.add(static_cast<double>(events)); }
    void countPromptTokens(uint64_t prompt, uint64_t cached);

    /// @brief The underlying metrics, for gauges and rarely used counters.
    telemetry::Metrics &registry() { return m_registry; }

private:
    telemetry::Metrics m_registry;
    telemetry::Distribution &m_firstToken;
    telemetry::Distribution &m_betweenTokens;
    telemetry::Distribution &m_queueWait;
    telemetry::Counter &m_events;
    telemetry::Counter &m_promptTokens;
    telemetry::Counter &m_cachedTokens;
};

} // namespace teaseldrift::router
