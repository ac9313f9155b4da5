#pragma once

#include <algorithm>
#include <concepts>
#include <functional>
#include <map>
#include <string>
#include <system_error>
#include <utility>

#include "teaseldrift/relay/fleet_state.hpp"
#include "teaseldrift/relay/leased_record.hpp"
#include "teaseldrift/relay/removed_entries.hpp"

namespace teaseldrift::relay {

/// @brief A store whose changes other VMs may relay, see RelayedStore.
template <typename Store>
concept RelayingStore
        = store::LongPollStore<Store> && requires(Store &store, std::string_view prefix,
                                                  uint64_t revision, Duration wait)
{
    {
        store.relaysChanges()
        } -> std::same_as<bool>;
    store.followChanges(prefix, revision, wait,
                        std::function<void(std::error_code, const store::StoreSnapshot &)>());
};

/// @brief Publishes this VM's record in the store and reads the records of the other VMs.
template <RelayingStore Store>
class MembershipTask
{
public:
    struct Options
    {
        /// Store prefix of all VM records.
        std::string prefix = "teaseldrift/vms/";
        /// A stale read costs a tenth of a current one, and callers cache directory responses for
        /// about this long.
        Duration readInterval = 1s;
        /// Reads that are older than what is known are passed over. After this time without another
        /// one a current read is made; more than stale reads usually lag behind.
        Duration maxStaleTime = 3s;
        /// Longest time that a call waits for a change of the list.
        Duration changesWait = 2500ms;
        /// Delay after a change: many VMs may join or leave within a short time.
        Duration changesDelay = 300ms;
        Duration leaseTtl = 3s;
        Duration renewInterval = 1s;
        /// In larger fleets renewals are rarer: their cost grows with the fleet, and a VM that is
        /// gone is a smaller part of it.
        size_t largeFleet = 20;
        Duration largeFleetTtl = 5s;
        Duration largeFleetRenewInterval = 2s;
        /// Time after its start for which a VM may not know of all others and renews as in a large
        /// fleet.
        Duration settlingTime = 3s;
        /// The term of what a VM owns ends this long before its lease.
        Duration termMargin = 500ms;
    };

    MembershipTask(http::EventLoop &loop, Store &store, FleetState &fleet, Options options = {})
        : m_loop(loop), m_store(store), m_fleet(fleet), m_options(std::move(options)),
          m_localRecord(
                  loop, store,
                  {.key = m_options.prefix + fleet.options().vmId,
                   .ttl = m_options.largeFleetTtl,
                   .renewInterval = m_options.renewInterval,
                   .onRenewed = [this](Instant sentAt, Duration ttl) { onRenewed(sentAt, ttl); }})
    { }

    ~MembershipTask() { m_loop.cancelTimer(m_timer); }
    MembershipTask(const MembershipTask &) = delete;
    MembershipTask &operator=(const MembershipTask &) = delete;

    void start()
    {
        m_startedAt = http::EventLoop::now();
        announce(false);
        read(store::ReadConsistency::AllowStale);
    }

    /// @brief Announces to the other VMs that this one accepts no new callers.
    void leave() { announce(true); }

private:
    struct Record
    {
        schema::VmRecord value;
        /// Of the entry's last write.
        uint64_t revision = 0;
    };

    void announce(bool isLeaving)
    {
        schema::VmRecord record;
        record.set_vm_id(m_fleet.options().vmId);
        record.set_caller_address(m_fleet.options().callerAddress);
        record.set_availability_zone(m_fleet.options().availabilityZone);
        record.set_peer_address(m_fleet.options().peerAddress);
        record.set_is_leaving(isLeaving);
        record.set_link_mbps(m_fleet.options().linkMbps);
        m_localRecord.set(record.SerializeAsString());
    }

    void onRenewed(Instant sentAt, Duration ttl)
    {
        m_fleet.leaseRenewed(sentAt, ttl - m_options.termMargin, http::EventLoop::now());
        if (!m_hasJoined) {
            m_hasJoined = true;
            m_loop.cancelTimer(m_timer);
            read(store::ReadConsistency::Current);
        }
    }

    /// Reads the list, or waits for its changes where that costs less.
    void proceed()
    {
        const bool mayBeIncomplete
                = !m_hasReadSinceJoining || m_revision == 0
                  || (m_hasPassedOver && http::EventLoop::now() > m_removed.settlesAt());
        if (!mayBeIncomplete && m_store.relaysChanges()) {
            waitForChanges();
        } else {
            const bool isCurrent = m_needsCurrent || (m_hasJoined && !m_hasReadSinceJoining);
            read(isCurrent ? store::ReadConsistency::Current : store::ReadConsistency::AllowStale);
        }
    }

    void scheduleNext(Duration delay)
    {
        m_loop.cancelTimer(m_timer);
        m_timer = m_loop.startTimer(delay, [this] { proceed(); });
    }

