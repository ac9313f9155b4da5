#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "teaseldrift/base/milliseconds.hpp"
#include "teaseldrift/base/rendezvous.hpp"
#include "teaseldrift/relay/fleet_records.hpp"
#include "teaseldrift/relay/fleet_state.hpp"
#include "teaseldrift/relay/prefix_watcher.hpp"

namespace teaseldrift::relay {

/// @brief How often a VM polls the operators' records and the targets' registrations.
struct FleetWatcherOptions
{
    /// Longest time that the store holds a call for the operators' records.
    Duration operatorWait = 1500ms;
    /// Age of the operators' records from which more than one call is made at a time.
    Duration maxOperatorAge = 2s;
    /// The same for registrations; the age allows for the delay between calls.
    Duration targetWait = 1s;
    Duration maxTargetAge = 2600ms;
    /// Registrations change with each heartbeat, so that a long poll would return at once. The
    /// delay must be short enough to notice a leaving target within its drain time.
    std::function<Duration()> targetPollDelay = [] { return Duration(900ms); };
};

/// @brief Watches the operators' records and the targets' registrations in a store and applies them
/// to a FleetState.
template <store::LongPollStore Store, FleetRecords Records>
class FleetWatcher
{
public:
    FleetWatcher(http::EventLoop &loop, Store &store, Records records, FleetState &fleet,
                 telemetry::EventLog &log, FleetWatcherOptions options = {})
        : m_records(std::move(records)), m_fleet(fleet), m_log(log),
          m_operators(loop, store,
                      {.prefix = std::string(m_records.operatorPrefix()),
                       .wait = options.operatorWait,
                       .retryDelayFactor = spreadFactor(fleet.options().vmId),
                       .maxAge = options.maxOperatorAge},
                      operatorHandlers()),
          m_targets(loop, store,
                    {.prefix = std::string(m_records.targetPrefix()),
                     .wait = options.targetWait,
                     .pollDelay = std::move(options.targetPollDelay),
                     .retryDelayFactor = spreadFactor(fleet.options().vmId),
                     .maxAge = options.maxTargetAge},
                    targetHandlers())
    { }

    void start()
    {
        m_operators.start();
        m_targets.start();
    }

    /// @brief Sets the callback for desired weights. Call it before start().
    void onDesiredWeights(std::function<void(const WeightsRecord &, RecordOrigin)> callback)
    {
        m_onDesiredWeights = std::move(callback);
    }

    [[nodiscard]] bool isConnected() const
    {
        return m_operators.isConnected() && m_targets.isConnected();
    }

    /// @brief Whether the targets' registrations have been read once: without them this VM can
    /// serve no request.
    [[nodiscard]] bool hasTargetList() const { return m_hasTargetList; }

    /// @brief Number of records that were received and named nothing to use.
    [[nodiscard]] uint64_t unreadableRecords() const { return m_unreadableRecords; }

private:
    PrefixWatcherHandlers operatorHandlers()
    {
        return {.onSnapshot =
                        [this](const store::StoreSnapshot &snapshot) {
                            applyOperatorRecords(snapshot, m_hasOperatorRecords
                                                                   ? RecordOrigin::Reread
                                                                   : RecordOrigin::FirstRead);
                            m_hasOperatorRecords = true;
                        },
                .onChanges =
                        [this](const store::StoreSnapshot &snapshot) {
                            applyOperatorRecords(snapshot, RecordOrigin::Change);
                        },
                .onDisconnected
                = [this](std::error_code error) { logLost("operator_records", error); },
                .onReconnected = [this] { logRegained("operator_records"); },
                .onConfirmed =
                        [this](Instant confirmedAt, std::string_view relayedBy) {
                            m_fleet.configurationFreshness().confirmed(confirmedAt, relayedBy);
                        },
                .onLate
                = [this](Duration age, int failed) { logLate("operator_records", age, failed); }};
    }

