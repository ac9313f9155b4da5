#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "teaseldrift/base/time.hpp"
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
class RouterMetrics;
class TargetPool;

/// @brief The parts of a VM that the front hands requests to.
struct FrontendContext
{
    http::EventLoop &loop;
    const schema::RouterSettings &settings;
    RouterMetrics &metrics;
    TargetPool &targets;
    AllowanceTask &allowance;
    ClaimTask &claims;
    EntryVmSelector &entrySelector;
    /// Seed of request ids.
    uint64_t seed = 0;
};

/// @brief What an operator's change is checked against.
struct ConfigurationStatus
{
    uint64_t incarnation = 0;
    /// The document is held with at least the revision asked for.
    bool holds = false;
    /// This VM's answer counts towards a majority.
    bool canVote = false;
    size_t knownVms = 0;
};

/// @brief Questions and documents of operators for this VM's configuration.
struct ConfigurationAdmin
{
    std::function<ConfigurationStatus(std::string_view name, uint64_t revision)>
            configurationStatus;
    /// Takes documents that an operator has written to the store.
    std::function<void(std::span<const schema::VersionedDocument>)> offer;
};

/// @brief Answers callers.
///
/// Each request is read, authenticated, admitted against its organisation's rate, claimed if it
/// carries an Idempotency-Key, and then handed to a RequestTask.
class Frontend
{
public:
    explicit Frontend(const FrontendContext &context);
    ~Frontend();
    Frontend(const Frontend &) = delete;
    Frontend &operator=(const Frontend &) = delete;

    /// @brief Uses this configuration from now on.
    void configure(std::shared_ptr<const RoutingTable> table);

    /// @brief Up to when the configuration is proven to be current; keyed requests are refused
    /// afterwards.
    void setCurrentUntil(std::optional<Instant> currentUntil);

    /// @brief What operators may ask of this VM's configuration.
    void setConfigurationAdmin(ConfigurationAdmin configurationAdmin);

    /// @brief Says in /readyz and /admin/status that this VM is leaving.
    void setLeaving();

    /// @brief Takes over one request.
    void handle(std::shared_ptr<http::Exchange> exchange);

    /// @brief Requests that have not had their final outcome.
    [[nodiscard]] size_t openRequests() const;

    /// @brief Ends all open requests, because their time at shutdown is over.
    void drainDeadlineExpired();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::router
