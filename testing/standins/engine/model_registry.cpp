#include "standins/engine/model_registry.hpp"

#include <nlohmann/json.hpp>

#include "teaseldrift/http/event_loop.hpp"

namespace teaseldrift::standins {

namespace {

using nlohmann::json;

http::Response jsonResponse(int status, const json &body)
{
    return {.status = status,
            .headers = {{"content-type", "application/json"}},
            .body = body.dump()};
}

} // namespace

ModelRegistry::ModelRegistry(http::EventLoop &loop, const EngineOptions &options,
                             std::function<void()> onWeightsChanged)
    : m_loop(loop), m_options(options), m_onWeightsChanged(std::move(onWeightsChanged))
{
    for (const std::string &model : options.models) {
        const size_t at = model.find('@');
        m_versions[model.substr(0, at)] = at == std::string::npos ? "" : model.substr(at + 1);
    }
}

bool ModelRegistry::serves(const std::string &model) const
{
    return m_versions.empty() || m_versions.contains(model) || m_adapters.contains(model);
}

std::string ModelRegistry::version(const std::string &model) const
{
    const auto found = m_versions.find(model);
    return found == m_versions.end() ? "" : found->second;
}

void ModelRegistry::loadWeights(const std::shared_ptr<http::Exchange> &exchange,
                                const std::string &model, const std::string &version)
{
    ++m_loadsInProgress;
    const uint32_t factor = m_loadsInProgress > m_options.fastLoads ? 2 : 1;
    const std::chrono::milliseconds duration(m_options.loadMs * factor);
    m_loop.startTimer(duration, [this, exchange, model, version] {
        --m_loadsInProgress;
        ++m_executedOrders;
        m_versions[model] = version;
        m_onWeightsChanged();
        exchange->respond(jsonResponse(200, {{"model", model}, {"version", version}}));
    });
}

void ModelRegistry::handleOrder(const std::shared_ptr<http::Exchange> &exchange)
{
    const json order = json::parse(exchange->body(), nullptr, false);
    if (!order.is_object()) {
        exchange->respond(jsonResponse(400, {{"error", "not a JSON object"}}));
        return;
    }
    const uint64_t fencing = order.value("fencing", uint64_t(0));
    if (m_options.checksFencing && fencing < m_highestFencing) {
        exchange->respond(jsonResponse(
                409, {{"error", "old fencing number"}, {"highest", m_highestFencing}}));
        return;
    }
    m_highestFencing = std::max(m_highestFencing, fencing);
    const std::string kind = order.value("kind", "");
    if (kind == "load_model") {
        loadWeights(exchange, order.value("model", ""), order.value("version", ""));
        return;
    }
    if (kind == "load_adapter") {
        m_adapters.insert(order.value("adapter", ""));
    } else if (kind == "set_role") {
        m_role = order.value("role", m_role);
    } else {
        exchange->respond(jsonResponse(400, {{"error", "unknown kind of order"}}));
        return;
    }
    ++m_executedOrders;
    exchange->respond(jsonResponse(200, {{"kind", kind}}));
}

http::Response ModelRegistry::list() const
{
    json data = json::array();
    for (auto it = m_versions.begin(); it != m_versions.end(); ++it) {
        data.push_back({{"id", it->first}, {"object", "model"}, {"version", it->second}});
    }
    for (const std::string &adapter : m_adapters) {
        data.push_back({{"id", adapter}, {"object", "model"}, {"adapter", true}});
    }
    return jsonResponse(200, {{"object", "list"},
                              {"data", data},
                              {"role", m_role},
                              {"highest_fencing", m_highestFencing},
                              {"orders", m_executedOrders}});
}

} // namespace teaseldrift::standins
