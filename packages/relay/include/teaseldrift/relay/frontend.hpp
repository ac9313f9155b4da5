#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "teaseldrift/relay/message.hpp"
#include "teaseldrift/relay/relay_context.hpp"
#include "teaseldrift/relay/request_task.hpp"

namespace teaseldrift::relay {

/// @brief Takes callers' requests: finds their route and organisation, and admits or refuses them.
template <Dialect D>
class Frontend
{
public:
    Frontend(RelayContext &context, D dialect);

    /// @brief Takes a request from a server.
    void handle(std::shared_ptr<http::Exchange> exchange);

    /// @brief Looks after callers that have left; called several times a second.
    void checkCallers();

    /// @brief Requests that have no final answer yet.
    [[nodiscard]] size_t openRequests() const { return m_tasks.size(); }

private:
    struct Refusal
    {
        int status = 503;
        std::string_view reason;
        Duration retryAfter{0};
        std::string_view organisation;
        double cost = 0.0;
    };

    void refuse(http::Exchange &exchange, const CallerRequest &request, const Refusal &refusal);

    void onUsageDecision(std::shared_ptr<http::Exchange> exchange, AdmittedRequest admitted,
                         UsageDecision decision);
    void startRequest(std::shared_ptr<http::Exchange> exchange, AdmittedRequest admitted);

    /// @return whether the request may go on; otherwise it is answered
    bool admit(http::Exchange &exchange, AdmittedRequest &admitted);
    static double costOf(const CallerRequest &request, const Organisation &organisation);

    RelayContext &m_context;
    D m_dialect;
    uint64_t m_lastTask = 0;
    std::unordered_map<uint64_t, std::shared_ptr<RequestTask<D>>> m_tasks;
};

} // namespace teaseldrift::relay

#include "teaseldrift/relay/frontend_impl.hpp"
