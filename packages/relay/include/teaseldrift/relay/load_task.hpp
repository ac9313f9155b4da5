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

/// @brief Intervals and timeouts of the load exchange between VMs.
struct LoadTaskOptions
{
    /// Interval while a target has a prefill backlog or a rollout is in progress: about the prefill
    /// time of one prompt.
    Duration interval = 30ms;
    /// Added to the interval for each VM, because one VM responds to all others of its zone.
    Duration intervalPerVm = 1500us;
    /// Interval while there is neither a backlog nor a rollout.
    Duration idleInterval = 300ms;
    /// Longest wait for a response: a multiple of the round-trip time within a region.
    Duration responseTimeout = 60ms;
    /// Time for which an unresponsive VM is not queried.
    Duration unresponsiveCooldown = 1s;
};

/// @brief Exchanges the load in flight at the targets with the other VMs.
///
/// The VMs of an availability zone send their load to the zone's representative, which all of them
/// determine by rendezvous hashing; the representatives exchange the totals of their zones. While
/// no VM responds, targets are selected by the local load alone. The exchange also carries rollout
/// plans, prefilled segments, and when the desired weights changed: a VM that was suspended then
/// learns the time from the others.
class LoadTask
{
public:
    LoadTask(http::EventLoop &loop, http::Client &peers, FleetState &fleet,
             telemetry::EventLog &log, telemetry::Metrics &metrics, LoadTaskOptions options = {});
    ~LoadTask();
    LoadTask(const LoadTask &) = delete;
    LoadTask &operator=(const LoadTask &) = delete;

    void start();

    /// @brief Handles another VM's query.
    void handle(http::Exchange &exchange);

    /// Path of the queries between VMs.
    static constexpr std::string_view path = "/teaseldrift/load";

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::relay
