#pragma once

#include <cstddef>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/homes/home_set.hpp"

namespace teaseldrift::allowance {

/// @brief Timeouts and limits of the allowance protocol. Only maximumListAge affects whether the
/// rate limits hold; the others affect latency and load.
struct Options
{
    homes::HomeSetOptions homeSet;
    /// Maximum age of a snapshot of the platform's VM list.
    Duration maximumListAge = 30s;
    /// Maximum time a request waits for tokens from other members.
    Duration gatherTimeout = 50ms;
    /// Maximum time a forwarded request waits for one member's answer.
    Duration forwardTimeout = 50ms;
    /// Members to which a request is forwarded, one after another, until one decides it.
    size_t maximumForwardAttempts = 3;
    /// How long a peer's reported level is used without asking it again.
    Duration hintLifetime = 100ms;
    /// How long a peer that did not answer in time is not waited for.
    Duration unresponsiveCooldown = 1s;
    Duration tickInterval = 10ms;
    /// Interval at which share is rebalanced according to demand.
    Duration balanceInterval = 250ms;
    /// Interval of reports to a peer while there is demand.
    Duration reportInterval = 1s;
    /// Interval of reports to a peer without demand, so that a process that replaced the peer's
    /// learns that it is a member.
    Duration idleReportInterval = 10s;
    /// Time constant of the moving average of demand.
    Duration demandWindow = 2s;
    /// Deviation of a share from its demand that is tolerated, as a fraction of the whole bucket.
    double balanceTolerance = 0.04;
    /// Demand that is assumed of each member in addition to its own, as a fraction of the rate.
    double idleDemand = 0.02;
    /// Delay before a handshake message, a fence or a conflicting store write is repeated.
    Duration retryInterval = 200ms;
    /// Delay before a division change is retried after a failed or unanswered store call or fence.
    Duration storeRetryInterval = 1s;
    /// Delay per rank of a home before it changes the division, so that homes rarely compete.
    Duration rankDelay = 2s;
    /// Pending requests per organisation, and forwarded ones likewise.
    size_t maximumPending = 1024;
    /// Remembered admissions for other VMs, whose unused tokens can still be refunded.
    size_t maximumRemoteAdmissions = 512;
};

} // namespace teaseldrift::allowance
