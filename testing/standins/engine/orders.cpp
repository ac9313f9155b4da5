#include "standins/engine/orders.hpp"

#include <nlohmann/json.hpp>

#include "teaseldrift/http/event_loop.hpp"

namespace teaseldrift::standins {

namespace {

using nlohmann::json;

http::Response answer(int status, const json &body)
{
    return {.status = status,
            .headers = {{"content-type", "application/json"}},
            .body = body.dump()};
}

} // namespace

Orders::Orders(http::EventLoop &loop, const EngineOptions &options, std::function<void()> onWeights)
    : m_loop(loop), m_options(options), m_onWeights(std::move(onWeights))
{
    for (const std::string &model : options.models) {
        const size_t at = model.find('@');
        m_versions[model.substr(0, at)] = at == std::string::npos ? "" : model.substr(at + 1);
    }
}

bool Orders::serves(const std::string &model) const
{
    return m_versions.empty() || m_versions.contains(model) || m_adapters.contains(model);
}

std::string Orders::version(const std::string &model) const
{
    const auto found = m_versions.find(model);
    return found == m_versions.end() ? "" : found->second;
}

void Orders::loadWeights(const std::shared_ptr<http::Exchange> &exchange, const std::string &model,
                         const std::string &version)
{
    ++m_loading;
    const uint32_t factor = m_loading > m_options.fastLoads ? 2 : 1;
    const std::chrono::milliseconds duration(m_options.loadMs * factor);
    m_loop.startTimer(duration, [this, exchange, model, version] {
        --m_loading;
        ++m_carriedOut;
        m_versions[model] = version;
        m_onWeights();
        exchange->respond(answer(200, {{"model", model}, {"version", version}}));
    });
}

void Orders::handle(const std::shared_ptr<http::Exchange> &exchange)
{
    const json order = json::parse(exchange->body(), nullptr, false);
    if (!order.is_object()) {
        exchange->respond(answer(400, {{"error", "not a JSON object"}}));
        return;
    }
    const uint64_t fencing = order.value("fencing", uint64_t(0));
    if (m_options.checksFencing && fencing < m_highestFencing) {
        exchange->respond(
                answer(409, {{"error", "old fencing number"}, {"highest", m_highestFencing}}));
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
        exchange->respond(answer(400, {{"error", "unknown kind of order"}}));
        return;
    }
    ++m_carriedOut;
    exchange->respond(answer(200, {{"kind", kind}}));
}

http::Response Orders::list() const
{
    json data = json::array();
    for (auto it = m_versions.begin(); it != m_versions.end(); ++it) {
        data.push_back({{"id", it->first}, {"object", "model"}, {"version", it->second}});
    }
    for (const std::string &adapter : m_adapters) {
        data.push_back({{"id", adapter}, {"object", "model"}, {"adapter", true}});
    }
    return answer(200, {{"object", "list"},
                        {"data", data},
                        {"role", m_role},
                        {"highest_fencing", m_highestFencing},
                        {"orders", m_carriedOut}});
}

} // namespace teaseldrift::standins
