#include "teaseldrift/health/target_health.hpp"

#include <algorithm>
#include <cmath>

#include "teaseldrift/base/rendezvous.hpp"

namespace teaseldrift {

TargetHealth::TargetHealth(HealthOptions options) : m_options(options) { }

void TargetHealth::addTarget(std::string_view target, std::string_view pool, Instant now)
{
    const std::map<std::string, TargetState, std::less<>>::iterator known = m_targets.find(target);
    if (known != m_targets.end()) {
        known->second.pool = pool;
        return;
    }
    TargetState state{.pool = std::string(pool)};
    state.lastObservation = now;
    state.lastProbe = now;
    m_targets.emplace(target, std::move(state));
}

void TargetHealth::removeTarget(std::string_view target)
{
    const std::map<std::string, TargetState, std::less<>>::iterator known = m_targets.find(target);
    if (known != m_targets.end()) {
        m_targets.erase(known);
    }
}

void TargetHealth::setLeaving(std::string_view target, bool isLeaving)
{
    const std::map<std::string, TargetState, std::less<>>::iterator known = m_targets.find(target);
    if (known != m_targets.end()) {
        known->second.isLeaving = isLeaving;
    }
}

void TargetHealth::report(std::string_view target, HealthObservation observation, Instant now)
{
    const std::map<std::string, TargetState, std::less<>>::iterator known = m_targets.find(target);
    if (known == m_targets.end()) {
        return;
    }
    TargetState &state = known->second;
    state.lastObservation = now;
    if (observation != HealthObservation::Responded) {
        recordFailure(target, state, now);
        return;
    }
    state.consecutiveFailures = 0;
    state.consecutiveEjections = 0;
    state.isEjected = false;
}

void TargetHealth::recordFailure(std::string_view target, TargetState &state, Instant now)
{
    ++state.consecutiveFailures;
    const bool isProbeFailure = state.isEjected && now >= state.ejectedUntil;
    const bool reachesThreshold
            = !state.isEjected && state.consecutiveFailures >= m_options.ejectionThreshold;
    if (!isProbeFailure && !(reachesThreshold && mayEject(state))) {
        return;
    }
    eject(target, state, now);
}

void TargetHealth::eject(std::string_view target, TargetState &state, Instant now)
{
    state.isEjected = true;
    state.ejectedUntil = now + ejectionTime(state.consecutiveEjections)
                         + trialDelay(target, state.consecutiveEjections);
    ++state.consecutiveEjections;
}

/// Spreads the trials of a target over the senders, which have ejected it at about the same time.
Duration TargetHealth::trialDelay(std::string_view target, uint32_t earlierEjections) const
{
    if (!m_options.isTriedByRequests) {
        return Duration(0);
    }
    constexpr uint64_t steps = 1U << 16U;
    const uint64_t key = rendezvousKey(std::string(target) + '/' + std::to_string(earlierEjections)
                                       + '/' + std::to_string(m_options.spreadKey));
    const double position = static_cast<double>(key % steps) / static_cast<double>(steps);
    const double seconds = position * static_cast<double>(m_senders) / m_options.maxTrialsPerSecond;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

bool TargetHealth::isTrialDue(const TargetState &state, Instant now) const
{
    return m_options.isTriedByRequests && state.isEjected && now >= state.ejectedUntil;
}

void TargetHealth::sent(std::string_view target, Instant now)
{
    const std::map<std::string, TargetState, std::less<>>::iterator known = m_targets.find(target);
    if (known != m_targets.end() && isTrialDue(known->second, now)) {
        // Counts as failed until it has a response: it may end without any observation.
        eject(target, known->second, now);
    }
}

void TargetHealth::refused(std::string_view target)
{
    const std::map<std::string, TargetState, std::less<>>::iterator known = m_targets.find(target);
    if (known != m_targets.end() && known->second.isEjected) {
        known->second.consecutiveFailures = 0;
        known->second.consecutiveEjections = 0;
        known->second.isEjected = false;
    }
}

Duration TargetHealth::ejectionTime(uint32_t earlierEjections) const
{
    Duration duration = m_options.baseEjectionTime;
    for (uint32_t i = 0; i < earlierEjections && duration < m_options.maxEjectionTime; ++i) {
        duration *= 2;
    }
    return std::min(duration, m_options.maxEjectionTime);
}

TargetHealth::PoolCounts TargetHealth::countTargets(std::string_view pool) const
{
    PoolCounts count;
    for (const std::pair<const std::string, TargetState> &entry : m_targets) {
        if (entry.second.pool == pool && !entry.second.isLeaving) {
            ++count.size;
            count.available += entry.second.isEjected ? 0 : 1;
        }
    }
    return count;
}

bool TargetHealth::mayEject(const TargetState &state) const
{
    const PoolCounts count = countTargets(state.pool);
    const double minAvailable
            = std::ceil(m_options.minAvailableFraction * static_cast<double>(count.size));
    return state.isLeaving || static_cast<double>(count.available) > std::max(1.0, minAvailable);
}

bool TargetHealth::isEligible(std::string_view target) const
{
    const std::map<std::string, TargetState, std::less<>>::const_iterator known
            = m_targets.find(target);
    if (known == m_targets.end() || known->second.isLeaving) {
        return false;
    }
    return !known->second.isEjected || countTargets(known->second.pool).available == 0;
}

bool TargetHealth::isEligible(std::string_view target, Instant now) const
{
    const std::map<std::string, TargetState, std::less<>>::const_iterator known
            = m_targets.find(target);
    return known != m_targets.end() && !known->second.isLeaving
           && (isTrialDue(known->second, now) || isEligible(target));
}

std::vector<std::string> TargetHealth::takeProbes(Instant now)
{
    std::vector<std::string> probes;
    for (std::pair<const std::string, TargetState> &entry : m_targets) {
        TargetState &state = entry.second;
        const bool isDue = state.isEjected
                                   ? now >= state.ejectedUntil
                                   : now - state.lastObservation >= m_options.idleProbeDelay;
        if (isDue && !state.isLeaving && now - state.lastProbe >= m_options.minProbeInterval) {
            state.lastProbe = now;
            probes.push_back(entry.first);
        }
    }
    return probes;
}

size_t TargetHealth::ejectedCount(std::string_view pool) const
{
    return static_cast<size_t>(
            std::count_if(m_targets.begin(), m_targets.end(),
                          [pool](const std::pair<const std::string, TargetState> &entry) {
                              return entry.second.pool == pool && entry.second.isEjected;
                          }));
}

} // namespace teaseldrift
