#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief What an attempt told about its target.
enum class HealthEvidence {
    /// An answer, whatever its status, or part of one.
    Answered,
    ConnectFailed,
    /// The connection broke within an attempt.
    Broken,
    /// No byte within the progress bound.
    Silent,
    /// An answer that says the target itself is out of order.
    Failed,
};

/// @brief Bounds of ejection.
struct HealthOptions
{
    /// Failures without an answer in between that eject a target.
    uint32_t failuresToEject = 3;
    /// Time until an ejected target is probed; doubles with each ejection in a row.
    Duration firstEjection = 1s;
    Duration longestEjection = 30s;
    /// A target without evidence for this long is probed.
    Duration idleBeforeProbe = 10s;
    /// Least time between two probes of a target.
    Duration probeInterval = 1s;
    /// Part of a pool that is never ejected, at least one target.
    double minAvailable = 0.5;
};

/// @brief Which targets may get new work, by evidence of the attempts made.
///
/// ```cpp
/// health.addTarget("engine-1", "model-a");
/// health.report("engine-1", HealthEvidence::ConnectFailed, now);
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
    void report(std::string_view target, HealthEvidence evidence, Instant now);

    /// @brief Whether a target may get new work; an unknown one may not.
    ///
    /// Ejection counts for nothing while all that have not left their pool are ejected.
    [[nodiscard]] bool isEligible(std::string_view target) const;

    /// @brief Targets to be probed now: ejected ones whose time is over, and idle ones.
    std::vector<std::string> takeProbes(Instant now);

    /// @brief Targets of a pool that are ejected now.
    [[nodiscard]] size_t ejectedIn(std::string_view pool) const;

private:
    struct State
    {
        std::string pool;
        uint32_t failures = 0;
        uint32_t ejections = 0;
        bool isEjected = false;
        bool isLeaving = false;
        Instant ejectedUntil;
        Instant lastEvidence;
        Instant lastProbe;
    };

    struct PoolCount
    {
        /// Targets that are not leaving.
        size_t size = 0;
        /// Of these, the ones that are not ejected.
        size_t available = 0;
    };

    void reportFailure(State &state, Instant now);
    [[nodiscard]] Duration ejectionTime(uint32_t earlierEjections) const;
    [[nodiscard]] PoolCount countPool(std::string_view pool) const;
    [[nodiscard]] bool mayEject(const State &state) const;

    HealthOptions m_options;
    std::map<std::string, State, std::less<>> m_targets;
};

} // namespace teaseldrift
