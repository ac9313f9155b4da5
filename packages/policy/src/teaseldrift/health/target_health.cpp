#include "teaseldrift/health/target_health.hpp"

#include <algorithm>
#include <cmath>

namespace teaseldrift {

TargetHealth::TargetHealth(HealthOptions options) : m_options(options) { }

void TargetHealth::addTarget(std::string_view target, std::string_view pool, Instant now)
{
    const std::map<std::string, State, std::less<>>::iterator known = m_targets.find(target);
    if (known != m_targets.end()) {
        known->second.pool = pool;
        return;
    }
    State state{.pool = std::string(pool)};
    state.lastEvidence = now;
    state.lastProbe = now;
    m_targets.emplace(target, std::move(state));
}

void TargetHealth::removeTarget(std::string_view target)
{
    const std::map<std::string, State, std::less<>>::iterator known = m_targets.find(target);
    if (known != m_targets.end()) {
        m_targets.erase(known);
    }
}

void TargetHealth::setLeaving(std::string_view target, bool isLeaving)
{
    const std::map<std::string, State, std::less<>>::iterator known = m_targets.find(target);
    if (known != m_targets.end()) {
        known->second.isLeaving = isLeaving;
    }
}

void TargetHealth::report(std::string_view target, HealthEvidence evidence, Instant now)
{
    const std::map<std::string, State, std::less<>>::iterator known = m_targets.find(target);
    if (known == m_targets.end()) {
        return;
    }
    State &state = known->second;
    state.lastEvidence = now;
    if (evidence != HealthEvidence::Answered) {
        reportFailure(state, now);
        return;
    }
    state.failures = 0;
    state.ejections = 0;
    state.isEjected = false;
}

void TargetHealth::reportFailure(State &state, Instant now)
{
    ++state.failures;
    const bool isProbeFailure = state.isEjected && now >= state.ejectedUntil;
    const bool isFirst = !state.isEjected && state.failures >= m_options.failuresToEject;
    if (!isProbeFailure && !(isFirst && mayEject(state))) {
        return;
    }
    state.isEjected = true;
    state.ejectedUntil = now + ejectionTime(state.ejections);
    ++state.ejections;
}

Duration TargetHealth::ejectionTime(uint32_t earlierEjections) const
{
    Duration time = m_options.firstEjection;
    for (uint32_t i = 0; i < earlierEjections && time < m_options.longestEjection; ++i) {
        time *= 2;
    }
    return std::min(time, m_options.longestEjection);
}

TargetHealth::PoolCount TargetHealth::countPool(std::string_view pool) const
{
    PoolCount count;
    for (const std::pair<const std::string, State> &entry : m_targets) {
        if (entry.second.pool == pool && !entry.second.isLeaving) {
            ++count.size;
            count.available += entry.second.isEjected ? 0 : 1;
        }
    }
    return count;
}

bool TargetHealth::mayEject(const State &state) const
{
    const PoolCount count = countPool(state.pool);
    const double least = std::ceil(m_options.minAvailable * static_cast<double>(count.size));
    return state.isLeaving || static_cast<double>(count.available) > std::max(1.0, least);
}

bool TargetHealth::isEligible(std::string_view target) const
{
    const std::map<std::string, State, std::less<>>::const_iterator known = m_targets.find(target);
    if (known == m_targets.end() || known->second.isLeaving) {
        return false;
    }
    return !known->second.isEjected || countPool(known->second.pool).available == 0;
}

std::vector<std::string> TargetHealth::takeProbes(Instant now)
{
    std::vector<std::string> probes;
    for (std::pair<const std::string, State> &entry : m_targets) {
        State &state = entry.second;
        const bool isDue = state.isEjected ? now >= state.ejectedUntil
                                           : now - state.lastEvidence >= m_options.idleBeforeProbe;
        if (isDue && !state.isLeaving && now - state.lastProbe >= m_options.probeInterval) {
            state.lastProbe = now;
            probes.push_back(entry.first);
        }
    }
    return probes;
}

size_t TargetHealth::ejectedIn(std::string_view pool) const
{
    return static_cast<size_t>(
            std::count_if(m_targets.begin(), m_targets.end(),
                          [pool](const std::pair<const std::string, State> &entry) {
                              return entry.second.pool == pool && entry.second.isEjected;
                          }));
}

} // namespace teaseldrift
