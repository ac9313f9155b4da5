#include "teaseldrift/router/router_metrics.hpp"

#include "teaseldrift/schema/result.hpp"

namespace teaseldrift::router {

RouterMetrics::RouterMetrics()
    : m_firstToken(m_registry.distribution({"teaseldrift_first_token_seconds"})),
      m_betweenTokens(m_registry.distribution({"teaseldrift_between_tokens_seconds"})),
      m_queueWait(m_registry.distribution({"teaseldrift_queue_wait_seconds"})),
      m_events(m_registry.counter({"teaseldrift_stream_events_total"})),
      m_promptTokens(m_registry.counter({"teaseldrift_prompt_tokens_total"})),
      m_cachedTokens(m_registry.counter({"teaseldrift_cached_tokens_total"}))
{
    // Creates the counters of all labels with value 0, so that rates can be computed from the first
    // event on.
    const google::protobuf::EnumDescriptor *codes = schema::ResultCode_descriptor();
    for (int i = 0; i < codes->value_count(); ++i) {
        const schema::ResultCode code = static_cast<schema::ResultCode>(codes->value(i)->number());
        m_registry.counter({"teaseldrift_requests_total", "result", schema::metricLabel(code)});
    }
    const google::protobuf::EnumDescriptor *reasons = schema::RetryReason_descriptor();
    for (int i = 1; i < reasons->value_count(); ++i) {
        const schema::RetryReason reason
                = static_cast<schema::RetryReason>(reasons->value(i)->number());
        m_registry.counter({"teaseldrift_retries_total", "reason", schema::metricLabel(reason)});
    }
}

void RouterMetrics::countResult(schema::ResultCode code)
{
    m_registry.counter({"teaseldrift_requests_total", "result", schema::metricLabel(code)}).add();
}

void RouterMetrics::countRetry(schema::RetryReason reason)
{
    m_registry.counter({"teaseldrift_retries_total", "reason", schema::metricLabel(reason)}).add();
}

void RouterMetrics::countPromptTokens(uint64_t prompt, uint64_t cached)
{
    m_promptTokens.add(static_cast<double>(prompt));
    m_cachedTokens.add(static_cast<double>(cached));
}

} // namespace teaseldrift::router
