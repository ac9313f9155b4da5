#pragma once

#include <memory>
#include <string_view>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/http/server.hpp"
#include "teaseldrift/relay/fleet_state.hpp"
#include "teaseldrift/telemetry/event_log.hpp"
#include "teaseldrift/telemetry/metrics.hpp"

namespace teaseldrift::relay {

/// @brief Bounds of the exchange of load between VMs.
struct LoadTaskOptions
{
    /// Pace while prompts are waiting somewhere: about the time that an engine takes for one.
    Duration interval = 30ms;
    /// The pace is slower by this for each VM, as one of them answers all of its zone.
    Duration intervalPerVm = 1500us;
    /// Pace while nothing is waiting.
    Duration idleInterval = 300ms;
    /// Longest wait for an answer: a multiple of the way within a region.
    Duration responseTimeout = 60ms;
    /// A VM that did not answer is not asked again for this long.
    Duration unresponsiveCooldown = 1s;
};

/// @brief Tells the other VMs what this one has under way at the targets, and learns the same.
///
/// The VMs of an availability zone ask one of them, the same by every VM's reckoning; those VMs ask
/// each other for the sums of their zones. While nobody answers, choices go by this VM's own work.
class LoadTask
{
public:
    LoadTask(http::EventLoop &loop, http::Client &peers, FleetState &fleet,
             telemetry::EventLog &log, telemetry::Metrics &metrics, LoadTaskOptions options = {});
    ~LoadTask();
    LoadTask(const LoadTask &) = delete;
    LoadTask &operator=(const LoadTask &) = delete;

    void start();

    /// @brief Answers another VM's question.
    void handle(http::Exchange &exchange);

    /// Path of the questions between VMs.
    static constexpr std::string_view path = "/teaseldrift/load";

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::relay
