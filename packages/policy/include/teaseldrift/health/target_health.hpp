#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief What an attempt or probe showed about its target.
enum class HealthObservation {
    /// The target sent a response, or part of one, that does not count as an ErrorResponse.
    Responded,
    ConnectFailed,
    /// The connection was lost during an attempt.
    ConnectionBroken,
    /// No data arrived within the time-out.
    TimedOut,
    /// The response indicates that the target itself has failed.
    ErrorResponse,
};

/// @brief Configuration of ejection and probing.
struct HealthOptions
{
    /// Number of consecutive failures after which a target is ejected.
    uint32_t ejectionThreshold = 3;
    /// Time until an ejected target is probed; doubles with each consecutive ejection.
    Duration baseEjectionTime = 1s;
    Duration maxEjectionTime = 30s;
    /// A target is probed if nothing has been reported about it for this time.
    Duration idleProbeDelay = 10s;
    /// Minimum time between two probes of a target.
    Duration minProbeInterval = 1s;
    /// Fraction of a pool that is never ejected; always at least one target.
    double minAvailableFraction = 0.5;
    /// Requests are the trials of ejected targets, instead of probes.
    bool isTriedByRequests = false;
    /// Trials of the senders' requests are spread so that about as many reach a target in a second.
    /// More would add to the failures that callers' requests have to retry; fewer would leave a
    /// target of 195 VMs without its share for longer than some seconds.
    double maxTrialsPerSecond = 50.0;
    /// Different for each sender, so that they try a target at different times.
    uint64_t spreadKey = 0;
};

/// @brief Decides which targets may receive new requests, from the results of attempts and probes.
///
/// Targets are ejected from their pool after consecutive failures and probed until they respond.
/// With HealthOptions::isTriedByRequests, one request may try an ejected target once its ejection
/// time has passed (half-open circuit breaker); its response makes the target eligible for all.
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

    /// @brief Adds a target, or updates the pool of a known one, which keeps its state.
    /// @param pool name of a group of interchangeable targets
    void addTarget(std::string_view target, std::string_view pool, Instant now);

    void removeTarget(std::string_view target);

    /// @brief Sets whether a target is leaving. A leaving target is never eligible, regardless of
    /// the rest of its pool.
    void setLeaving(std::string_view target, bool isLeaving);

    /// @brief Reports the result of an attempt or a probe.
    void report(std::string_view target, HealthObservation observation, Instant now);

    /// @brief Whether a target may receive new requests. Unknown targets may not.
    ///
    /// Ejections are ignored while every target of the pool that is not leaving is ejected.
    [[nodiscard]] bool isEligible(std::string_view target) const;

    /// @brief Like isEligible(target), or the target is ejected and one request may try it now.
    [[nodiscard]] bool isEligible(std::string_view target, Instant now) const;

    /// @brief Records that a request is sent to the target. If it tries an ejected target, no other
    /// may until it has responded or a longer ejection time has passed.
    void sent(std::string_view target, Instant now);

    /// @brief Records that the target has refused a request. An ejected one can then be reached
    /// again; otherwise a refusal says nothing about the target's health.
    void refused(std::string_view target);

    /// @brief Sets the number of senders that share the targets and their trials.
    void setSenders(size_t count) { m_senders = count; }

    /// @brief Returns the targets to probe now, and records them as probed: targets whose ejection
    /// time has passed, and idle ones.
    std::vector<std::string> takeProbes(Instant now);

    /// @brief Number of targets of a pool that are currently ejected.
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
        /// Targets that are neither leaving nor ejected.
        size_t available = 0;
    };

    void recordFailure(std::string_view target, TargetState &state, Instant now);
    void eject(std::string_view target, TargetState &state, Instant now);
    [[nodiscard]] bool isTrialDue(const TargetState &state, Instant now) const;
    [[nodiscard]] Duration ejectionTime(uint32_t earlierEjections) const;
    [[nodiscard]] Duration trialDelay(std::string_view target, uint32_t earlierEjections) const;
    [[nodiscard]] PoolCounts countTargets(std::string_view pool) const;
    [[nodiscard]] bool mayEject(const TargetState &state) const;

    HealthOptions m_options;
    size_t m_senders = 1;
    std::map<std::string, TargetState, std::less<>> m_targets;
};

} // namespace teaseldrift
