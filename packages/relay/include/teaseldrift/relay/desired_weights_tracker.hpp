#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/relay/fleet_records.hpp"
#include "teaseldrift/relay/fleet_state.hpp"
#include "teaseldrift/schema/vm_record.pb.h"
#include "teaseldrift/store/store.hpp"
#include "teaseldrift/weights/weights_record.hpp"

namespace teaseldrift::relay {

/// @brief Stores when the desired weights versions of a model changed, and passes their ages to
/// FleetState.
///
/// Requests may start on older weights for a limited time after the change. A VM that starts up, or
/// that was suspended or disconnected at the change, must know how much of that time is left, also
/// if no VM is left that saw the change. Each version is judged by its own change, so the record
/// holds all that may still matter.
template <store::LongPollStore Store>
class DesiredWeightsTracker
{
public:
    struct Options
    {
        std::string prefix = "teaseldrift/weights/";
        /// Delay between the writes of two VMs: all would write the same record, and one write
        /// suffices.
        Duration writeStagger = 200ms;
        /// A VM that has been connected to the store for this long learns of a change in time, so
        /// that a stale read suffices.
        Duration connectedTime = 5s;
        /// Delay after a call without a response, or a write that had no effect. It doubles with
        /// each further failure to write a record, as all VMs try to.
        Duration retryDelay = 500ms;
        /// Returns the wall-clock time.
        std::function<int64_t()> unixMs;
        /// Optional; returns the start of a suspension of this process during which a change that
        /// it learns of now may have happened; empty if there was none.
        std::function<std::optional<Instant>(Instant now)> suspendedSince;
    };

    DesiredWeightsTracker(http::EventLoop &loop, Store &store, FleetState &fleet, Options options)
        : m_loop(loop), m_store(store), m_fleet(fleet), m_options(std::move(options))
    { }

    DesiredWeightsTracker(const DesiredWeightsTracker &) = delete;
    DesiredWeightsTracker &operator=(const DesiredWeightsTracker &) = delete;

    /// @brief Applies a desired weights version.
    /// @param onApplied called after FleetState has been updated
    void update(const WeightsRecord &record, RecordOrigin origin,
                const std::function<void()> &onApplied)
    {
        if (origin == RecordOrigin::FirstRead) {
            // The version may have been named long ago, and older ones before it. Requests may
            // arrive before the store has responded.
            apply(record, Duration(0), ChangeTimeSource::Unknown);
            readRecord(record, store::ReadConsistency::Current, onApplied);
            return;
        }
        const Instant now = http::EventLoop::now();
        const std::optional<Instant> suspendedSince
                = m_options.suspendedSince ? m_options.suspendedSince(now) : std::nullopt;
        const uint64_t before = m_fleet.weightRollout().desiredVersion(record.model);
        if (suspendedSince) {
            apply(record, now - *suspendedSince, ChangeTimeSource::Assumed);
        } else {
            apply(record, Duration(0), ChangeTimeSource::Observed);
        }
        // A version that is written again says nothing of those before it.
        if (origin == RecordOrigin::Change && before < record.version) {
            m_fleet.setPreviousWeights(record.model, record.version, before);
        }
        onApplied();
        const bool isTimely
                = !suspendedSince && m_fleet.isStoreConnectedSince(now - m_options.connectedTime);
        readRecord(record,
                   isTimely ? store::ReadConsistency::AllowStale : store::ReadConsistency::Current,
                   [] {});
        scheduleSave(record);
    }

    /// @brief Writes the records again after the store has returned from an older copy.
    void storeRestored()
    {
        for (const std::pair<const std::string, uint64_t> &desired :
             m_fleet.weightRollout().desiredVersions()) {
            scheduleSave({.model = desired.first, .version = desired.second});
        }
    }

private:
    /// Greatest age that is taken from a record; older changes have the same effect.
    static constexpr Duration maxRecordedAge = std::chrono::hours(24);

    void scheduleSave(const WeightsRecord &record)
    {
        m_loop.startTimer(m_options.writeStagger * static_cast<int64_t>(m_fleet.rank()),
                          [this, record] { save(record, store::ReadConsistency::AllowStale, 0); });
    }

    void apply(const WeightsRecord &record, Duration age, ChangeTimeSource source)
    {
        m_fleet.setDesiredWeights(record.model, record.version, age, source,
                                  http::EventLoop::now());
    }

    [[nodiscard]] bool isDesired(const WeightsRecord &record) const
    {
        return m_fleet.weightRollout().desiredVersion(record.model) == record.version;
    }

