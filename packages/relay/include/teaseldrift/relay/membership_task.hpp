#pragma once

#include <map>
#include <string>
#include <utility>

#include "teaseldrift/relay/fleet_state.hpp"
#include "teaseldrift/relay/leased_record.hpp"

namespace teaseldrift::relay {

/// @brief Publishes this VM's record in the store and reads the records of the other VMs.
template <store::LongPollStore Store>
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
    };

    MembershipTask(http::EventLoop &loop, Store &store, FleetState &fleet, Options options = {})
        : m_loop(loop), m_store(store), m_fleet(fleet), m_options(std::move(options)),
          m_localRecord(loop, store,
                        {.key = m_options.prefix + fleet.options().vmId,
                         .onRenewed = [this](Instant sentAt) { onRenewed(sentAt); }})
    { }

    ~MembershipTask() { m_loop.cancelTimer(m_timer); }
    MembershipTask(const MembershipTask &) = delete;
    MembershipTask &operator=(const MembershipTask &) = delete;

    void start()
    {
        announce(false);
        read(store::ReadConsistency::Current);
    }

    /// @brief Announces to the other VMs that this one accepts no new callers.
    void leave() { announce(true); }

private:
    void announce(bool isLeaving)
    {
        schema::VmRecord record;
        record.set_vm_id(m_fleet.options().vmId);
        record.set_caller_address(m_fleet.options().callerAddress);
        record.set_availability_zone(m_fleet.options().availabilityZone);
        record.set_peer_address(m_fleet.options().peerAddress);
        record.set_is_leaving(isLeaving);
        m_localRecord.set(record.SerializeAsString());
    }

    void onRenewed(Instant sentAt)
    {
        m_fleet.leaseRenewed(sentAt, http::EventLoop::now());
        if (!m_hasJoined) {
            m_hasJoined = true;
            m_loop.cancelTimer(m_timer);
            read(store::ReadConsistency::Current);
        }
    }

    void read(store::ReadConsistency consistency)
    {
        m_store.readPrefix(m_options.prefix, consistency,
                           [this, readAt = http::EventLoop::now(), hasJoined = m_hasJoined](
                                   std::error_code error, const store::StoreSnapshot &snapshot) {
                               if (!error && readAt >= m_newestReadAt) {
                                   m_newestReadAt = readAt;
                                   applySnapshot(snapshot, readAt);
                                   m_hasReadSinceJoining = m_hasReadSinceJoining || hasJoined;
                               }
                               m_loop.cancelTimer(m_timer);
                               m_timer = m_loop.startTimer(m_options.readInterval, [this] {
                                   read(m_hasReadSinceJoining ? store::ReadConsistency::AllowStale
                                                              : store::ReadConsistency::Current);
                               });
                           });
    }

    void applySnapshot(const store::StoreSnapshot &snapshot, Instant readAt)
    {
        std::map<std::string, schema::VmRecord, std::less<>> vms;
        for (const store::StoreEntry &entry : snapshot.entries) {
            schema::VmRecord record;
            if (record.ParseFromString(entry.value) && !record.vm_id().empty()) {
                vms[record.vm_id()] = std::move(record);
            }
        }
        m_fleet.applyVms(std::move(vms), readAt, http::EventLoop::now());
    }

    http::EventLoop &m_loop;
    Store &m_store;
    FleetState &m_fleet;
    Options m_options;
    LeasedRecord<Store> m_localRecord;
    http::EventLoop::TimerId m_timer = 0;
    /// This VM's record has been written.
    bool m_hasJoined = false;
    bool m_hasReadSinceJoining = false;
    /// When the read began whose snapshot was applied last.
    Instant m_newestReadAt;
};

} // namespace teaseldrift::relay
