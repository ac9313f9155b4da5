#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/buffer_budget.hpp"
#include "teaseldrift/http/connection_limiter.hpp"
#include "teaseldrift/router/routing_table.hpp"
#include "teaseldrift/schema/settings.pb.h"

namespace teaseldrift::http {
class EventLoop;
class Exchange;
} // namespace teaseldrift::http

namespace teaseldrift::router {

class AllowanceTask;
class ClaimTask;
class EntryVmSelector;
class QuarantineTask;
class RouterMetrics;
class TargetPermits;
class TargetPool;

/// @brief Settings and services of this VM that the frontend uses.
struct FrontendContext
{
    http::EventLoop &loop;
    const schema::RouterSettings &settings;
    RouterMetrics &metrics;
    TargetPool &targets;
    AllowanceTask &allowance;
    ClaimTask &claims;
    EntryVmSelector &entrySelector;
    QuarantineTask &quarantine;
    TargetPermits &permits;
    /// For what requests hold of responses; null for no limit.
    http::BufferBudget *buffers = nullptr;
    /// Limiter of the server, for its metrics; null if there is none.
    const http::ConnectionLimiter *limiter = nullptr;
    /// Seed of request ids.
    uint64_t seed = 0;
};

/// @brief State of this VM's configuration, against which an operator's change is checked.
struct ConfigurationStatus
{
    uint64_t incarnation = 0;
    /// This VM holds the document with at least the queried revision.
    bool holds = false;
    /// This VM's response counts towards a majority.
    bool canVote = false;
    size_t knownVms = 0;
};

/// @brief Handlers for operators' queries about this VM's configuration and for documents they
/// offer.
struct ConfigurationAdmin
{
    std::function<ConfigurationStatus(std::string_view name, uint64_t revision)>
            configurationStatus;
    /// Called with documents that the operator's tool has written to the store.
    std::function<void(std::span<const schema::VersionedDocument>)> offer;
};

/// @brief Handles the requests of callers and operators.
///
/// Each request is parsed, authenticated and admitted against its organisation's rate limit. On a
/// non-idempotent route its Idempotency-Key, if any, is claimed. Then a RequestTask executes the
/// request.
class Frontend
{
public:
    explicit Frontend(const FrontendContext &context);
    ~Frontend();
    Frontend(const Frontend &) = delete;
    Frontend &operator=(const Frontend &) = delete;

    /// @brief Replaces the configuration.
    void configure(std::shared_ptr<const RoutingTable> table);

    /// @brief Sets the time until which the configuration is known to be current; afterwards
    /// requests that need an API key are refused.
    void setCurrentUntil(std::optional<Instant> currentUntil);

    /// @brief Sets the handlers of operators' configuration requests.
    void setConfigurationAdmin(ConfigurationAdmin configurationAdmin);

    /// @brief Reports in /readyz and /admin/status that this VM is leaving.
    void setLeaving();

    /// @brief Handles one request.
    void handle(std::shared_ptr<http::Exchange> exchange);

    /// @brief Returns the number of requests without a final outcome.
    [[nodiscard]] size_t openRequests() const;

    /// @brief Ends all open requests because the drain period of a shutdown has expired.
    void drainDeadlineExpired();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::router
