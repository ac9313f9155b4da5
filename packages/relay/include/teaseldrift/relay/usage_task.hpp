#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/http/server.hpp"
#include "teaseldrift/relay/concurrency_owner.hpp"
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
    /// A permit that is held until UsageTask::release(); 0 for none.
    uint64_t permit = 0;
    /// The VM that granted the permit; empty for this VM.
    std::string permitOwner = {};
};

/// @brief Units, or a permit, that a request needs.
struct UsageNeed
{
    double units = 1.0;
    /// Longest time after which they may be there.
    Duration maxWait{0};
    /// For permits: 0 is the most urgent.
    uint32_t priority = 0;
    /// For permits: they lapse after this time.
    Duration term{0};
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
    /// Grants permits as the owner, instead of units; null for limits in units.
    ConcurrencyOwner *permits = nullptr;
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

    /// @brief Acquires units or a permit. The handler may run within the call.
    void acquire(const std::string &organisation, const UsageNeed &need, Handler handler);
    void acquire(const std::string &organisation, double units, Handler handler)
    {
        acquire(organisation, UsageNeed{.units = units}, std::move(handler));
    }

    /// @brief Releases a permit, or returns one that was not used.
    /// @param owner as in the decision that granted it
    void release(const std::string &limit, const std::string &owner, uint64_t permit,
                 const std::optional<ConcurrencyFeedback> &feedback);

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
