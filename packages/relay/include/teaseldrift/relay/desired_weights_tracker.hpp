#pragma once

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "teaseldrift/relay/fleet_records.hpp"
#include "teaseldrift/relay/fleet_state.hpp"
#include "teaseldrift/schema/vm_record.pb.h"
#include "teaseldrift/store/store.hpp"

namespace teaseldrift::relay {

/// @brief Keeps the time at which weights were named in the store, and tells the state how old a
/// name is.
///
/// Requests may begin on older weights for a limited time after the naming. A VM that starts must
/// know how much of it is left.
template <store::PolledStore Store>
class DesiredWeightsTracker
{
public:
    struct Options
    {
        std::string prefix = "teaseldrift/weights/";
        /// Pause between two VMs that would write the same record: the first one suffices.
        Duration writeStagger = 200ms;
        /// Time of day.
        std::function<int64_t()> unixMs;
    };

    DesiredWeightsTracker(http::EventLoop &loop, Store &store, FleetState &fleet, Options options)
        : m_loop(loop), m_store(store), m_fleet(fleet), m_options(std::move(options))
    { }

    DesiredWeightsTracker(const DesiredWeightsTracker &) = delete;
    DesiredWeightsTracker &operator=(const DesiredWeightsTracker &) = delete;

    /// @brief Takes a name.
    /// @param isLiveChange whether it was given while this VM was following the store
    /// @param onApplied called once the state knows it
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
        m_store.readPrefix(m_options.prefix + record.model, store::ReadAge::Current,
                           [this, record, onApplied](std::error_code error,
                                                     const store::StoreSnapshot &snapshot) {
                               m_fleet.setDesiredWeights(record.model, record.version,
                                                         ageOf(record, error, snapshot),
                                                         http::EventLoop::now());
                               onApplied();
                           });
    }

private:
    /// Without a record the name may be new, or its record may have been lost with all VMs.
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
                m_options.prefix + record.model, store::ReadAge::MayBeStale,
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
        // A lost record only makes a starting VM more careful.
        m_store.write(writes, [](store::StoreWriteResult) {});
    }

    http::EventLoop &m_loop;
    Store &m_store;
    FleetState &m_fleet;
    Options m_options;
};

} // namespace teaseldrift::relay
