#pragma once

#include <memory>
#include <string>
#include <vector>

#include "standins/engine/batch.hpp"
#include "standins/engine/cache_events.hpp"
#include "standins/engine/load_report.hpp"
#include "standins/engine/orders.hpp"
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
    CacheEvents m_events;
    Orders m_orders;
    LoadReport m_load;
    RunRecords m_records;
    std::vector<std::shared_ptr<http::Exchange>> m_held;
    uint64_t m_served = 0;
    /// Number of tokens after which connections are aborted while `m_cutsLeft` is not 0.
    uint32_t m_cutAfter = 0;
    /// Number of connections still to be aborted.
    uint32_t m_cutsLeft = 0;
    bool m_silent = false;

    void complete(const std::shared_ptr<http::Exchange> &exchange, bool chat);
    [[nodiscard]] bool resume(Generation &generation, const std::string &lastEventId);
    Duration start(Generation &generation);
    void onToken(const GenerationPtr &generation);
    void finish(const GenerationPtr &generation);
    void abandon(const GenerationPtr &generation);
    void watchCallers();
    void fault(const std::shared_ptr<http::Exchange> &exchange);
    void noteLoad();
    [[nodiscard]] http::Response loadAnswer();
};

} // namespace teaseldrift::standins
