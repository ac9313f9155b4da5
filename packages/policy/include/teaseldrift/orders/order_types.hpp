#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/schema/orders.pb.h"

namespace teaseldrift {

/// @brief Desired state of a model: version, adapters and number of targets that serve it.
struct DesiredModel
{
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    uint32_t replicas = 0;
};

/// @brief State that a target reports about itself.
struct TargetReport
{
    std::string target;
    /// Model that is served or being loaded; empty for none.
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    bool isLoading = false;
    /// Requests in flight from all VMs.
    uint32_t inFlight = 0;
    /// Time of the report, or a lower bound for it.
    Instant reportedAt;
};

/// @brief A target that accepts orders.
struct OrderTarget
{
    std::string id;
    bool isLeaving = false;
};

/// @brief An order to a target.
struct Order
{
    std::string target;
    schema::OrderKind kind = schema::LOAD_MODEL;
    std::string model;
    std::string version;
    std::string adapter;
    /// Fencing token; grows with each change of controller.
    uint64_t fencing = 0;
    /// The order must not be written to a connection after this time, and the connection must be
    /// closed by then.
    Instant sendDeadline;
};

struct OrderOptions
{
    Duration leaseTtl = 5s;
    /// Longest time from the check of Order::sendDeadline until the order has arrived or can no
    /// longer arrive: connection time-out plus the longest pause of the process between the two.
    Duration maxOrderLifetime = 3s;
    /// Maximum relative difference between the clock rates of two machines.
    double clockDrift = 0.01;
    /// Weight loads in progress at once in the whole fleet.
    uint32_t maxConcurrentLoads = 2;
    /// Longest load; a target without a report for longer no longer counts as loading.
    Duration maxLoadTime = 60s;
    /// Time after which no VM routes to a withdrawn target any more.
    Duration withdrawalDelay = 2s;
    /// Targets of a model that may be out of service at once to load a new version.
    uint32_t maxUnavailable = 1;
};

/// @brief Orders to send and targets to withdraw.
struct OrderPlan
{
    /// Whether this VM is the active controller and must publish `withdrawn`. Until then the list
    /// of the earlier controller stays in force.
    bool isActive = false;
    /// Targets that must get no new requests, because they are about to load weights.
    std::vector<std::string> withdrawn;
    std::vector<Order> orders;
};

} // namespace teaseldrift
