#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/store/store.hpp"

namespace teaseldrift::store {

/// @brief The newest changes of one prefix, as one process learned them from a store, kept for
/// others that would ask for the same.
///
/// ```cpp
/// log.append(after, changes, now);
/// if (std::optional<StoreSnapshot> missed = log.changesSince(revision)) { ... }
/// ```
class ChangeLog
{
public:
    struct Options
    {
        /// Changes that are kept: some seconds' worth of a large fleet's registrations.
        size_t maxChanges = 2000;
        /// Larger values are not kept: whoever wants them asks the store.
        size_t maxValueBytes = 16U << 10U;
    };

    explicit ChangeLog(Options options);
    ChangeLog();

    /// @brief Takes the answer to a question for the changes after a revision.
    ///
    /// A value that is written again as it was is no change: registrations are renewed that way.
    void append(uint64_t after, const StoreSnapshot &changes, Instant now);

    /// @brief The store could not be asked: nothing is known of the present any more.
    void markStoreUnavailable() { m_confirmedAt = Instant(); }

    /// @brief Changes after a revision, oldest first, and the revision up to which they are known.
    /// @return none if some of them are not kept
    [[nodiscard]] std::optional<StoreSnapshot> changesSince(uint64_t revision) const;

    /// @brief Revision up to which changes are known; 0 before the first answer.
    [[nodiscard]] uint64_t revision() const { return m_revision; }

    /// @brief When the store last answered; the clock's beginning if it could not be asked since.
    [[nodiscard]] Instant confirmedAt() const { return m_confirmedAt; }

private:
    void restartAt(uint64_t revision);

    Options m_options;
    /// Changes after this revision are kept.
    uint64_t m_compactedRevision = 0;
    uint64_t m_revision = 0;
    Instant m_confirmedAt;
    std::deque<StoreEntry> m_changes;
    /// Hash of each key's last value.
    std::map<std::string, size_t, std::less<>> m_valueHashes;
};

} // namespace teaseldrift::store
