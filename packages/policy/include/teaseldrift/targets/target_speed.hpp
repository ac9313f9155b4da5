#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief Parameters of the speed estimates.
struct TargetSpeedOptions
{
    /// Targets are known to differ in speed, so that measured times take effect also for targets
    /// that report no momentary figure.
    bool isAlwaysMeasured = false;
    /// Bound of a target's factor, and the reciprocal of its lower bound. Limits what wrong figures
    /// of a target can do to its own share of the requests.
    double maxFactor = 4.0;
    /// Observations after which the estimate is an exponential moving average with about the
    /// reciprocal as its gain. The most that a message between VMs can state.
    uint32_t maxSamples = 15;
    /// A reported momentary figure loses its effect linearly over this time: other load on a
    /// target's machine lasts about 0.6 s, and the figure arrives after its start.
    Duration momentaryTime = 500ms;
    /// Without observations the estimate loses its effect linearly over this time. Otherwise a
    /// target that was found slow, or has reported false figures, would get no request that could
    /// show anything else.
    Duration usualTime = 60s;
};

/// @brief Speed of a target as VMs exchange it; 4 bytes in a message.
struct SharedSpeed
{
    /// Time that work takes, relative to the mean of the service's targets.
    double usualFactor = 1.0;
    /// Observations behind `usualFactor`; 0 for none.
    uint32_t samples = 0;
    /// Age of the newest of these observations; capped in messages.
    Duration observedAge{0};
    /// Time that work takes at present, relative to what is usual for the target.
    double momentaryFactor = 1.0;
    /// Age of `momentaryFactor`; capped in messages.
    Duration momentaryAge{0};
    /// Distinguishes incarnations of a target: the lowest bits of a hash of its start time.
    uint32_t incarnation = 0;

    /// Bits of `incarnation` in a message.
    static constexpr unsigned incarnationBits = 5;

    [[nodiscard]] uint32_t pack() const;
    [[nodiscard]] static SharedSpeed unpack(uint32_t packed);
};

/// @brief Number that stands for an incarnation in SharedSpeed.
/// @param startedAtMs see TargetEntry::startedAtMs
[[nodiscard]] uint32_t incarnationNumber(uint64_t startedAtMs);

/// @brief Estimates how long work takes at one target, relative to the mean of its service.
///
/// The product of a slow-moving estimate, from times to the first event, and a momentary factor,
/// from the target's load reports. A false momentary figure has a bounded and passing effect. A
/// constant one below 150 percent cancels out, since the estimate is measured relative to it.
///
/// ```cpp
/// speed.reportMomentary(250, now);
/// speed.observe(measuredMs / curve.expectedMs(tokens), now);
/// const double ms = curve.expectedMs(tokens) * speed.factor(now);
/// ```
class TargetSpeed
{
public:
    explicit TargetSpeed(uint64_t startedAtMs = 0, TargetSpeedOptions options = {});

    /// @brief Records the fourth figure of a load report.
    /// @param percent time that work takes at present; 100 is usual for the target
    void reportMomentary(uint32_t percent, Instant now);

    /// @brief Records the time to the first event of a request that did not queue.
    /// @param relativeTime measured time divided by that expected of the service's mean target
    void observe(double relativeTime, Instant now);

    /// @brief Whether the target, or another VM about it, has reported a momentary figure, or
    /// targets are always measured. Without, the estimates have no effect.
    [[nodiscard]] bool isReported() const { return m_isReported; }

    /// @brief Time that work takes now, relative to the mean of the service's targets.
    [[nodiscard]] double factor(Instant now) const
    {
        return m_isReported ? bounded(usualFactor(now) * momentaryFactor(now)) : 1.0;
    }

    /// @brief Slow-moving part of factor(), which decays to 1 without observations.
    [[nodiscard]] double usualFactor(Instant now) const
    {
        return decayed(m_usualFactor, now - m_observedAt, m_options.usualTime);
    }

    /// @brief Momentary part of factor(), which decays to 1.
    [[nodiscard]] double momentaryFactor(Instant now) const
    {
        return decayed(m_momentaryFactor, now - m_momentaryAt, m_options.momentaryTime);
    }

    /// @brief When an estimate last changed by more than its resolution in messages.
    [[nodiscard]] Instant changedAt() const { return m_changedAt; }

    [[nodiscard]] uint32_t samples() const { return m_samples; }

    /// @brief State for other VMs; empty if nothing was learned.
    [[nodiscard]] std::optional<SharedSpeed> shared(Instant now) const;

    /// @brief Takes over what another VM has learned, if that is newer. Merging is idempotent, and
    /// the order of messages has no effect.
    void merge(const SharedSpeed &other, Instant now);

private:
    [[nodiscard]] double bounded(double factor) const
    {
        return std::clamp(factor, 1.0 / m_options.maxFactor, m_options.maxFactor);
    }
    static double decayed(double factor, Duration age, Duration time)
    {
        return age >= time ? 1.0 : 1.0 + (factor - 1.0) * (1.0 - toSeconds(age) / toSeconds(time));
    }
    void noteChange(Instant now);

    TargetSpeedOptions m_options;
    bool m_isReported = false;
    uint32_t m_incarnation = 0;
    uint32_t m_samples = 0;
    double m_usualFactor = 1.0;
    Instant m_observedAt;
    double m_momentaryFactor = 1.0;
    Instant m_momentaryAt;
    Instant m_changedAt;
    /// Values at m_changedAt.
    double m_notedUsual = 1.0;
    double m_notedMomentary = 1.0;
};

/// @brief Learns the mean time to the first event of a service's targets without a queue: a fixed
/// part plus a part per prompt token, by linear regression with exponential forgetting.
class PrefillCurve
{
public:
    /// @param tokensPerMs prior of the speed
    /// @param baseMs prior of the fixed part, in milliseconds
    PrefillCurve(double tokensPerMs, double baseMs);

    /// @brief Records a request that did not queue.
    void observe(double tokens, double ms);

    /// @brief Whether enough requests were observed for targets to be compared with the mean.
    [[nodiscard]] bool isSettled() const { return m_observations >= minObservations; }

    [[nodiscard]] double msPerToken() const { return m_msPerToken; }
    [[nodiscard]] double baseMs() const { return m_baseMs; }
    [[nodiscard]] double expectedMs(double tokens) const
    {
        return m_baseMs + tokens * m_msPerToken;
    }

private:
    void add(double tokens, double ms, double weight);

    static constexpr uint32_t minObservations = 16;

    uint32_t m_observations = 0;
    double m_priorMsPerToken;
    double m_msPerToken;
    double m_baseMs;
    /// Weighted sums of the regression.
    double m_weight = 0.0;
    double m_tokens = 0.0;
    double m_ms = 0.0;
    double m_tokensSquared = 0.0;
    double m_tokensMs = 0.0;
};

} // namespace teaseldrift
