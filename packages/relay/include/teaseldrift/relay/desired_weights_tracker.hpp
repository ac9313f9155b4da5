#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <system_error>
#include <utility>

#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/relay/fleet_records.hpp"
#include "teaseldrift/relay/fleet_state.hpp"
#include "teaseldrift/schema/vm_record.pb.h"
#include "teaseldrift/store/store.hpp"

namespace teaseldrift::relay {

/// @brief Stores when the desired weights version of a model changed, and passes its age to
/// FleetState.
///
/// Requests may start on older weights for a limited time after the change. A VM that starts up, or
/// that was suspended or disconnected at the change, must know how much of that time is left.
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
        /// Delay after a read without a response.
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
    /// @param isLiveChange whether the record changed while this VM was watching the store
    /// @param onApplied called after FleetState has been updated
    void update(const WeightsRecord &record, bool isLiveChange,
                const std::function<void()> &onApplied)
    {
        if (!isLiveChange) {
            readRecord(record, store::ReadConsistency::Current,
                       [this, record, onApplied](bool isRecorded) {
                           if (!isRecorded) {
                               // The version may be new, or all VMs may have failed before one of
                               // them wrote the record.
                               apply(record, m_fleet.options().olderWeightsGracePeriod / 2,
                                     ChangeTimeSource::Assumed);
                               scheduleSave(record);
                           }
                           onApplied();
                       });
            return;
        }
        const Instant now = http::EventLoop::now();
        const std::optional<Instant> suspendedSince
                = m_options.suspendedSince ? m_options.suspendedSince(now) : std::nullopt;
        if (suspendedSince) {
            apply(record, now - *suspendedSince, ChangeTimeSource::Assumed);
        } else {
            apply(record, Duration(0), ChangeTimeSource::Observed);
        }
        onApplied();
        const bool isTimely
                = !suspendedSince && m_fleet.isStoreConnectedSince(now - m_options.connectedTime);
        readRecord(record,
                   isTimely ? store::ReadConsistency::AllowStale : store::ReadConsistency::Current,
                   [](bool) {});
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
    void scheduleSave(const WeightsRecord &record)
    {
        m_loop.startTimer(m_options.writeStagger * static_cast<int64_t>(m_fleet.rank()),
                          [this, record] { saveIfNewer(record); });
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

    /// Applies the recorded time of the change; repeats the read until the store responds.
    /// @param onFirstRead called once, with whether the store has a record of the change
    void readRecord(const WeightsRecord &record, store::ReadConsistency consistency,
                    const std::function<void(bool)> &onFirstRead)
    {
        m_store.readPrefix(m_options.prefix + record.model, consistency,
                           [this, record, onFirstRead](std::error_code error,
                                                       const store::StoreSnapshot &snapshot) {
                               const std::optional<Duration> age
                                       = error ? std::nullopt : recordedAge(record, snapshot);
                               if (age) {
                                   apply(record, *age, ChangeTimeSource::Recorded);
                               }
                               onFirstRead(age.has_value());
                               if (error && isDesired(record)) {
                                   m_loop.startTimer(m_options.retryDelay, [this, record] {
                                       readRecord(record, store::ReadConsistency::Current,
                                                  [](bool) {});
                                   });
                               }
                           });
    }

    /// Returns the key's record; empty if there is none.
    [[nodiscard]] std::optional<schema::WeightsNaming>
    recordOf(const WeightsRecord &record, const store::StoreEntry &entry) const
    {
        schema::WeightsNaming naming;
        if (entry.key != m_options.prefix + record.model || !naming.ParseFromString(entry.value)) {
            return std::nullopt;
        }
        return naming;
    }

    [[nodiscard]] std::optional<Duration> recordedAge(const WeightsRecord &record,
                                                      const store::StoreSnapshot &snapshot) const
    {
        for (const store::StoreEntry &entry : snapshot.entries) {
            const std::optional<schema::WeightsNaming> naming = recordOf(record, entry);
            if (naming && naming->version() == record.version) {
                const int64_t ageMs = m_options.unixMs() - naming->named_at_unix_ms();
                return std::chrono::milliseconds(std::max<int64_t>(0, ageMs));
            }
        }
        return std::nullopt;
    }

    void saveIfNewer(const WeightsRecord &record)
    {
        m_store.readPrefix(
                m_options.prefix + record.model, store::ReadConsistency::AllowStale,
                [this, record](std::error_code error, const store::StoreSnapshot &snapshot) {
                    if (!isDesired(record)) {
                        return;
                    }
                    if (error) {
                        m_loop.startTimer(m_options.retryDelay,
                                          [this, record] { saveIfNewer(record); });
                        return;
                    }
                    uint64_t revision = 0;
                    for (const store::StoreEntry &entry : snapshot.entries) {
                        const std::optional<schema::WeightsNaming> naming = recordOf(record, entry);
                        if (naming && naming->version() >= record.version) {
                            return;
                        }
                        if (entry.key == m_options.prefix + record.model) {
                            revision = entry.revision;
                        }
                    }
                    write(record, revision);
                });
    }

    /// @param revision revision of the key's present record; the write has no effect if another VM
    /// has written since
    void write(const WeightsRecord &record, uint64_t revision)
    {
        const Duration age
                = m_fleet.desiredWeightsAge(record.model, record.version, http::EventLoop::now());
        schema::WeightsNaming naming;
        naming.set_model(record.model);
        naming.set_version(record.version);
        naming.set_named_at_unix_ms(m_options.unixMs() - age / 1ms);
        const std::array<store::StoreWrite, 1> writes{
                store::StoreWrite{.key = m_options.prefix + record.model,
                                  .value = naming.SerializeAsString(),
                                  .expectedRevision = revision}};
        // If the write is lost, a VM that starts up assumes that half of the grace period is left.
        m_store.write(writes, [](store::StoreWriteResult) {});
    }

    http::EventLoop &m_loop;
    Store &m_store;
    FleetState &m_fleet;
    Options m_options;
};

} // namespace teaseldrift::relay
