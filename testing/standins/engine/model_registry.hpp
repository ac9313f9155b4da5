#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "standins/engine/options.hpp"
#include "teaseldrift/http/server.hpp"

namespace teaseldrift::http {
class EventLoop;
}

namespace teaseldrift::standins {

/// @brief Models, adapters and role of the engine, and the orders that change them.
class ModelRegistry
{
public:
    /// @param onWeightsChanged called when the weights of a model have changed
    ModelRegistry(http::EventLoop &loop, const EngineOptions &options,
                  std::function<void()> onWeightsChanged);

    /// @brief Executes an order {kind, model, version, adapter, role, fencing} and responds when
    /// it has completed.
    void handleOrder(const std::shared_ptr<http::Exchange> &exchange);

    [[nodiscard]] bool serves(const std::string &model) const;

    /// @brief Version of a model's weights; empty if it has none.
    [[nodiscard]] std::string version(const std::string &model) const;

    /// @brief Response to GET /v1/models.
    [[nodiscard]] http::Response list() const;

private:
    http::EventLoop &m_loop;
    EngineOptions m_options;
    std::function<void()> m_onWeightsChanged;
    std::map<std::string, std::string> m_versions;
    std::set<std::string> m_adapters;
    std::string m_role = "both";
    uint64_t m_highestFencing = 0;
    uint32_t m_loadsInProgress = 0;
    uint64_t m_executedOrders = 0;

    void loadWeights(const std::shared_ptr<http::Exchange> &exchange, const std::string &model,
                     const std::string &version);
};

} // namespace teaseldrift::standins
