#pragma once

#include <array>
#include <chrono>
#include <functional>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/quarantine/crash_reports.hpp"
#include "teaseldrift/relay/fleet_state.hpp"
#include "teaseldrift/store/store.hpp"

namespace teaseldrift::relay {

/// @brief Keeps what is quarantined in the store, for a fleet whose VMs are all restarted at once.
///
/// While VMs run, they learn of crashes from each other; the record is read only at the start.
template <store::LongPollStore Store>
class QuarantineRecordTask
{
public:
    struct Options
    {
        std::string key = "teaseldrift/quarantine";
        Duration interval = 500ms;
        /// VMs that write each change: more than one, so that it is kept if one of them is cut off
        /// from the store.
        size_t writers = 2;
        /// Returns the wall-clock time.
        std::function<int64_t()> unixMs;
    };

    QuarantineRecordTask(http::EventLoop &loop, Store &store, FleetState &fleet, Options options)
        : m_loop(loop), m_store(store), m_fleet(fleet), m_options(std::move(options))
    { }

    ~QuarantineRecordTask() { m_loop.cancelTimer(m_timer); }
    QuarantineRecordTask(const QuarantineRecordTask &) = delete;
    QuarantineRecordTask &operator=(const QuarantineRecordTask &) = delete;

    void start() { read(); }

    /// @brief Writes the record again after the store has returned from an older copy.
    void storeRestored() { m_isWritten = m_written.empty(); }

private:
    /// Repeats the read until the store responds.
    void read()
    {
        m_store.readPrefix(m_options.key, store::ReadConsistency::AllowStale,
                           [this](std::error_code error, const store::StoreSnapshot &snapshot) {
                               if (error) {
                                   m_timer = m_loop.startTimer(m_options.interval,
                                                               [this] { read(); });
                                   return;
                               }
                               for (const store::StoreEntry &entry : snapshot.entries) {
                                   if (entry.key == m_options.key) {
                                       apply(entry.value);
                                   }
                               }
                               tick();
                           });
    }

    void apply(const std::string &value)
    {
        schema::StoredCrashReports stored;
        if (!stored.ParseFromString(value)) {
            m_fleet.logInvalidRecord(m_options.key);
            return;
        }
        const Instant now = http::EventLoop::now();
        const int64_t ageMs
                = std::max<int64_t>(0, m_options.unixMs() - stored.written_at_unix_ms());
        m_fleet.quarantine().merge(
                readCrashReports(stored.reports(), now - std::chrono::milliseconds(ageMs)), now);
    }

    void tick()
    {
        writeChanges(http::EventLoop::now());
        m_timer = m_loop.startTimer(m_options.interval, [this] { tick(); });
    }

    void writeChanges(Instant now)
    {
        std::vector<QuarantinedSegments> quarantined = m_fleet.quarantine().quarantined(now);
        const bool isSame = std::equal(
                quarantined.begin(), quarantined.end(), m_written.begin(), m_written.end(),
                [](const QuarantinedSegments &left, const QuarantinedSegments &right) {
                    return left.isSame(right) && left.lastCrashAt == right.lastCrashAt;
                });
        if ((isSame && m_isWritten) || m_isWriting
            || !m_fleet.isAmongFirst(m_options.key, m_options.writers)) {
            return;
        }
        m_isWriting = true;
        schema::StoredCrashReports stored;
        *stored.mutable_reports()
                = writeCrashReports(m_fleet.quarantine().quarantineRecords(), now);
        stored.set_written_at_unix_ms(m_options.unixMs());
        const std::array<store::StoreWrite, 1> writes{
                store::StoreWrite{.key = m_options.key,
                                  .value = stored.SerializeAsString(),
                                  .isUnconditional = true}};
        m_store.write(writes, [this, quarantined = std::move(quarantined)](
                                      const store::StoreWriteResult &result) {
            m_isWriting = false;
            m_isWritten = result.outcome == store::StoreOutcome::Written;
            m_written = quarantined;
        });
    }

    http::EventLoop &m_loop;
    Store &m_store;
    FleetState &m_fleet;
    Options m_options;
    /// What the record in the store was last written from.
    std::vector<QuarantinedSegments> m_written;
    bool m_isWritten = true;
    bool m_isWriting = false;
    http::EventLoop::TimerId m_timer = 0;
};

} // namespace teaseldrift::relay