    /// Applies the recorded times of the changes; repeats the read until the store responds.
    /// @param onFirstRead called once
    void readRecord(const WeightsRecord &record, store::ReadConsistency consistency,
                    const std::function<void()> &onFirstRead)
    {
        m_store.readPrefix(m_options.prefix + record.model, consistency,
                           [this, record, onFirstRead](std::error_code error,
                                                       const store::StoreSnapshot &snapshot) {
                               if (!error) {
                                   applyRecorded(record, findRecord(record, snapshot).naming);
                               }
                               onFirstRead();
                               if (error && isDesired(record)) {
                                   m_loop.startTimer(m_options.retryDelay, [this, record] {
                                       readRecord(record, store::ReadConsistency::Current, [] {});
                                   });
                               }
                           });
    }

    /// Applies the changes up to the version that the operators' record names.
    void applyRecorded(const WeightsRecord &record, const schema::WeightsNaming &naming)
    {
        const int64_t nowMs = m_options.unixMs();
        const int64_t maxAgeMs = maxRecordedAge / 1ms;
        for (const RecordedWeightsChange &change : changesOf(naming)) {
            if (change.version > record.version) {
                continue;
            }
            // Subtracts bounded values only: the record may hold any number.
            const int64_t changedAtMs = std::clamp(change.changedAtUnixMs, nowMs - maxAgeMs, nowMs);
            apply({.model = record.model, .version = change.version},
                  std::chrono::milliseconds(nowMs - changedAtMs), ChangeTimeSource::Recorded);
            if (change.previous) {
                m_fleet.setPreviousWeights(record.model, change.version, *change.previous);
            }
        }
    }

    struct FoundRecord
    {
        schema::WeightsNaming naming;
        /// 0 if the store has no record.
        uint64_t revision = 0;
    };

    /// Returns the model's record; an empty one if there is none or it cannot be parsed.
    [[nodiscard]] FoundRecord findRecord(const WeightsRecord &record,
                                         const store::StoreSnapshot &snapshot) const
    {
        FoundRecord found;
        for (const store::StoreEntry &entry : snapshot.entries) {
            if (entry.key == m_options.prefix + record.model) {
                found.revision = entry.revision;
                if (!found.naming.ParseFromString(entry.value)) {
                    found.naming.Clear();
                }
            }
        }
        return found;
    }

    /// Adds the changes to the record that it lacks.
    /// @param failures number of earlier attempts
    void save(const WeightsRecord &record, store::ReadConsistency consistency, unsigned failures)
    {
        if (!isDesired(record)) {
            return;
        }
        m_store.readPrefix(m_options.prefix + record.model, consistency,
                           [this, record, failures](std::error_code error,
                                                    const store::StoreSnapshot &snapshot) {
                               if (error) {
                                   saveAgain(record, failures + 1);
                                   return;
                               }
                               const FoundRecord found = findRecord(record, snapshot);
                               const std::optional<schema::WeightsNaming> merged = mergeChanges(
                                       found.naming, record.model, knownChanges(record.model),
                                       m_options.unixMs() - settlingTime() / 1ms);
                               if (merged) {
                                   write(record, *merged, found.revision, failures);
                               }
                           });
    }

    void saveAgain(const WeightsRecord &record, unsigned failures)
    {
        constexpr unsigned maxDoublings = 5;
        m_loop.startTimer(m_options.retryDelay * (1U << std::min(failures - 1, maxDoublings)),
                          [this, record, failures] {
                              save(record, store::ReadConsistency::Current, failures);
                          });
    }

    /// Time after which a change is dropped from the record; covers the difference of two VMs'
    /// clocks.
    [[nodiscard]] Duration settlingTime() const
    {
        return 2 * m_fleet.options().olderWeightsGracePeriod;
    }

    [[nodiscard]] std::vector<RecordedWeightsChange> knownChanges(std::string_view model) const
    {
        const Instant now = http::EventLoop::now();
        const int64_t nowMs = m_options.unixMs();
        std::vector<RecordedWeightsChange> changes;
        for (const DesiredWeights &known : m_fleet.knownDesiredWeights(model)) {
            changes.push_back({.version = known.version,
                               .changedAtUnixMs = nowMs - (now - known.changedAt) / 1ms,
                               .previous = known.previous,
                               .isAssumed = known.isAssumed});
        }
        return changes;
    }

    /// @param revision revision of the key's present record; the write has no effect if another VM
    /// has written since
    /// @param failures as for save()
    void write(const WeightsRecord &record, const schema::WeightsNaming &naming, uint64_t revision,
               unsigned failures)
    {
        const std::array<store::StoreWrite, 1> writes{
                store::StoreWrite{.key = m_options.prefix + record.model,
                                  .value = naming.SerializeAsString(),
                                  .expectedRevision = revision}};
        m_store.write(writes, [this, record, failures](const store::StoreWriteResult &result) {
            // What another VM has written instead may lack something.
            if (result.outcome != store::StoreOutcome::Written) {
                saveAgain(record, failures + 1);
            }
        });
    }

    http::EventLoop &m_loop;
    Store &m_store;
    FleetState &m_fleet;
    Options m_options;
};

} // namespace teaseldrift::relay
