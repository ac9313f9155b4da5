#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief How a VM knows when a weights version became the desired one.
enum class ChangeTimeSource {
    /// A VM that was running learned of the change then.
    Observed,
    /// A record in the store states the wall-clock time of another VM, whose clock may be wrong.
    Recorded,
    /// The earliest possible time, for a VM that learns late; used until another source is
    /// available.
    Assumed,
    /// No source: the change may be as old as the one before it, or as old as any.
    Unknown,
};

/// @brief Name of the source in logs.
[[nodiscard]] std::string_view name(ChangeTimeSource source);

/// @brief A desired weights version of a model and the time at which it became the desired one.
struct DesiredWeights
{
    uint64_t version = 0;
    Instant changedAt;
    /// Version that was the desired one before, 0 for none; empty if it is not known.
    std::optional<uint64_t> previous;
    /// Only the earliest possible time is known, see ChangeTimeSource::Assumed.
    bool isAssumed = false;
};

/// @brief Desired weights versions of one model and the time of each change.
///
/// Requests may start on older weights for a grace period after a change. Each VM learns of a
/// change at its own time, so the earliest observation of any VM counts; without one the recorded
/// time, then the assumed one. No source can move the change past the time at which this VM learned
/// of it.
///
/// Each version is judged by its own change. A version about which nothing is known, be it that
/// only its time is missing or that a newer one was learned without it, counts from the change
/// before it; if that is unknown, too, its grace period is over.
class DesiredWeightsHistory
{
public:
    /// @brief Adds a version or another source of its change time.
    /// @return whether the version is new or its change time differs from before
    bool add(uint64_t version, Instant changedAt, ChangeTimeSource source, Instant now);

    /// @brief Sets which version was the desired one before `version`, 0 for none: no others were
    /// in between. Without it, the number before `version` is taken for a version that was named.
    void setPrevious(uint64_t version, uint64_t previous);

    /// @brief When a version became the desired one; empty if it is not known.
    [[nodiscard]] std::optional<Instant> changedAt(uint64_t version) const;

    /// @brief Oldest version on which a request may start.
    /// @param gracePeriod time after a change during which requests may start on older weights
    [[nodiscard]] uint64_t minVersion(Instant now, Duration gracePeriod) const;

    /// @brief Latest time at which a request may start on a version; empty if no newer one is
    /// known.
    /// @param gracePeriod as for minVersion()
    [[nodiscard]] std::optional<Instant> latestStart(uint64_t version, Duration gracePeriod) const;

    /// @brief Versions with the earliest observation of this VM or another one, oldest first.
    [[nodiscard]] std::vector<DesiredWeights> observed() const;

    /// @brief Versions whose time is known, from whatever source, oldest first.
    [[nodiscard]] std::vector<DesiredWeights> known() const;

    /// @brief Newest version that a VM observed longer than the grace period ago; 0 if there is
    /// none. Older versions have no further effect, whatever else becomes known.
    [[nodiscard]] uint64_t newestSettled(Instant now, Duration gracePeriod) const;

    /// @brief Drops versions older than `minVersion`.
    void dropOlderThan(uint64_t minVersion);

private:
    struct Entry
    {
        uint64_t version = 0;
        /// When this VM learned of the version.
        Instant learnedAt;
        std::optional<Instant> observedAt;
        std::optional<Instant> recordedAt;
        std::optional<Instant> assumedAt;
        std::optional<uint64_t> previous;

        [[nodiscard]] std::optional<Instant> changedAt() const;
    };

    /// Calls `visit(version, changedAt)` for each change, with the earliest possible times of those
    /// that are not known.
    template <typename Visitor>
    void forEachChange(Visitor visit) const;

    /// Sorted by version.
    std::vector<Entry> m_entries;
};

} // namespace teaseldrift
