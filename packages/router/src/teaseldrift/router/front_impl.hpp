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
#include "teaseldrift/router/front.hpp"
#include "teaseldrift/router/request_task.hpp"

namespace teaseldrift::router {

/// A request between its arrival and its RequestTask.
struct Arrival
{
    std::shared_ptr<http::Exchange> exchange;
    std::shared_ptr<const RoutingTable> table;
    CallerHeaders headers;
    std::string organisation;
    const schema::Organisation *organisationRecord = nullptr;
    /// Path prefix of the route, or the path of a completion.
    std::string route;
    RequestSpec spec;
    double tokens = 0.0;
    allowance::Ticket ticket;
    /// Set while an Idempotency-Key is claimed.
    std::string claimId;
};

struct Front::Impl
{
    struct CachedDefaults
    {
        schema::Defaults defaults;
        Instant madeAt{};
    };

    FrontParts parts;
    std::mt19937_64 generator;
    http::Client client;
    std::shared_ptr<const RoutingTable> table;
    KeyRing keys;
    ConfigurationDesk desk;
    std::optional<Instant> currentUntil;
    std::map<std::string, CachedDefaults> defaults;
    std::map<std::string, RetryBudget> budgets;
    std::map<uint64_t, std::shared_ptr<RequestTask>> tasks;
    uint64_t lastTask = 0;
    bool leaving = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    explicit Impl(const FrontParts &frontParts)
        : parts(frontParts), generator(frontParts.seed),
          client(frontParts.loop, {.connectTimeout = std::chrono::milliseconds(
                                           frontParts.settings.connect_timeout_ms())})
    { }

    void refuse(const Arrival &arrival, schema::ResultCode code,
                std::optional<Duration> retryAfter = std::nullopt);
    bool answerOwnPaths(const std::shared_ptr<http::Exchange> &exchange, std::string_view path);
    void answerAdmin(const std::shared_ptr<http::Exchange> &exchange, std::string_view path);
    [[nodiscard]] std::string statusJson() const;
    [[nodiscard]] std::string modelsJson() const;
    void explainRoute(const std::shared_ptr<http::Exchange> &exchange);
    void answerHeld(const std::shared_ptr<http::Exchange> &exchange);
    void takeOffer(const std::shared_ptr<http::Exchange> &exchange);
    void answerEntry(const std::shared_ptr<http::Exchange> &exchange);

    [[nodiscard]] bool isCurrent() const;
    const schema::Defaults &defaultsFor(const std::string &organisation, const std::string &route);
    RetryBudget &budgetFor(const std::string &organisation, const schema::Defaults &defaults);

    void take(const std::shared_ptr<Arrival> &arrival);
    std::error_code route(Arrival &arrival, bool &isOpen);
    std::error_code authenticate(Arrival &arrival, bool isOpen);
    std::error_code readCompletion(Arrival &arrival);
    std::error_code readPlain(Arrival &arrival);
    void admit(const std::shared_ptr<Arrival> &arrival);
    void claim(const std::shared_ptr<Arrival> &arrival);
    void start(const std::shared_ptr<Arrival> &arrival);
    void finish(const Arrival &arrival, uint64_t taskId, const RequestOutcome &outcome);
};

} // namespace teaseldrift::router