    PrefixWatcherHandlers targetHandlers()
    {
        return {.onStoreRestored = [this] { m_fleet.storeRestored(http::EventLoop::now()); },
                .onSnapshot
                = [this](const store::StoreSnapshot &snapshot) { applyAllTargets(snapshot); },
                .onChanges =
                        [this](const store::StoreSnapshot &snapshot) {
                            for (const store::StoreEntry &entry : snapshot.entries) {
                                applyTarget(entry);
                            }
                        },
                .onDisconnected =
                        [this](std::error_code error) {
                            logLost("target_registrations", error);
                            m_fleet.storeLost(http::EventLoop::now());
                        },
                .onReconnected =
                        [this] {
                            logRegained("target_registrations");
                            m_fleet.storeRegained(http::EventLoop::now());
                        },
                .onLate = [this](Duration age,
                                 int failed) { logLate("target_registrations", age, failed); }};
    }

    void applyOperatorRecords(const store::StoreSnapshot &snapshot, RecordOrigin origin)
    {
        for (const store::StoreEntry &entry : snapshot.entries) {
            applyOperatorRecord(entry, origin);
        }
    }

    void applyOperatorRecord(const store::StoreEntry &entry, RecordOrigin origin)
    {
        if (entry.deleted) {
            return;
        }
        const Instant now = http::EventLoop::now();
        OperatorRecord record = m_records.readOperatorRecord(entry.key, entry.value);
        if (DefinitionRecord *definition = std::get_if<DefinitionRecord>(&record)) {
            m_fleet.applyDefinition(std::move(definition->definition), definition->importRates,
                                    now);
        } else if (const WeightsRecord *weights = std::get_if<WeightsRecord>(&record)) {
            m_onDesiredWeights(*weights, origin);
        } else {
            logUnreadable(entry);
        }
    }

    void applyTarget(const store::StoreEntry &entry)
    {
        const Instant now = http::EventLoop::now();
        const std::string_view prefix = m_records.targetPrefix();
        const std::string_view id = std::string_view(entry.key).substr(prefix.size());
        if (entry.deleted) {
            m_fleet.removeTarget(id, now);
            return;
        }
        if (const std::optional<TargetEntry> target
            = m_records.readTarget(entry.key, entry.value)) {
            m_fleet.applyTarget(*target, now);
        } else {
            logUnreadable(entry);
            m_fleet.removeTarget(id, now);
        }
    }

    void applyAllTargets(const store::StoreSnapshot &snapshot)
    {
        std::map<std::string, TargetEntry, std::less<>> entries;
        for (const store::StoreEntry &entry : snapshot.entries) {
            if (const std::optional<TargetEntry> target
                = m_records.readTarget(entry.key, entry.value)) {
                entries.emplace(target->id, *target);
            } else {
                logUnreadable(entry);
            }
        }
        m_fleet.applyAllTargets(entries, http::EventLoop::now());
        m_hasTargetList = true;
    }

    void logUnreadable(const store::StoreEntry &entry)
    {
        ++m_unreadableRecords;
        m_log.write(telemetry::EventPriority::Routine, "record_unreadable",
                    {{"key", std::string_view(entry.key)},
                     {"revision", static_cast<int64_t>(entry.revision)}});
    }

    void logLost(std::string_view watch, std::error_code error)
    {
        const std::string reason = error.message();
        m_log.write(telemetry::EventPriority::Important, "feed_lost",
                    {{"feed", watch}, {"reason", std::string_view(reason)}});
    }

    void logLate(std::string_view watch, Duration age, int failedCalls)
    {
        m_log.write(telemetry::EventPriority::Important, "feed_late",
                    {{"feed", watch},
                     {"age_ms", toMs(age)},
                     {"failed_calls", static_cast<int64_t>(failedCalls)}});
    }

    void logRegained(std::string_view watch)
    {
        m_log.write(telemetry::EventPriority::Important, "feed_regained", {{"feed", watch}});
    }

    Records m_records;
    FleetState &m_fleet;
    telemetry::EventLog &m_log;
    std::function<void(const WeightsRecord &, RecordOrigin)> m_onDesiredWeights;
    bool m_hasOperatorRecords = false;
    bool m_hasTargetList = false;
    uint64_t m_unreadableRecords = 0;
    PrefixWatcher<Store> m_operators;
    PrefixWatcher<Store> m_targets;
};

} // namespace teaseldrift::relay