    void read(store::ReadConsistency consistency)
    {
        m_store.readPrefix(m_options.prefix, consistency,
                           [this, readAt = http::EventLoop::now(), hasJoined = m_hasJoined](
                                   std::error_code error, const store::StoreSnapshot &snapshot) {
                               const bool isOld = !error && isOlderThanKnown(snapshot);
                               if (!error && !isOld && readAt >= m_newestReadAt) {
                                   applySnapshot(snapshot, readAt);
                                   m_hasReadSinceJoining = m_hasReadSinceJoining || hasJoined;
                               }
                               m_needsCurrent = isOld
                                                && http::EventLoop::now() - m_newestReadAt
                                                           >= m_options.maxStaleTime;
                               scheduleNext(m_needsCurrent ? m_options.changesDelay
                                                           : m_options.readInterval);
                           });
    }

    /// A stale read may be older than what this VM has read before: it would list VMs again that
    /// have left since.
    [[nodiscard]] bool isOlderThanKnown(const store::StoreSnapshot &snapshot) const
    {
        return snapshot.epoch < m_epoch
               || (snapshot.epoch == m_epoch && snapshot.revision < m_knownRevision);
    }

    void waitForChanges()
    {
        m_store.followChanges(
                m_options.prefix, m_revision, m_options.changesWait,
                [this, readAt = http::EventLoop::now()](std::error_code error,
                                                        const store::StoreSnapshot &changes) {
                    if (error || changes.epoch != m_epoch) {
                        // The changes since the last read are not known.
                        m_revision = 0;
                        scheduleNext(m_options.changesDelay);
                        return;
                    }
                    applyChanges(changes, readAt);
                    scheduleNext(changes.entries.empty() ? Duration(0) : m_options.changesDelay);
                });
    }

    void applySnapshot(const store::StoreSnapshot &snapshot, Instant readAt)
    {
        const Instant now = http::EventLoop::now();
        const bool isRestored = m_epoch != 0 && m_epoch != snapshot.epoch;
        if (isRestored) {
            // What this snapshot lacks may only be younger than the store's copy.
            m_removed.storeRestored(snapshot.revision, now);
            m_records.clear();
        }
        std::map<std::string, Record, std::less<>> before = std::exchange(m_records, {});
        store::StoreSnapshot present = snapshot;
        const size_t passedOver
                = std::erase_if(present.entries, [&](const store::StoreEntry &entry) {
                      before.erase(entry.key);
                      return m_removed.isOutdated(entry, now);
                  });
        // Entries that are still there later belong to VMs that renew them, and no change says so.
        m_hasPassedOver = passedOver > 0;
        for (const std::pair<const std::string, Record> &gone : before) {
            m_removed.add(gone.first, gone.second.revision, now);
        }
        m_revision = snapshot.revision;
        m_knownRevision = snapshot.revision;
        m_epoch = snapshot.epoch;
        applyChanges(present, readAt);
    }

    void applyChanges(const store::StoreSnapshot &changes, Instant readAt)
    {
        for (const store::StoreEntry &entry : changes.entries) {
            schema::VmRecord record;
            const auto known = m_records.find(entry.key);
            if (!entry.deleted && record.ParseFromString(entry.value) && !record.vm_id().empty()) {
                m_removed.erase(entry.key);
                m_records.insert_or_assign(
                        entry.key, Record{.value = std::move(record), .revision = entry.revision});
            } else if (known != m_records.end()) {
                m_removed.add(entry.key, known->second.revision, http::EventLoop::now());
                m_records.erase(known);
            }
        }
        m_revision = std::max(m_revision, changes.revision);
        m_knownRevision = m_revision;
        m_newestReadAt = readAt;
        std::map<std::string, schema::VmRecord, std::less<>> vms;
        for (const std::pair<const std::string, Record> &record : m_records) {
            vms.insert_or_assign(record.second.value.vm_id(), record.second.value);
        }
        if (vms.size() >= m_options.largeFleet) {
            m_localRecord.setTimes(m_options.largeFleetTtl, m_options.largeFleetRenewInterval);
            m_isLargeFleet = true;
        } else if (!m_isLargeFleet
                   && http::EventLoop::now() - m_startedAt >= m_options.settlingTime) {
            // A fleet that shrinks below the size keeps its leases, as each change costs calls.
            m_localRecord.setTimes(m_options.leaseTtl, m_options.renewInterval);
        }
        m_fleet.applyVms(std::move(vms), readAt, http::EventLoop::now());
    }

    http::EventLoop &m_loop;
    Store &m_store;
    FleetState &m_fleet;
    Options m_options;
    LeasedRecord<Store> m_localRecord;
    http::EventLoop::TimerId m_timer = 0;
    /// Records by key, as of `m_revision`; 0 if a read is due.
    std::map<std::string, Record, std::less<>> m_records;
    uint64_t m_revision = 0;
    /// Revision of `m_records`, also while a read is due.
    uint64_t m_knownRevision = 0;
    uint64_t m_epoch = 0;
    RemovedEntries m_removed;
    /// The last snapshot held entries that are known to be removed.
    bool m_hasPassedOver = false;
    /// The next read must be a current one.
    bool m_needsCurrent = false;
    Instant m_startedAt;
    bool m_isLargeFleet = false;
    /// This VM's record has been written.
    bool m_hasJoined = false;
    bool m_hasReadSinceJoining = false;
    /// When the read began whose snapshot was applied last.
    Instant m_newestReadAt;
};

} // namespace teaseldrift::relay
