#include "teaseldrift/weights/desired_weights_history.hpp"

#include <algorithm>

namespace teaseldrift {

namespace {

/// Stands for the time of a change about which nothing is known: before any grace period.
constexpr Instant unknownPast{std::chrono::hours(-24)};

constexpr uint64_t firstVersion = 1;

/// Versions kept; if more are named within a grace period, the oldest count as long past.
constexpr size_t maxEntries = 32;

} // namespace

std::string_view name(ChangeTimeSource source)
{
    switch (source) {
    case ChangeTimeSource::Observed:
        return "observed";
    case ChangeTimeSource::Recorded:
        return "recorded";
    case ChangeTimeSource::Assumed:
        return "assumed";
    case ChangeTimeSource::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::optional<Instant> DesiredWeightsHistory::Entry::changedAt() const
{
    return observedAt ? observedAt : recordedAt ? recordedAt : assumedAt;
}

template <typename Visitor>
void DesiredWeightsHistory::forEachChange(Visitor visit) const
{
    uint64_t lastVersion = 0;
    Instant lastChangedAt = unknownPast;
    for (const Entry &entry : m_entries) {
        const uint64_t previous
                = entry.previous.value_or(std::max(entry.version, firstVersion) - 1);
        // Versions older than the first one do not exist.
        if (previous > std::max(lastVersion, firstVersion)) {
            visit(previous, lastChangedAt);
        }
        lastChangedAt = entry.changedAt().value_or(lastChangedAt);
        lastVersion = entry.version;
        visit(lastVersion, lastChangedAt);
    }
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
    const std::optional<Instant> before = entry.changedAt();
    std::optional<Instant> &known = source == ChangeTimeSource::Observed   ? entry.observedAt
                                    : source == ChangeTimeSource::Recorded ? entry.recordedAt
                                                                           : entry.assumedAt;
    if (source != ChangeTimeSource::Unknown && changedAt <= entry.learnedAt) {
        known = known ? std::min(*known, changedAt) : changedAt;
    }
    const bool isChanged = isNew || before != entry.changedAt();
    if (m_entries.size() > maxEntries) {
        m_entries.erase(m_entries.begin());
    }
    return isChanged;
}

void DesiredWeightsHistory::setPrevious(uint64_t version, uint64_t previous)
{
    for (Entry &entry : m_entries) {
        if (entry.version == version && previous < version) {
            entry.previous = previous;
        }
    }
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
    forEachChange([&](uint64_t version, Instant changedAt) {
        if (now - changedAt > gracePeriod) {
            minVersion = std::max(minVersion, version);
        }
    });
    return minVersion;
}

std::optional<Instant> DesiredWeightsHistory::latestStart(uint64_t version,
                                                          Duration gracePeriod) const
{
    std::optional<Instant> latest;
    forEachChange([&](uint64_t newer, Instant changedAt) {
        if (newer > version) {
            const Instant end = changedAt + gracePeriod;
            latest = latest ? std::min(*latest, end) : end;
        }
    });
    return latest;
}

std::vector<DesiredWeights> DesiredWeightsHistory::observed() const
{
    std::vector<DesiredWeights> observed;
    for (const Entry &entry : m_entries) {
        if (entry.observedAt) {
            observed.push_back({.version = entry.version,
                                .changedAt = *entry.observedAt,
                                .previous = entry.previous});
        }
    }
    return observed;
}

std::vector<DesiredWeights> DesiredWeightsHistory::known() const
{
    std::vector<DesiredWeights> known;
    for (const Entry &entry : m_entries) {
        if (const std::optional<Instant> changedAt = entry.changedAt()) {
            known.push_back({.version = entry.version,
                             .changedAt = *changedAt,
                             .previous = entry.previous,
                             .isAssumed = !entry.observedAt && !entry.recordedAt});
        }
    }
    return known;
}

uint64_t DesiredWeightsHistory::newestSettled(Instant now, Duration gracePeriod) const
{
    uint64_t settled = 0;
    for (const Entry &entry : m_entries) {
        if (entry.observedAt && now - *entry.observedAt > gracePeriod) {
            settled = entry.version;
        }
    }
    return settled;
}

void DesiredWeightsHistory::dropOlderThan(uint64_t minVersion)
{
    std::erase_if(m_entries,
                  [minVersion](const Entry &entry) { return entry.version < minVersion; });
}

} // namespace teaseldrift
