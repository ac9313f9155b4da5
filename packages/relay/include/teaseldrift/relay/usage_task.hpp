#pragma once

#include <functional>
#include <map>
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

/// @brief Answer to a request for units of an organisation's limit.
struct UsageDecision
{
    bool isGranted = false;
    /// When the units will be there.
    Duration retryAfter{0};
};

/// @brief Bounds of the use of limits.
struct UsageTaskOptions
{
    /// Longest wait for the VM that keeps a limit: a multiple of the way within a region.
    Duration responseTimeout = 60ms;
    /// A keeper that did not answer is not asked again for this long.
    Duration unresponsiveCooldown = 1s;
};

/// @brief Counts what organisations use, over all VMs together.
///
/// One VM keeps the limit of an organisation, the same by every VM's reckoning; the others ask it.
/// While it does not answer, a VM uses a small part of the limit of its own.
class UsageTask
{
public:
    using Handler = std::function<void(UsageDecision)>;

    UsageTask(http::EventLoop &loop, http::Client &peers, FleetState &fleet,
              telemetry::EventLog &log, telemetry::Metrics &metrics, UsageTaskOptions options = {});
    ~UsageTask();
    UsageTask(const UsageTask &) = delete;
    UsageTask &operator=(const UsageTask &) = delete;

    /// @brief Asks for units. The handler may run within the call.
    void acquire(const std::string &organisation, double units, Handler handler);

    /// @brief Returns units of a request that did not run.
    void refund(const std::string &organisation, double units);

    /// @brief Answers another VM's question.
    void handle(http::Exchange &exchange);

    /// Path of the questions between VMs.
    static constexpr std::string_view path = "/teaseldrift/usage";

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::relay
