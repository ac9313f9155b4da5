#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief What an attempt told about its target.
enum class HealthObservation {
    /// An answer, whatever its status, or part of one.
    Responded,
    ConnectFailed,
    /// The connection broke within an attempt.
    ConnectionBroken,
    /// No byte within the progress bound.
    TimedOut,
    /// An answer that says the target itself is out of order.
    ErrorResponse,
};

/// @brief Bounds of ejection.
struct HealthOptions
{
    /// Failures without an answer in between that eject a target.
    uint32_t ejectionThreshold = 3;
    /// Time until an ejected target is probed; doubles with each ejection in a row.
    Duration baseEjectionTime = 1s;
    Duration maxEjectionTime = 30s;
    /// A target without evidence for this long is probed.
    Duration idleProbeDelay = 10s;
    /// Least time between two probes of a target.
    Duration minProbeInterval = 1s;
    /// Part of a pool that is never ejected, at least one target.
    double minAvailableFraction = 0.5;
};

/// @brief Which targets may get new work, by evidence of the attempts made.
///
/// ```cpp
/// health.addTarget("engine-1", "model-a");
/// health.report("engine-1", HealthObservation::ConnectFailed, now);
/// if (health.isEligible("engine-1")) { ... }
/// for (const std::string &target : health.takeProbes(now)) { ... }
/// ```
class TargetHealth
{
public:
    explicit TargetHealth(HealthOptions options = {});

    /// @brief Makes a target known; one that is known keeps its state.
    /// @param pool targets that can stand in for one another
    void addTarget(std::string_view target, std::string_view pool, Instant now);

    void removeTarget(std::string_view target);

    /// @brief A leaving target is excluded at once, whatever the rest of its pool.
    void setLeaving(std::string_view target, bool isLeaving);

    /// @brief Takes evidence from an attempt or a probe.
    void report(std::string_view target, HealthObservation observation, Instant now);

    /// @brief Whether a target may get new work; an unknown one may not.
    ///
    /// Ejection counts for nothing while all that have not left their pool are ejected.
    [[nodiscard]] bool isEligible(std::string_view target) const;

    /// @brief Targets to be probed now: ejected ones whose time is over, and idle ones.
    std::vector<std::string> takeProbes(Instant now);

    /// @brief Targets of a pool that are ejected now.
    [[nodiscard]] size_t ejectedCount(std::string_view pool) const;

private:
    struct TargetState
    {
        std::string pool;
        uint32_t consecutiveFailures = 0;
        uint32_t consecutiveEjections = 0;
        bool isEjected = false;
        bool isLeaving = false;
        Instant ejectedUntil;
        Instant lastObservation;
        Instant lastProbe;
    };

    struct PoolCounts
    {
        /// Targets that are not leaving.
        size_t size = 0;
        /// Of these, the ones that are not ejected.
        size_t available = 0;
    };

    void recordFailure(TargetState &state, Instant now);
    [[nodiscard]] Duration ejectionTime(uint32_t earlierEjections) const;
    [[nodiscard]] PoolCounts countTargets(std::string_view pool) const;
    [[nodiscard]] bool mayEject(const TargetState &state) const;

    HealthOptions m_options;
    std::map<std::string, TargetState, std::less<>> m_targets;
};

} // namespace teaseldrift
