#pragma once

#include <cstddef>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/homes/home_set.hpp"

namespace teaseldrift::allowance {

/// @brief Times and bounds of the allowance protocol. Safety depends on maximumListAge only.
struct Options
{
    homes::HomeSetOptions homeSet;
    /// Longest age of a view of the platform's list.
    Duration maximumListAge = 30s;
    /// Longest time a question waits for tokens of other VMs.
    Duration gatherTimeout = 50ms;
    /// Longest time a VM without a share waits for one member's answer.
    Duration forwardTimeout = 50ms;
    /// Members that a VM without a share asks, one after another.
    size_t maximumForwardAttempts = 3;
    /// How long a peer's last known level spares another question.
    Duration hintLifetime = 100ms;
    /// How long a peer that did not answer is not waited for.
    Duration unresponsiveCooldown = 1s;
    Duration tickInterval = 10ms;
    /// Time between two looks at how demand is spread.
    Duration balanceInterval = 250ms;
    /// Longest time between two reports to a peer while there is demand.
    Duration reportInterval = 1s;
    /// Time over which demand is averaged.
    Duration demandWindow = 2s;
    /// Difference between share and demand that is left alone, as a part of the whole.
    double balanceTolerance = 0.04;
    /// Part of the rate that each member is taken to need without demand.
    double idleDemand = 0.02;
    /// Pause before a handshake, a fence or a store call is repeated.
    Duration retryInterval = 200ms;
    Duration storeRetryInterval = 1s;
    /// Delay of the second and later homes before they change a division.
    Duration rankDelay = 2s;
    /// Questions that wait at once for one organisation.
    size_t maximumPending = 1024;
    /// Admissions for other VMs whose unused tokens can still come back.
    size_t maximumRemoteAdmissions = 512;
};

} // namespace teaseldrift::allowance
