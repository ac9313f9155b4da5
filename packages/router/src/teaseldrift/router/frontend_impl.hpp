#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/http/server.hpp"
#include "teaseldrift/keys/key.hpp"
#include "teaseldrift/router/allowance_task.hpp"
#include "teaseldrift/router/caller_request.hpp"
#include "teaseldrift/router/frontend.hpp"
#include "teaseldrift/router/quarantine_task.hpp"
#include "teaseldrift/router/request_task.hpp"

namespace teaseldrift::router {

/// A request until its RequestTask starts.
struct IncomingRequest
{
    std::shared_ptr<http::Exchange> exchange;
    std::shared_ptr<const RoutingTable> table;
    CallerHeaders headers;
    std::string organisation;
    const schema::Organisation *organisationRecord = nullptr;
    /// Path prefix of the route, or the path of a completion request.
    std::string route;
    RequestSpec spec;
    double tokens = 0.0;
    allowance::Ticket ticket;
    /// Set if an Idempotency-Key has been claimed for the request.
    std::string claimId;
};

struct Frontend::Impl
{
    struct CachedDefaults
    {
        schema::Defaults defaults;
        Instant computedAt{};
    };

    FrontendContext context;
    std::mt19937_64 generator;
    http::Client client;
    std::shared_ptr<const RoutingTable> table;
    KeyRing keys;
    ConfigurationAdmin configurationAdmin;
    std::optional<Instant> currentUntil;
    std::map<std::string, CachedDefaults> defaults;
    std::map<std::string, RetryBudget> budgets;
    std::map<uint64_t, std::shared_ptr<RequestTask>> tasks;
    uint64_t lastTaskId = 0;
    bool leaving = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    explicit Impl(const FrontendContext &frontendContext)
        : context(frontendContext), generator(frontendContext.seed),
          client(frontendContext.loop, {.connectTimeout = std::chrono::milliseconds(
                                                frontendContext.settings.connect_timeout_ms()),
                                        .buffers = frontendContext.buffers})
    { }

    void refuse(const IncomingRequest &request, schema::ResultCode code,
                std::optional<Duration> retryAfter = std::nullopt);
    bool handleLocalPath(const std::shared_ptr<http::Exchange> &exchange, std::string_view path);
    void handleAdmin(const std::shared_ptr<http::Exchange> &exchange, std::string_view path);
    [[nodiscard]] std::string statusJson() const;
    [[nodiscard]] std::string modelsJson() const;
    void handleExplainRoute(const std::shared_ptr<http::Exchange> &exchange);
    void handleHeld(const std::shared_ptr<http::Exchange> &exchange);
    void handleOffer(const std::shared_ptr<http::Exchange> &exchange);
    void handleQuarantine(const std::shared_ptr<http::Exchange> &exchange);
    void handleEntry(const std::shared_ptr<http::Exchange> &exchange);

    [[nodiscard]] bool isConfigurationCurrent() const;
    const schema::Defaults &defaultsFor(const std::string &organisation, const std::string &route);
    RetryBudget &budgetFor(const std::string &organisation, const schema::Defaults &defaults);

    void process(const std::shared_ptr<IncomingRequest> &request);
    std::error_code resolveRoute(IncomingRequest &request, bool &allowsAnonymous);
    std::error_code authenticate(IncomingRequest &request, bool allowsAnonymous);
    std::error_code parseCompletionRequest(IncomingRequest &request);
    std::error_code parseServiceRequest(IncomingRequest &request);
    bool refuseQuarantined(IncomingRequest &request);
    void admit(const std::shared_ptr<IncomingRequest> &request);
    void claim(const std::shared_ptr<IncomingRequest> &request);
    void start(const std::shared_ptr<IncomingRequest> &request);
    void finish(const IncomingRequest &request, uint64_t taskId, const RequestOutcome &outcome);
};

} // namespace teaseldrift::router
