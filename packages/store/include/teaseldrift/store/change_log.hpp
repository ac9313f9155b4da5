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

/// @brief Recent changes of one prefix that a process has read from a store, kept to serve other
/// processes without further calls to the store.
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
        /// Changes kept: a few seconds of registrations of a large fleet.
        size_t maxChanges = 2000;
        /// A change with a larger value is not kept; readers get it from the store.
        size_t maxValueBytes = 16U << 10U;
    };

    explicit ChangeLog(Options options);
    ChangeLog();

    /// @brief Appends the changes that the store returned for a revision.
    ///
    /// Writes that leave a value unchanged are skipped, since registrations are renewed that way.
    /// Changes of a new epoch replace those of the old one. A response that the store sent before
    /// the one appended last is ignored: calls may overlap.
    /// @param after revision whose following changes were requested
    /// @param confirmedAt latest time at which the store can have sent the response
    void append(uint64_t after, const StoreSnapshot &changes, Instant confirmedAt);

    /// @brief Records that the store did not respond to a call, so that the log is no longer
    /// confirmed, unless a response to another call has confirmed it since.
    void markStoreUnavailable(Instant sentAt)
    {
        if (m_confirmedAt <= sentAt) {
            m_confirmedAt = Instant();
        }
    }

    /// @brief Changes after a revision, oldest first, with the revision up to which they are known.
    /// @return none if some of them are no longer kept
    [[nodiscard]] std::optional<StoreSnapshot> changesSince(uint64_t revision) const;

    /// @brief Revision up to which changes are known; 0 before the first response.
    [[nodiscard]] uint64_t revision() const { return m_revision; }

    /// @brief Epoch of the store's data.
    [[nodiscard]] uint64_t epoch() const { return m_epoch; }

    /// @brief When the store last sent a response; the clock's epoch if it has been unavailable
    /// since.
    [[nodiscard]] Instant confirmedAt() const { return m_confirmedAt; }

private:
    void restartAt(uint64_t revision);

    Options m_options;
    /// Changes up to this revision are no longer kept.
    uint64_t m_compactedRevision = 0;
    uint64_t m_revision = 0;
    uint64_t m_epoch = 0;
    Instant m_confirmedAt;
    std::deque<StoreEntry> m_changes;
    /// Hash of each key's latest value.
    std::map<std::string, size_t, std::less<>> m_valueHashes;
};

} // namespace teaseldrift::store
