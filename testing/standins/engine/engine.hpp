#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "standins/engine/batch.hpp"
#include "standins/engine/cache_event_publisher.hpp"
#include "standins/engine/delayed_load_report.hpp"
#include "standins/engine/model_registry.hpp"
#include "standins/engine/prefix_cache.hpp"
#include "standins/engine/run_records.hpp"

namespace teaseldrift::standins {

/// @brief Stand-in for a model engine with an OpenAI-compatible HTTP interface.
class Engine
{
public:
    Engine(http::EventLoop &loop, EngineOptions options);

    /// @brief Handles one HTTP request.
    void handle(const std::shared_ptr<http::Exchange> &exchange);

private:
    using GenerationPtr = Batch::GenerationPtr;

    http::EventLoop &m_loop;
    EngineOptions m_options;
    Batch m_batch;
    PrefixCache m_cache;
    CacheEventPublisher m_events;
    ModelRegistry m_models;
    DelayedLoadReport m_load;
    RunRecords m_records;
    std::vector<std::shared_ptr<http::Exchange>> m_deferred;
    uint64_t m_served = 0;
    /// Number of tokens after which connections are aborted while `m_abortsLeft` is not 0.
    uint32_t m_abortPosition = 0;
    /// Number of connections still to be aborted.
    uint32_t m_abortsLeft = 0;
    bool m_unresponsive = false;
    /// Requests a second that the load report names as the limit.
    std::optional<double> m_requestsPerSecond;

    void complete(const std::shared_ptr<http::Exchange> &exchange, bool chat);
    [[nodiscard]] bool resume(Generation &generation, const std::string &lastEventId);
    Duration start(Generation &generation);
    void onToken(const GenerationPtr &generation);
    void finish(const GenerationPtr &generation);
    void cancel(const GenerationPtr &generation);
    void checkDisconnects();
    void handleFault(const std::shared_ptr<http::Exchange> &exchange);
    void recordLoad();
    [[nodiscard]] http::Response loadResponse();
};

} // namespace teaseldrift::standins
