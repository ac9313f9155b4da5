#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/configuration/configuration_sync.hpp"
#include "teaseldrift/configuration/documents.hpp"
#include "teaseldrift/fleet/peer_network.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/membership/membership_view.hpp"
#include "teaseldrift/store/store.hpp"
#include "teaseldrift/store/vm_list.hpp"

namespace teaseldrift::fleet {

struct ConfigurationTaskOptions
{
    std::string vmId;
    /// Random per process start, the same as the peer network's.
    uint64_t incarnation = 0;
    /// Seed of the jitter; must differ between processes.
    uint64_t randomSeed = 0;
    std::string storePrefix = "/teaseldrift/";
    Duration tickInterval = 25ms;
    /// Time between reads of the platform's VM list.
    Duration listInterval = 1s;
    SyncOptions sync;
    MembershipOptions membership;
};

/// @brief What a ConfigurationTask reports, on its loop's thread.
struct ConfigurationHandlers
{
    /// A configuration with a higher revision is available.
    std::function<void(const schema::Configuration &, uint64_t revision)> onConfiguration
            = [](const schema::Configuration &, uint64_t) {};
    /// The configuration has been confirmed as current: requests with an API key may be served
    /// until the given instant.
    std::function<void(Instant)> onCurrentUntil = [](Instant) {};
    /// The set of live VMs has changed.
    std::function<void(const std::vector<FleetVm> &)> onLiveVms
            = [](const std::vector<FleetVm> &) {};
    /// Targets that the platform's list marks as leaving or no longer contains.
    std::function<void(const std::vector<std::string> &)> onLeavingTargets
            = [](const std::vector<std::string> &) {};
    /// A VM runs a new process; the state of its previous process is lost.
    std::function<void(std::string_view vmId, uint64_t incarnation)> onNewIncarnation
            = [](std::string_view, uint64_t) {};
};

/// @brief Maintains one VM's configuration and its view of the fleet, on one event loop.
///
/// Sets the peer network's filter, its peers, and its handlers of heartbeats and configuration
/// messages.
///
/// ```cpp
/// ConfigurationTask task(loop, store, list, network, {.vmId = "vm-1", .incarnation = id},
///                        {.onConfiguration = [&](const schema::Configuration &configuration,
///                                                uint64_t) { frontend.configure(configuration);
///                                                }});
/// network.start();
/// task.start();
/// ```
template <store::KeyValueStore Store, store::VmList List>
class ConfigurationTask
{
public:
    ConfigurationTask(http::EventLoop &loop, Store &store, List &list, PeerNetwork &network,
                      ConfigurationTaskOptions options, ConfigurationHandlers handlers)
        : m_loop(loop), m_store(store), m_list(list), m_network(network),
          m_options(std::move(options)), m_handlers(std::move(handlers)),
          m_random(m_options.randomSeed), m_members(m_options.vmId, m_options.membership),
          m_sync(m_options.vmId, m_options.incarnation, http::EventLoop::now(), m_options.sync)
    {
        connectHandlers();
    }

    ~ConfigurationTask()
    {
        *m_alive = false;
        m_loop.cancelTimer(m_timer);
        m_store.stopWatch(m_storeWatch);
    }

    ConfigurationTask(const ConfigurationTask &) = delete;
    ConfigurationTask &operator=(const ConfigurationTask &) = delete;

    /// @brief Starts the task; call it after the network's start().
    void start() { tick(); }

    /// @brief Announces to the other VMs that this VM is leaving.
    void leave()
    {
        m_members.leave();
        m_sync.leave();
    }

    /// @brief Whether requests with an API key may be served now.
    [[nodiscard]] bool isCurrent() const { return m_sync.isCurrent(http::EventLoop::now()); }

    /// @brief Applies documents that an operator has written to the store and pushes to this VM.
    void offer(std::span<const schema::VersionedDocument> documents)
    {
        perform(m_sync.offer(documents, http::EventLoop::now()));
        notifyHandlers();
    }

    [[nodiscard]] const ConfigurationSync &sync() const { return m_sync; }
    [[nodiscard]] const MembershipView &members() const { return m_members; }

