#pragma once

#include <cstdint>
#include <optional>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief Parameters of the speed estimates.
struct TargetSpeedOptions
{
    /// Bound of a target's factor, and the reciprocal of its lower bound. Limits what wrong figures
    /// of a target can do to its own share of the requests.
    double maxFactor = 4.0;
    /// Observations after which the estimate is an exponential moving average with the reciprocal
    /// as its gain. A power of two, because VMs exchange the count as a power of two.
    uint32_t maxSamples = 32;
    /// A reported momentary figure loses its effect linearly over this time: other load on a
    /// target's machine lasts about 0.6 s, and the figure arrives after its start.
    Duration momentaryTime = 500ms;
};

/// @brief What VMs tell each other about a target's speed; 4 bytes in a message.
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
/// from the target's load reports. A false momentary figure has a bounded and passing effect: the
/// estimate is measured relative to it, so a constant one cancels out.
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

    /// @brief Whether the target, or another VM about it, has reported a momentary figure. Without,
    /// the estimates have no effect.
    [[nodiscard]] bool isReported() const { return m_isReported; }

    /// @brief Time that work takes now, relative to the mean of the service's targets.
    [[nodiscard]] double factor(Instant now) const
    {
        return m_isReported ? bounded(m_usualFactor * momentaryFactor(now)) : 1.0;
    }

    /// @brief Slow-moving part of factor(); 1 without observations.
    [[nodiscard]] double usualFactor() const { return m_usualFactor; }

    /// @brief Momentary part of factor(), which decays to 1.
    [[nodiscard]] double momentaryFactor(Instant now) const
    {
        const Duration age = now - m_momentaryAt;
        if (age >= m_options.momentaryTime) {
            return 1.0;
        }
        const double weight = 1.0 - toSeconds(age) / toSeconds(m_options.momentaryTime);
        return 1.0 + (m_momentaryFactor - 1.0) * weight;
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
    [[nodiscard]] double bounded(double factor) const;
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

    [[nodiscard]] double msPerToken() const { return m_msPerToken; }
    [[nodiscard]] double baseMs() const { return m_baseMs; }
    [[nodiscard]] double expectedMs(double tokens) const
    {
        return m_baseMs + tokens * m_msPerToken;
    }

private:
    void add(double tokens, double ms, double weight);

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
