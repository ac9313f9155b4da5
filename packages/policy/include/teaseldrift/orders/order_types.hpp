#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/schema/orders.pb.h"

namespace teaseldrift {

/// @brief Which model, version and adapters how many targets shall serve.
struct DesiredModel
{
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    uint32_t replicas = 0;
};

/// @brief What a target reports about itself.
struct TargetReport
{
    std::string target;
    /// Model being served or loaded; empty for none.
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    bool isLoading = false;
    /// Requests in flight over all VMs, as the target reports them.
    uint32_t inFlight = 0;
    /// When the target made the report, or the latest time before which it cannot have made it.
    Instant reportedAt;
};

/// @brief A target that orders can be given to.
struct OrderTarget
{
    std::string id;
    bool isLeaving = false;
};

/// @brief An order for a target.
struct Order
{
    std::string target;
    schema::OrderKind kind = schema::LOAD_MODEL;
    std::string model;
    std::string version;
    std::string adapter;
    /// Grows with each change of controller.
    uint64_t fencing = 0;
    /// The order must not be handed to a connection after this time, and the connection must be
    /// closed by then.
    Instant sendDeadline;
};

/// @brief Bounds of orders.
struct OrderOptions
{
    /// Lease of the controller.
    Duration leaseTtl = 5s;
    /// Longest time from the check of Order::sendDeadline until the target has the order or never
    /// gets it: connection time-out plus the longest pause of a process between the two.
    Duration maxOrderLifetime = 3s;
    /// Part by which clocks of two machines may differ in rate.
    double clockDrift = 0.01;
    /// Weight loads under way at once over the whole fleet.
    uint32_t maxConcurrentLoads = 2;
    /// Longest load; a target silent for longer no longer counts as loading.
    Duration maxLoadTime = 60s;
    /// Time until all VMs have stopped routing to a withdrawn target.
    Duration withdrawalDelay = 2s;
    /// Targets of a model that may be out of service at once for a new version.
    uint32_t maxUnavailable = 1;
};

/// @brief What the controller wants done.
struct OrderPlan
{
    /// Whether `withdrawn` is to be published; until then an earlier controller's list holds.
    bool isActive = false;
    /// Targets that shall get no new requests, because they are about to load.
    std::vector<std::string> withdrawn;
    std::vector<Order> orders;
};

} // namespace teaseldrift
