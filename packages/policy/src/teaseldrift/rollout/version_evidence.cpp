#include "teaseldrift/rollout/version_evidence.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "teaseldrift/base/milliseconds.hpp"
#include "teaseldrift/base/rendezvous.hpp"

namespace teaseldrift {

ResponseCounts &ResponseCounts::operator+=(const ResponseCounts &other)
{
    responses += other.responses;
    failures += other.failures;
    timed += other.timed;
    slow += other.slow;
    return *this;
}

RolloutCounts &RolloutCounts::operator+=(const RolloutCounts &other)
{
    if (other.order != order) {
        if (other.order > order) {
            *this = other;
        }
        return *this;
    }
    vms += other.vms;
    requests += other.requests;
    newRequests += other.newRequests;
    oldInFlight += other.oldInFlight;
    if (std::tie(other.fencing, other.sequence) < std::tie(fencing, sequence)) {
        fencing = other.fencing;
        sequence = other.sequence;
    }
    for (const std::pair<const EvidenceKey, ResponseCounts> &entry : other.responses) {
        responses[entry.first] += entry.second;
    }
    return *this;
}

uint32_t routeKeyOf(std::string_view route)
{
    constexpr uint64_t mask = std::numeric_limits<uint32_t>::max();
    return static_cast<uint32_t>(rendezvousKey(route) & mask);
}

void VersionEvidence::reset(uint64_t order)
{
    m_counts = RolloutCounts{.order = order, .vms = 1};
    m_oldMeans.clear();
}

void VersionEvidence::sent(bool isNewVersion)
{
    ++m_counts.requests;
    if (isNewVersion) {
        ++m_counts.newRequests;
    } else {
        ++m_counts.oldInFlight;
    }
}

void VersionEvidence::finished(bool isNewVersion)
{
    // The attempt may have begun before the last reset().
    if (!isNewVersion && m_counts.oldInFlight > 0) {
        --m_counts.oldInFlight;
    }
}

/// @return null if there are too many counters
ResponseCounts *VersionEvidence::countsOf(uint32_t route, uint32_t target)
{
    EvidenceKey key{.route = route, .target = target};
    const bool isKnown = m_counts.responses.contains(key);
    if (!isKnown && m_counts.responses.size() >= m_options.maxCounters
        && target != EvidenceKey::oldVersion) {
        key.target = EvidenceKey::otherTargets;
    }
    // Twice the limit leaves room for the counters that stand for several targets.
    if (!m_counts.responses.contains(key)
        && m_counts.responses.size() >= 2 * m_options.maxCounters) {
        return nullptr;
    }
    return &m_counts.responses[key];
}

/// @return empty if there is no mean to compare with
std::optional<bool> VersionEvidence::isSlow(uint32_t route, Duration time, Instant now) const
{
    const std::map<uint32_t, Mean>::const_iterator mean = m_oldMeans.find(route);
    if (mean == m_oldMeans.end() || mean->second.responses < m_options.minOldResponses
        || now - mean->second.updatedAt > m_options.meanMaxAge) {
        return std::nullopt;
    }
    return toMs(time) > m_options.slowFactor * mean->second.ms;
}

void VersionEvidence::responded(std::string_view route, uint32_t targetKey, bool isFailure,
                                std::optional<Duration> time, Instant now)
{
    const bool isOld = targetKey == EvidenceKey::oldVersion;
    const uint32_t routeKey = routeKeyOf(route);
    ResponseCounts *counts = countsOf(routeKey, targetKey);
    if (counts == nullptr) {
        return;
    }
    ++counts->responses;
    counts->failures += isFailure ? 1 : 0;
    if (isFailure || !time) {
        return;
    }
    if (const std::optional<bool> slow = isSlow(routeKey, *time, now)) {
        ++counts->timed;
        counts->slow += *slow ? 1 : 0;
    }
    if (isOld) {
        Mean &mean = m_oldMeans[routeKey];
        ++mean.responses;
        const double weight = std::max(m_options.meanWeight, 1.0 / mean.responses);
        mean.ms += weight * (toMs(*time) - mean.ms);
        mean.updatedAt = now;
    }
}

} // namespace teaseldrift
