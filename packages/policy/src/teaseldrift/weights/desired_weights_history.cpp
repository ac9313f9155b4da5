#include "teaseldrift/weights/desired_weights_history.hpp"

#include <algorithm>

namespace teaseldrift {

std::string_view name(ChangeTimeSource source)
{
    switch (source) {
    case ChangeTimeSource::Observed:
        return "observed";
    case ChangeTimeSource::Recorded:
        return "recorded";
    case ChangeTimeSource::Assumed:
        return "assumed";
    }
    return "unknown";
}

Instant DesiredWeightsHistory::Entry::changedAt() const
{
    return observedAt.value_or(recordedAt.value_or(assumedAt.value_or(learnedAt)));
}

bool DesiredWeightsHistory::add(uint64_t version, Instant changedAt, ChangeTimeSource source,
                                Instant now)
{
    const auto position = std::lower_bound(
            m_entries.begin(), m_entries.end(), version,
            [](const Entry &entry, uint64_t wanted) { return entry.version < wanted; });
    const bool isNew = position == m_entries.end() || position->version != version;
    Entry &entry = isNew ? *m_entries.insert(position, {.version = version, .learnedAt = now})
                         : *position;
    const Instant before = entry.changedAt();
    std::optional<Instant> &known = source == ChangeTimeSource::Observed   ? entry.observedAt
                                    : source == ChangeTimeSource::Recorded ? entry.recordedAt
                                                                           : entry.assumedAt;
    if (changedAt <= entry.learnedAt) {
        known = known ? std::min(*known, changedAt) : changedAt;
    }
    return isNew || before != entry.changedAt();
}

std::optional<Instant> DesiredWeightsHistory::changedAt(uint64_t version) const
{
    for (const Entry &entry : m_entries) {
        if (entry.version == version) {
            return entry.changedAt();
        }
    }
    return std::nullopt;
}

uint64_t DesiredWeightsHistory::minVersion(Instant now, Duration gracePeriod) const
{
    uint64_t minVersion = 0;
    for (const Entry &entry : m_entries) {
        if (now - entry.changedAt() > gracePeriod) {
            minVersion = entry.version;
        }
    }
    return minVersion;
}

std::optional<Instant> DesiredWeightsHistory::latestStart(uint64_t version,
                                                          Duration gracePeriod) const
{
    std::optional<Instant> latest;
    for (const Entry &entry : m_entries) {
        if (entry.version > version) {
            const Instant end = entry.changedAt() + gracePeriod;
            latest = latest ? std::min(*latest, end) : end;
        }
    }
    return latest;
}

std::vector<DesiredWeights> DesiredWeightsHistory::observed() const
{
    std::vector<DesiredWeights> observed;
    for (const Entry &entry : m_entries) {
        if (entry.observedAt) {
            observed.push_back({.version = entry.version, .changedAt = *entry.observedAt});
        }
    }
    return observed;
}

void DesiredWeightsHistory::dropOlderThan(uint64_t minVersion)
{
    std::erase_if(m_entries,
                  [minVersion](const Entry &entry) { return entry.version < minVersion; });
}

} // namespace teaseldrift
