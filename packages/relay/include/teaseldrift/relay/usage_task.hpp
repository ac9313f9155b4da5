#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/http/server.hpp"
#include "teaseldrift/relay/fleet_state.hpp"
#include "teaseldrift/telemetry/event_log.hpp"
#include "teaseldrift/telemetry/metrics.hpp"

namespace teaseldrift::relay {

/// @brief Decision about a request for units of an organisation's usage limit.
struct UsageDecision
{
    bool isGranted = false;
    /// Time until the units are available.
    Duration retryAfter{0};
    /// Passed to refund().
    Instant grantedAt;
};

/// @brief Timeouts of the queries to the owners of limits.
struct UsageTaskOptions
{
    /// Longest wait for the owner of a limit: a multiple of the round-trip time within a region.
    Duration responseTimeout = 60ms;
    /// Time for which an unresponsive owner is not queried.
    Duration unresponsiveCooldown = 1s;
};

/// @brief Enforces the usage limits of organisations across all VMs.
///
/// One VM owns the limit of an organisation; all VMs determine it by rendezvous hashing and query
/// it. While the owner is unresponsive, a VM grants units from a small part of the limit by itself.
class UsageTask
{
public:
    using Handler = std::function<void(UsageDecision)>;

    UsageTask(http::EventLoop &loop, http::Client &peers, FleetState &fleet,
              telemetry::EventLog &log, telemetry::Metrics &metrics, UsageTaskOptions options = {});
    ~UsageTask();
    UsageTask(const UsageTask &) = delete;
    UsageTask &operator=(const UsageTask &) = delete;

    /// @brief Acquires units. The handler may run within the call.
    void acquire(const std::string &organisation, double units, Handler handler);

    /// @brief Refunds the units of a request that did not run.
    /// @param grantedAt as in the decision that granted them
    void refund(const std::string &organisation, double units, Instant grantedAt);

    /// @brief Handles another VM's query.
    void handle(http::Exchange &exchange);

    /// Path of the queries between VMs.
    static constexpr std::string_view path = "/teaseldrift/usage";

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::relay
