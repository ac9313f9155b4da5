#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/store/store.hpp"

namespace teaseldrift::relay {

/// @brief Remembers which entries of a prefix were removed, so that a store that returns from an
/// older copy does not bring them back.
///
/// Such a copy holds the entries of VMs that have left since, until their leases end again.
class RemovedEntries
{
public:
    struct Options
    {
        /// Time after the store's return for which its copies of removed entries are passed over;
        /// longer than a lease, so that an entry that is there afterwards is renewed by someone.
        Duration settlingTime = 10s;
        /// Time for which a removal is remembered: the age of the copies that stores return to.
        Duration memory = std::chrono::hours(1);
        size_t maxEntries = 4096;
    };

    explicit RemovedEntries(Options options) : m_options(options) { }
    RemovedEntries() : RemovedEntries(Options()) { }

    /// @param revision of the entry's last write that is known
    void add(const std::string &key, uint64_t revision, Instant now)
    {
        std::erase_if(m_entries, [&](const std::pair<const std::string, Removal> &entry) {
            return now - entry.second.at > m_options.memory;
        });
        if (m_entries.size() >= m_options.maxEntries && !m_entries.contains(key)) {
            m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(),
                                             [](const std::pair<const std::string, Removal> &a,
                                                const std::pair<const std::string, Removal> &b) {
                                                 return a.second.at < b.second.at;
                                             }));
        }
        m_entries.insert_or_assign(key, Removal{.revision = revision, .at = now});
    }

    /// @brief The entry has been written again.
    void erase(const std::string &key) { m_entries.erase(key); }

    /// @brief The store has returned from an older copy.
    /// @param revision of the store, as first seen after that
    void storeRestored(uint64_t revision, Instant now)
    {
        m_restoredRevision = revision;
        m_restoredAt = now;
    }

    /// @brief Whether an entry of a snapshot is that of a copy and is known to be removed. One that
    /// was written again since the store's return is not.
    [[nodiscard]] bool isOutdated(const store::StoreEntry &entry, Instant now) const
    {
        if (m_restoredAt == Instant() || now - m_restoredAt > m_options.settlingTime) {
            return false;
        }
        const auto removal = m_entries.find(entry.key);
        return removal != m_entries.end() && entry.revision <= removal->second.revision
               && entry.revision <= m_restoredRevision;
    }

    /// @brief Time from which no entry is passed over any more.
    [[nodiscard]] Instant settlesAt() const { return m_restoredAt + m_options.settlingTime; }

private:
    struct Removal
    {
        uint64_t revision = 0;
        Instant at;
    };

    Options m_options;
    std::map<std::string, Removal, std::less<>> m_entries;
    uint64_t m_restoredRevision = 0;
    Instant m_restoredAt;
};

} // namespace teaseldrift::relay
