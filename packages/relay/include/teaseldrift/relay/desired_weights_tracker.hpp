#pragma once

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <string>
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
/// Requests may start on older weights for a limited time after the change. A VM that starts up
/// must know how much of that time is left.
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
        /// Returns the wall-clock time.
        std::function<int64_t()> unixMs;
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
        if (isLiveChange) {
            m_fleet.setDesiredWeights(record.model, record.version, Duration(0),
                                      http::EventLoop::now());
            onApplied();
            const int64_t changedAt = m_options.unixMs();
            m_loop.startTimer(m_options.writeStagger * static_cast<int64_t>(m_fleet.rank()),
                              [this, record, changedAt] { saveIfNewer(record, changedAt); });
            return;
        }
        m_store.readPrefix(m_options.prefix + record.model, store::ReadConsistency::Current,
                           [this, record, onApplied](std::error_code error,
                                                     const store::StoreSnapshot &snapshot) {
                               m_fleet.setDesiredWeights(record.model, record.version,
                                                         ageOf(record, error, snapshot),
                                                         http::EventLoop::now());
                               onApplied();
                           });
    }

private:
    /// Returns the age of a desired version. If no record of the change exists, the version may be
    /// new, or all VMs may have failed before one of them wrote the record; half of the grace
    /// period is assumed.
    [[nodiscard]] Duration ageOf(const WeightsRecord &record, std::error_code error,
                                 const store::StoreSnapshot &snapshot) const
    {
        const Duration unknownAge = m_fleet.options().olderWeightsGracePeriod / 2;
        if (error) {
            return unknownAge;
        }
        for (const store::StoreEntry &entry : snapshot.entries) {
            schema::WeightsNaming naming;
            if (naming.ParseFromString(entry.value) && naming.model() == record.model
                && naming.version() == record.version) {
                const int64_t ageMs = m_options.unixMs() - naming.named_at_unix_ms();
                return std::chrono::milliseconds(std::max<int64_t>(0, ageMs));
            }
        }
        return unknownAge;
    }

    void saveIfNewer(const WeightsRecord &record, int64_t changedAt)
    {
        m_store.readPrefix(
                m_options.prefix + record.model, store::ReadConsistency::AllowStale,
                [this, record, changedAt](std::error_code error,
                                          const store::StoreSnapshot &snapshot) {
                    schema::WeightsNaming saved;
                    const bool isSaved = !error && !snapshot.entries.empty()
                                         && saved.ParseFromString(snapshot.entries.front().value)
                                         && saved.version() >= record.version;
                    if (!isSaved
                        && m_fleet.weightRollout().desiredVersion(record.model) == record.version) {
                        write(record, changedAt);
                    }
                });
    }

    void write(const WeightsRecord &record, int64_t changedAt)
    {
        schema::WeightsNaming naming;
        naming.set_model(record.model);
        naming.set_version(record.version);
        naming.set_named_at_unix_ms(changedAt);
        const std::array<store::StoreWrite, 1> writes{
                store::StoreWrite{.key = m_options.prefix + record.model,
                                  .value = naming.SerializeAsString(),
                                  .isUnconditional = true}};
        // If the write is lost, a VM that starts up assumes that half of the grace period is left.
        m_store.write(writes, [](store::StoreWriteResult) {});
    }

    http::EventLoop &m_loop;
    Store &m_store;
    FleetState &m_fleet;
    Options m_options;
};

} // namespace teaseldrift::relay
