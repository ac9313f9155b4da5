#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "teaseldrift/relay/message.hpp"
#include "teaseldrift/relay/relay_context.hpp"
#include "teaseldrift/relay/request_task.hpp"

namespace teaseldrift::relay {

/// @brief Handles callers' requests: determines their route and organisation, and admits or refuses
/// them.
template <Dialect D>
class Frontend
{
public:
    Frontend(RelayContext &context, D dialect);

    /// @brief Handles a request that a server received.
    void handle(std::shared_ptr<http::Exchange> exchange);

    /// @brief Checks which callers have disconnected; call it several times per second.
    void checkCallers();

    /// @brief Number of requests without a complete response, or whose callers have not read all of
    /// it.
    [[nodiscard]] size_t openRequests() const;

    /// @brief This process ends soon: requests whose route and caller allow them to take longer are
    /// refused, and all others are answered by then. Each response closes its connection, also
    /// those under way. May be called again with another time.
    void answerBy(Instant time);

private:
    struct Refusal
    {
        int status = 503;
        std::string_view reason;
        Duration retryAfter{0};
        std::string_view organisation;
        double cost = 0.0;
        /// Ids of the quarantined segments that the prompt holds.
        std::string_view segments;
    };

    void refuse(http::Exchange &exchange, const CallerRequest &request, const Refusal &refusal);

    void onUsageDecision(std::shared_ptr<http::Exchange> exchange, AdmittedRequest admitted,
                         UsageDecision decision);
    void taskEnded(uint64_t number);
    void startRequest(std::shared_ptr<http::Exchange> exchange, AdmittedRequest admitted);

    /// @return false if the request was refused; the response has then been sent
    bool admit(http::Exchange &exchange, AdmittedRequest &admitted);
    /// Closes the connection after the response if this process is to end.
    void announceStop(http::Exchange &exchange);
    /// @return true if there is too little time before this process ends; the response has then
    /// been sent
    bool refuseLate(http::Exchange &exchange, const AdmittedRequest &admitted);
    /// @return true if the prompt holds quarantined segments; the response has then been sent
    bool refuseQuarantined(http::Exchange &exchange, AdmittedRequest &admitted);
    static double costOf(const CallerRequest &request, const Organisation &organisation);

    RelayContext &m_context;
    D m_dialect;
    /// Set once this process is to end.
    std::optional<Instant> m_answerBy;
    /// Requests that wait for the decision on their usage limit.
    size_t m_admissions = 0;
    uint64_t m_lastTask = 0;
    std::unordered_map<uint64_t, std::shared_ptr<RequestTask<D>>> m_tasks;
    /// Exchanges of ended tasks; those that have been read are dropped by checkCallers().
    std::vector<std::weak_ptr<http::Exchange>> m_unread;
};

} // namespace teaseldrift::relay

#include "teaseldrift/relay/frontend_impl.hpp"
