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
    /// Time to wait before the units are used.
    Duration wait{0};
};

/// @brief Timeouts of the messages between VMs about limits.
struct UsageTaskOptions
{
    /// Longest wait for the owner of a limit: a multiple of the round-trip time within a region.
    Duration responseTimeout = 60ms;
    /// The same for the VMs that a claim asks; shorter, since queries wait for the claim.
    Duration claimTimeout = 40ms;
    /// Time for which an unresponsive owner is not queried.
    Duration unresponsiveCooldown = 1s;
    /// Interval at which this VM claims limits that it should own and extends its ownership.
    Duration maintenanceInterval = 500ms;
    /// Delay before a VM that has started recently retries a request that no VM decided.
    Duration startupRetryDelay = 100ms;
    int startupRetries = 3;
};

/// @brief Limits that all VMs share and that a UsageTask enforces.
struct SharedLimits
{
    DistributedUsageLimiter &limiter;
    /// Path of the messages between VMs, and the beginning of those about ownership.
    std::string_view path = "/teaseldrift/usage";
    /// Describes a limit for VMs that may not know it; null if all VMs know all limits.
    std::function<std::string(const std::string &limit)> describe = nullptr;
    /// Applies another VM's description of a limit.
    std::function<void(const std::string &description)> learn = nullptr;
};

/// @brief Enforces limits across all VMs: those of organisations, or those that targets name.
///
/// One VM owns each limit and the others query it; see DistributedUsageLimiter.
/// While the owner is unresponsive, a VM grants units from a small part of the limit by itself.
class UsageTask
{
public:
    using Handler = std::function<void(UsageDecision)>;

    /// @brief Enforces the usage limits of organisations.
    UsageTask(http::EventLoop &loop, http::Client &peers, FleetState &fleet,
              telemetry::EventLog &log, telemetry::Metrics &metrics, UsageTaskOptions options = {});
    UsageTask(http::EventLoop &loop, http::Client &peers, FleetState &fleet, SharedLimits limits,
              telemetry::EventLog &log, telemetry::Metrics &metrics, UsageTaskOptions options = {});
    ~UsageTask();
    UsageTask(const UsageTask &) = delete;
    UsageTask &operator=(const UsageTask &) = delete;

    /// @brief Starts the periodic work; without it, a VM claims a limit at the first request.
    void start();

    /// @brief Acquires units. The handler may run within the call.
    /// @param maxWait longest time after which the units may be there
    void acquire(const std::string &organisation, double units, Handler handler,
                 Duration maxWait = Duration(0));

    /// @brief Refunds the units of a request that did not run.
    /// @param grantedAt as in the decision that granted them
    void refund(const std::string &organisation, double units, Instant grantedAt);

    /// @brief Whether a path is one of the messages between VMs about limits.
    /// @param limits SharedLimits::path
    [[nodiscard]] static bool isMessage(std::string_view path,
                                        std::string_view limits = "/teaseldrift/usage");

    /// @brief Handles another VM's message.
    void handle(const std::shared_ptr<http::Exchange> &exchange);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::relay
