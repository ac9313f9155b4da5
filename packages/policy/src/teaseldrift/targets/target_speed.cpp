#include "teaseldrift/targets/target_speed.hpp"

#include <algorithm>
#include <cmath>

#include "teaseldrift/base/milliseconds.hpp"

namespace teaseldrift {

namespace {

/// Layout of a packed SharedSpeed, from the lowest bit.
constexpr unsigned usualBits = 8;
constexpr unsigned samplesBits = 4;
constexpr unsigned observedAgeBits = 5;
constexpr unsigned momentaryBits = 5;
constexpr unsigned momentaryAgeBits = 5;
static_assert(usualBits + samplesBits + observedAgeBits + momentaryBits + momentaryAgeBits
                      + SharedSpeed::incarnationBits
              == 32);

/// Steps per doubling of a factor. Two bounds of 4 fit: factors are at most 16 and at least 1/16.
constexpr double usualSteps = 16.0;
/// Momentary factors are at most 3.7 and at least 1/4.
constexpr double momentarySteps = 8.0;
/// Ages of a momentary figure are told in these steps and capped at 31 of them, longer than
/// TargetSpeedOptions::momentaryTime.
constexpr Duration momentaryAgeStep = 20ms;
/// Ages of observations double with each second step, from 20 ms to about 10 min.
constexpr double observedAgeSteps = 2.0;
constexpr double observedAgeUnitMs = 20.0;

/// Weight of an observation that is slower than expected. Queues that a VM can't see only add time,
/// so the estimates lean towards the fastest observations.
constexpr double slowerWeight = 0.5;

/// A machine without other load is little faster than usual. Bounds what a target can attract by
/// false figures.
constexpr double minMomentaryFactor = 0.7;
/// The usual speed is not observed while a target is slower than this.
constexpr double maxObservedMomentaryFactor = 1.5;

/// Change of a factor that is sent to other VMs at once; a smaller one waits for its turn.
constexpr double notableChange = 1.1;

/// Weight of the prior of a PrefillCurve, in observations.
constexpr double priorWeight = 1.0;
/// Factor by which the weight of older observations shrinks with each new one.
constexpr double keptWeight = 1.0 - 1.0 / 128.0;
/// Prompt at which the prior's second point lies, about that of a long prompt.
constexpr double priorTokens = 4000.0;
/// The learned speed differs from the prior by no more than this factor.
constexpr double maxSpeedRatio = 8.0;

uint32_t toLevel(double factor, double steps, unsigned bits)
{
    const double middle = static_cast<double>(1U << (bits - 1U));
    const double level = std::round(std::log2(factor) * steps) + middle;
    return static_cast<uint32_t>(std::clamp(level, 0.0, 2.0 * middle - 1.0));
}

double fromLevel(uint32_t level, double steps, unsigned bits)
{
    const double middle = static_cast<double>(1U << (bits - 1U));
    return std::exp2((static_cast<double>(level) - middle) / steps);
}

uint32_t capped(double value, unsigned bits)
{
    return static_cast<uint32_t>(std::clamp(value, 0.0, static_cast<double>((1U << bits) - 1U)));
}

/// Takes the lowest bits of a packed number.
uint32_t takeBits(uint32_t &packed, unsigned bits)
{
    const uint32_t value = packed & ((1U << bits) - 1U);
    packed >>= bits;
    return value;
}

bool isNotable(double before, double after)
{
    return after > before * notableChange || after * notableChange < before;
}

} // namespace

uint32_t incarnationNumber(uint64_t startedAtMs)
{
    // Multiplicative hash; start times of consecutive incarnations are often whole seconds.
    constexpr uint64_t multiplier = 0x9e3779b97f4a7c15U;
    constexpr unsigned wordBits = 64;
    return static_cast<uint32_t>((startedAtMs * multiplier)
                                 >> (wordBits - SharedSpeed::incarnationBits));
}

uint32_t SharedSpeed::pack() const
{
    uint32_t packed = 0;
    unsigned shift = 0;
    const auto put = [&packed, &shift](uint32_t value, unsigned bits) {
        packed |= value << shift;
        shift += bits;
    };
    put(toLevel(usualFactor, usualSteps, usualBits), usualBits);
    put(capped(samples, samplesBits), samplesBits);
    put(capped(std::round(std::log2(1.0 + std::max(0.0, toMs(observedAge)) / observedAgeUnitMs)
                          * observedAgeSteps),
               observedAgeBits),
        observedAgeBits);
    put(toLevel(momentaryFactor, momentarySteps, momentaryBits), momentaryBits);
    put(capped(std::floor(toMs(momentaryAge) / toMs(momentaryAgeStep)), momentaryAgeBits),
        momentaryAgeBits);
    put(incarnation, incarnationBits);
    return packed;
}

SharedSpeed SharedSpeed::unpack(uint32_t packed)
{
    SharedSpeed speed;
    speed.usualFactor = fromLevel(takeBits(packed, usualBits), usualSteps, usualBits);
    speed.samples = takeBits(packed, samplesBits);
    speed.observedAge
            = fromMs((std::exp2(takeBits(packed, observedAgeBits) / observedAgeSteps) - 1.0)
                     * observedAgeUnitMs);
    speed.momentaryFactor
            = fromLevel(takeBits(packed, momentaryBits), momentarySteps, momentaryBits);
    speed.momentaryAge
            = momentaryAgeStep * static_cast<int64_t>(takeBits(packed, momentaryAgeBits));
    speed.incarnation = packed;
    return speed;
}

TargetSpeed::TargetSpeed(uint64_t startedAtMs, TargetSpeedOptions options)
    : m_options(options), m_isReported(options.isAlwaysMeasured),
      m_incarnation(incarnationNumber(startedAtMs))
{ }

void TargetSpeed::noteChange(Instant now)
{
    if (isNotable(m_notedUsual, m_usualFactor) || isNotable(m_notedMomentary, m_momentaryFactor)) {
        m_changedAt = now;
        m_notedUsual = m_usualFactor;
        m_notedMomentary = m_momentaryFactor;
    }
}

void TargetSpeed::reportMomentary(uint32_t percent, Instant now)
{
    constexpr double usualPercent = 100.0;
    m_isReported = true;
    // A figure that has lost its effect counts as 1, whatever it was.
    m_notedMomentary = now - m_momentaryAt >= m_options.momentaryTime ? 1.0 : m_notedMomentary;
    m_momentaryFactor = std::clamp(percent / usualPercent, minMomentaryFactor, m_options.maxFactor);
    m_momentaryAt = now;
    noteChange(now);
}

void TargetSpeed::observe(double relativeTime, Instant now)
{
    // The momentary factor may have changed during a slowed prefill, or be false.
    if (!(relativeTime > 0.0) || momentaryFactor(now) > maxObservedMomentaryFactor) {
        return;
    }
    // An estimate that has lost its effect by its age has no weight in the new one either.
    if (m_samples > 0 && now - m_observedAt >= m_options.usualTime) {
        m_samples = 0;
        m_usualFactor = 1.0;
    }
    const double observed = bounded(relativeTime / momentaryFactor(now));
    m_samples = std::min(m_samples + 1, m_options.maxSamples);
    // The first observation has half the weight of the prior's, so that one late response does not
    // decide alone.
    const double gain = (observed > m_usualFactor ? slowerWeight : 1.0)
                        / (static_cast<double>(m_samples) + 1.0);
    m_usualFactor = bounded(m_usualFactor * std::pow(observed / m_usualFactor, gain));
    m_observedAt = now;
    noteChange(now);
}

std::optional<SharedSpeed> TargetSpeed::shared(Instant now) const
{
    const bool isMomentaryFresh
            = m_momentaryAt != Instant() && now - m_momentaryAt < m_options.momentaryTime;
    if (!m_isReported || (m_samples == 0 && !isMomentaryFresh)) {
        return std::nullopt;
    }
    return SharedSpeed{.usualFactor = m_usualFactor,
                       .samples = m_samples,
                       .observedAge = m_samples == 0 ? Duration(0) : now - m_observedAt,
                       .momentaryFactor = isMomentaryFresh ? m_momentaryFactor : 1.0,
                       .momentaryAge
                       = isMomentaryFresh ? now - m_momentaryAt : m_options.momentaryTime,
                       .incarnation = m_incarnation};
}

void TargetSpeed::merge(const SharedSpeed &other, Instant now)
{
    if (other.incarnation != m_incarnation) {
        return;
    }
    m_isReported = true;
    // Ages have a resolution, without which two VMs would exchange equal states as new ones.
    const Instant momentaryAt = now - other.momentaryAge;
    if (other.momentaryAge < m_options.momentaryTime
        && momentaryAt > m_momentaryAt + momentaryAgeStep) {
        m_notedMomentary = now - m_momentaryAt >= m_options.momentaryTime ? 1.0 : m_notedMomentary;
        m_momentaryFactor
                = std::clamp(other.momentaryFactor, minMomentaryFactor, m_options.maxFactor);
        m_momentaryAt = momentaryAt;
    }
    // An estimate of few observations does not replace one of many; between equal ones the newer
    // counts.
    const Duration resolution = std::max<Duration>(other.observedAge / 2, momentaryAgeStep);
    const bool isNewer = now - other.observedAge > m_observedAt + resolution;
    if (other.samples > 0
        && (other.samples > m_samples || (other.samples == m_samples && isNewer))) {
        m_samples = std::min(other.samples, m_options.maxSamples);
        m_usualFactor = bounded(other.usualFactor);
        m_observedAt = now - other.observedAge;
    }
    noteChange(now);
}

PrefillCurve::PrefillCurve(double tokensPerMs, double baseMs)
    : m_priorMsPerToken(1.0 / tokensPerMs), m_msPerToken(m_priorMsPerToken), m_baseMs(baseMs)
{
    add(0.0, baseMs, priorWeight / 2);
    add(priorTokens, baseMs + priorTokens * m_priorMsPerToken, priorWeight / 2);
}

void PrefillCurve::add(double tokens, double ms, double weight)
{
    m_weight += weight;
    m_tokens += weight * tokens;
    m_ms += weight * ms;
    m_tokensSquared += weight * tokens * tokens;
    m_tokensMs += weight * tokens * ms;
}

void PrefillCurve::observe(double tokens, double ms)
{
    if (!(ms > 0.0)) {
        return;
    }
    for (double *sum : {&m_weight, &m_tokens, &m_ms, &m_tokensSquared, &m_tokensMs}) {
        *sum *= keptWeight;
    }
    // One response that was held up must not move the mean by more than its weight.
    m_observations = std::min(m_observations + 1, minObservations);
    const double expected = expectedMs(tokens);
    add(tokens, std::clamp(ms, expected / maxSpeedRatio, expected * maxSpeedRatio),
        ms > expected ? slowerWeight : 1.0);
    const double variance = m_tokensSquared - m_tokens * m_tokens / m_weight;
    // Prompts of one length say nothing about the speed; the fixed part then takes the difference.
    constexpr double minDeviation = 50.0;
    if (variance > minDeviation * minDeviation * m_weight) {
        const double slope = (m_tokensMs - m_tokens * m_ms / m_weight) / variance;
        m_msPerToken = std::clamp(slope, m_priorMsPerToken / maxSpeedRatio,
                                  m_priorMsPerToken * maxSpeedRatio);
    }
    m_baseMs = std::max(0.0, (m_ms - m_msPerToken * m_tokens) / m_weight);
}

} // namespace teaseldrift
