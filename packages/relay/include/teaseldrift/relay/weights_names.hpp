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
class WeightsNames
{
public:
    struct Options
    {
        std::string prefix = "teaseldrift/weights/";
        /// Pause between two VMs that would write the same record: the first one suffices.
        Duration turn = 200ms;
        /// Time of day.
        std::function<int64_t()> unixMs;
    };

    WeightsNames(http::EventLoop &loop, Store &store, FleetState &fleet, Options options)
        : m_loop(loop), m_store(store), m_fleet(fleet), m_options(std::move(options))
    { }

    WeightsNames(const WeightsNames &) = delete;
    WeightsNames &operator=(const WeightsNames &) = delete;

    /// @brief Takes a name.
    /// @param isNews whether it was given while this VM was following the store
    /// @param onTaken called once the state knows it
    void take(const WeightsRecord &name, bool isNews, const std::function<void()> &onTaken)
    {
        if (isNews) {
            m_fleet.nameWeights(name.model, name.version, Duration(0), http::EventLoop::now());
            onTaken();
            const int64_t namedAt = m_options.unixMs();
            m_loop.startTimer(m_options.turn * static_cast<int64_t>(m_fleet.rank()),
                              [this, name, namedAt] { keep(name, namedAt); });
            return;
        }
        m_store.readPrefix(
                m_options.prefix + name.model, store::ReadAge::Current,
                [this, name, onTaken](std::error_code error, const store::StoreSnapshot &snapshot) {
                    m_fleet.nameWeights(name.model, name.version, ageOf(name, error, snapshot),
                                        http::EventLoop::now());
                    onTaken();
                });
    }

private:
    /// Without a record the name may be new, or its record may have been lost with all VMs.
    [[nodiscard]] Duration ageOf(const WeightsRecord &name, std::error_code error,
                                 const store::StoreSnapshot &snapshot) const
    {
        const Duration unknownAge = m_fleet.options().weightsBound / 2;
        if (error) {
            return unknownAge;
        }
        for (const store::StoreEntry &entry : snapshot.entries) {
            schema::WeightsNaming naming;
            if (naming.ParseFromString(entry.value) && naming.model() == name.model
                && naming.version() == name.version) {
                const int64_t ageMs = m_options.unixMs() - naming.named_at_unix_ms();
                return std::chrono::milliseconds(std::max<int64_t>(0, ageMs));
            }
        }
        return unknownAge;
    }

    void keep(const WeightsRecord &name, int64_t namedAt)
    {
        m_store.readPrefix(
                m_options.prefix + name.model, store::ReadAge::MayBeStale,
                [this, name, namedAt](std::error_code error, const store::StoreSnapshot &snapshot) {
                    schema::WeightsNaming kept;
                    const bool isKept = !error && !snapshot.entries.empty()
                                        && kept.ParseFromString(snapshot.entries.front().value)
                                        && kept.version() >= name.version;
                    if (!isKept
                        && m_fleet.weightRollout().desiredVersion(name.model) == name.version) {
                        write(name, namedAt);
                    }
                });
    }

    void write(const WeightsRecord &name, int64_t namedAt)
    {
        schema::WeightsNaming naming;
        naming.set_model(name.model);
        naming.set_version(name.version);
        naming.set_named_at_unix_ms(namedAt);
        const std::array<store::StoreWrite, 1> writes{
                store::StoreWrite{.key = m_options.prefix + name.model,
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
