#pragma once

#include <cstdint>

#include "teaseldrift/http/buffer_budget.hpp"
#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/relay/fleet_state.hpp"
#include "teaseldrift/relay/service_rollouts.hpp"
#include "teaseldrift/relay/target_connector.hpp"
#include "teaseldrift/relay/target_permits.hpp"
#include "teaseldrift/relay/usage_task.hpp"
#include "teaseldrift/telemetry/event_log.hpp"
#include "teaseldrift/telemetry/metrics.hpp"

namespace teaseldrift::relay {

/// @brief Services shared by all requests of a process.
struct RelayContext
{
    http::EventLoop &loop;
    TargetConnector &targets;
    FleetState &fleet;
    UsageTask &usage;
    TargetPermits &permits;
    telemetry::EventLog &log;
    telemetry::Metrics &metrics;
    /// For what requests hold of responses; null for no limit.
    http::BufferBudget *buffers = nullptr;
    /// Null if the deployment makes no rollouts of services.
    ServiceRollouts *rollouts = nullptr;
};

} // namespace teaseldrift::relay
