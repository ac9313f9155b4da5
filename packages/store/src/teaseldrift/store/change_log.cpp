#include "teaseldrift/store/change_log.hpp"

#include <algorithm>
#include <functional>

namespace teaseldrift::store {

ChangeLog::ChangeLog(Options options) : m_options(options) { }

ChangeLog::ChangeLog() : ChangeLog(Options()) { }

void ChangeLog::restartAt(uint64_t revision)
{
    m_compactedRevision = revision;
    m_revision = revision;
    m_changes.clear();
    m_valueHashes.clear();
}

void ChangeLog::append(uint64_t after, const StoreSnapshot &changes, Instant confirmedAt)
{
    const bool isSameEpoch = changes.epoch == m_epoch;
    if (isSameEpoch && changes.revision < m_revision && after < m_revision) {
        // The store sent this before the response that was appended last.
        return;
    }
    m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
    const bool overlaps = isSameEpoch && after >= m_compactedRevision && after <= m_revision;
    if (!overlaps) {
        m_epoch = changes.epoch;
        restartAt(after);
    }
    for (const StoreEntry &entry : changes.entries) {
        if (entry.revision <= m_revision && overlaps) {
            continue;
        }
        if (entry.value.size() > m_options.maxValueBytes) {
            restartAt(std::max(after, changes.revision));
            return;
        }
        if (entry.deleted) {
            m_valueHashes.erase(entry.key);
        } else {
            const size_t value = std::hash<std::string>()(entry.value);
            const auto [known, isNew] = m_valueHashes.try_emplace(entry.key, value);
            if (!isNew && known->second == value) {
                continue;
            }
            known->second = value;
        }
        m_changes.push_back(entry);
    }
    m_revision = std::max(after, changes.revision);
    while (m_changes.size() > m_options.maxChanges) {
        m_compactedRevision = m_changes.front().revision;
        m_changes.pop_front();
    }
}

std::optional<StoreSnapshot> ChangeLog::changesSince(uint64_t revision) const
{
    if (revision < m_compactedRevision) {
        return std::nullopt;
    }
    StoreSnapshot missed{.revision = std::max(revision, m_revision), .epoch = m_epoch};
    for (const StoreEntry &change : m_changes) {
        if (change.revision > revision) {
            missed.entries.push_back(change);
        }
    }
    missed.count = missed.entries.size();
    return missed;
}

} // namespace teaseldrift::store