    /// @brief Start time of the list read that members() reflects; empty before the first
    /// successful read.
    [[nodiscard]] std::optional<Instant> listReadAt() const { return m_listReadAt; }

private:
    http::EventLoop &m_loop;
    Store &m_store;
    List &m_list;
    PeerNetwork &m_network;
    ConfigurationTaskOptions m_options;
    ConfigurationHandlers m_handlers;
    std::mt19937_64 m_random;
    MembershipView m_members;
    ConfigurationSync m_sync;
    http::EventLoop::TimerId m_timer = 0;
    Instant m_nextListRead{};
    bool m_listLoaded = false;
    std::optional<Instant> m_listReadAt;
    std::vector<std::string> m_liveIds;
    std::vector<std::string> m_leavingTargets;
    std::vector<PeerAddress> m_peers;
    uint64_t m_storeWatch = 0;
    uint64_t m_reportedRevision = 0;
    std::optional<Instant> m_reportedCurrentUntil;
    /// Callbacks of the store and the list may outlive this task.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);

    [[nodiscard]] std::string keyPrefix() const
    {
        return m_options.storePrefix + std::string(configurationKeySegment);
    }

    void connectHandlers()
    {
        m_network.setFilter([this](const schema::PeerMessage &message) {
            const schema::VmIncarnation &sender = message.sender();
            const SenderStatus status = m_members.onMessage(sender.vm_id(), sender.incarnation(),
                                                            http::EventLoop::now());
            if (status == SenderStatus::NewIncarnation) {
                m_handlers.onNewIncarnation(sender.vm_id(), sender.incarnation());
            }
            return status != SenderStatus::StaleIncarnation;
        });
        m_network.handle(schema::PeerMessage::kHeartbeat,
                         [this](const schema::PeerMessage &message) {
                             const schema::VmIncarnation &sender = message.sender();
                             const Instant now = http::EventLoop::now();
                             m_members.onHeartbeat(sender.vm_id(), sender.incarnation(),
                                                   message.heartbeat().leaving(), now);
                             perform(m_sync.onHeartbeat(sender.vm_id(), message.heartbeat(), now));
                         });
        m_network.handle(schema::PeerMessage::kConfigurationRequest,
                         [this](const schema::PeerMessage &message) {
                             perform(m_sync.onRequest(message.sender().vm_id(),
                                                      message.configuration_request(),
                                                      http::EventLoop::now()));
                         });
        m_network.handle(schema::PeerMessage::kConfigurationAnswer,
                         [this](const schema::PeerMessage &message) {
                             perform(m_sync.onAnswer(message.sender().vm_id(),
                                                     message.configuration_answer(),
                                                     http::EventLoop::now()));
                             notifyHandlers();
                         });
    }

    void tick()
    {
        const Instant now = http::EventLoop::now();
        if (now >= m_nextListRead) {
            readList(now);
        }
        updateMembers(now);
        perform(m_sync.tick(now, m_random()));
        notifyHandlers();
        m_timer = m_loop.startTimer(m_options.tickInterval, [this] { tick(); });
    }

    void readList(Instant now)
    {
        constexpr int64_t jitterDivisor = 5;
        const int64_t jitter = static_cast<int64_t>(
                m_random() % static_cast<uint64_t>(m_options.listInterval.count()));
        m_nextListRead = now + m_options.listInterval - Duration(jitter / jitterDivisor);
        m_list.read([this, alive = m_alive, now](std::error_code error,
                                                 const std::vector<store::VmRecord> &records) {
            if (*alive && !error) {
                m_listReadAt = now;
                onVmList(records);
            }
        });
    }

    void onVmList(const std::vector<store::VmRecord> &records)
    {
        std::vector<ListedVm> vms;
        vms.reserve(records.size());
        for (const store::VmRecord &record : records) {
            vms.push_back({
                    .id = record.id,
                    .address = record.address,
                    .callerPort = record.callerPort,
                    .peerPort = record.peerPort,
                    .availabilityZone = record.availabilityZone,
                    .leaving = record.state == store::VmState::Leaving,
                    .isTarget = record.isTarget,
            });
        }
        m_listLoaded = true;
        m_members.onVmList(vms, http::EventLoop::now());
        std::vector<std::string> leaving = m_members.leavingTargets();
        if (leaving != m_leavingTargets) {
            m_leavingTargets = std::move(leaving);
            m_handlers.onLeavingTargets(m_leavingTargets);
        }
    }

    void updateMembers(Instant now)
    {
        const std::vector<FleetVm> live = m_members.liveVms(now);
        const std::vector<FleetVm> known = m_members.knownVms(now);
        SyncMembers members{
                .live = idsOf(live),
                .known = idsOf(known),
                .neighbours = m_members.neighbours(now),
                .listLoaded = m_listLoaded,
        };
        if (members.live != m_liveIds) {
            m_liveIds = members.live;
            m_handlers.onLiveVms(live);
        }
        m_sync.setMembers(std::move(members));
        updatePeers(known);
    }

    static std::vector<std::string> idsOf(const std::vector<FleetVm> &vms)
    {
        std::vector<std::string> ids;
        ids.reserve(vms.size());
        for (const FleetVm &vm : vms) {
            ids.push_back(vm.listed.id);
        }
        return ids;
    }

    void updatePeers(const std::vector<FleetVm> &known)
    {
        std::vector<PeerAddress> peers;
        for (const FleetVm &vm : known) {
            if (vm.listed.id != m_options.vmId && vm.listed.peerPort != 0) {
                peers.push_back({.vmId = vm.listed.id,
                                 .endpoint = {vm.listed.address, vm.listed.peerPort}});
            }
        }
        if (peers != m_peers) {
            m_peers = std::move(peers);
            m_network.setPeers(m_peers);
        }
    }

    void perform(ConfigurationSync::Actions actions)
    {
        for (SyncAction &action : actions) {
            switch (action.kind) {
            case SyncActionKind::Send:
                m_network.send(action.vmId, std::move(action.message));
                break;
            case SyncActionKind::ReadAll:
                m_store.readPrefix(keyPrefix(), onRead(action.callId, true));
                break;
            case SyncActionKind::ReadChanges:
                m_store.readChanges(keyPrefix(), action.afterRevision,
                                    onRead(action.callId, false));
                break;
            case SyncActionKind::StartWatch:
                startWatch(action);
                break;
            case SyncActionKind::StopWatch:
                m_store.stopWatch(std::exchange(m_storeWatch, 0));
                break;
            }
        }
    }

    std::function<void(std::error_code, const store::StoreSnapshot &)> onRead(uint64_t callId,
                                                                              bool all)
    {
        return [this, alive = m_alive, callId, all](std::error_code error,
                                                    const store::StoreSnapshot &snapshot) {
            if (!*alive) {
                return;
            }
            const Instant now = http::EventLoop::now();
            if (error) {
                m_sync.onStoreFailed(callId, now);
                return;
            }
            const StoreRead read{
                    .documents = documentsOf(snapshot.entries),
                    .count = all ? snapshot.entries.size() : snapshot.count,
                    .revision = snapshot.revision,
            };
            perform(m_sync.onStoreRead(callId, read, now));
            notifyHandlers();
        };
    }

    void startWatch(const SyncAction &action)
    {
        m_store.stopWatch(m_storeWatch);
        const uint64_t callId = action.callId;
        m_storeWatch = m_store.watchPrefix(
                keyPrefix(), action.afterRevision,
                [this, alive = m_alive, callId](std::span<const store::StoreEntry> entries) {
                    if (*alive) {
                        perform(m_sync.onWatchEvent(callId, documentsOf(entries),
                                                    http::EventLoop::now()));
                        notifyHandlers();
                    }
                },
                [this, alive = m_alive, callId] {
                    if (*alive) {
                        m_sync.onWatchBroken(callId, http::EventLoop::now());
                    }
                });
    }

    [[nodiscard]] std::vector<schema::VersionedDocument>
    documentsOf(std::span<const store::StoreEntry> entries) const
    {
        const std::string prefix = keyPrefix();
        std::vector<schema::VersionedDocument> documents;
        for (const store::StoreEntry &entry : entries) {
            if (!entry.key.starts_with(prefix)) {
                continue;
            }
            schema::VersionedDocument document;
            document.set_name(entry.key.substr(prefix.size()));
            document.set_revision(entry.revision);
            if (!entry.deleted) {
                // A value that is not a valid document still counts as a key of the store.
                document.mutable_document()->ParseFromString(entry.value);
            }
            documents.push_back(std::move(document));
        }
        return documents;
    }

    /// Calls the handlers for a newer configuration or a later confirmation.
    void notifyHandlers()
    {
        const ConfigurationReplica &replica = m_sync.replica();
        if (replica.newestRevision() > m_reportedRevision) {
            m_reportedRevision = replica.newestRevision();
            m_handlers.onConfiguration(replica.configuration(), m_reportedRevision);
        }
        const std::optional<Instant> until = m_sync.currentUntil();
        if (until.has_value() && until != m_reportedCurrentUntil) {
            m_reportedCurrentUntil = until;
            m_handlers.onCurrentUntil(*until);
        }
    }
};

} // namespace teaseldrift::fleet
