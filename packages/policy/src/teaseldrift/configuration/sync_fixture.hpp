#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "teaseldrift/configuration/acceptance.hpp"
#include "teaseldrift/configuration/configuration_sync.hpp"
#include "teaseldrift/membership/membership_view.hpp"

namespace teaseldrift::testing {

/// @brief Loss, duplication and delay of messages and store calls.
struct NetworkFaults
{
    unsigned dropPercent = 0;
    unsigned duplicatePercent = 0;
    Duration minDelay = 1ms;
    Duration maxDelay = 3ms;
};

/// @brief Counts of messages and store calls of all VMs.
struct Traffic
{
    uint64_t messages = 0;
    uint64_t bytes = 0;
    uint64_t storeCalls = 0;
    uint64_t watches = 0;
};

/// @brief One process of a VM.
struct SyncVm
{
    std::string id;
    uint64_t incarnation = 0;
    std::unique_ptr<ConfigurationSync> sync;
    bool paused = false;
    /// Can reach neither peers nor the store nor the operator.
    bool isIsolated = false;
    bool storeUnreachable = false;
    /// Group of a network partition; not evaluated when messages are delivered.
    unsigned group = 0;
    /// Work that arrived while the process was paused.
    std::vector<std::function<void()>> deferredWork;
    uint64_t watchId = 0;
    /// The watch is open but reports nothing more.
    bool watchStalled = false;
    /// Time of the latest scheduled watch event, which keeps later ones in order.
    Instant lastWatchDelivery;
};

/// @brief A written change whose acceptance the operator tracks.
struct PendingChange
{
    std::string name;
    uint64_t revision = 0;
    Instant writtenAt;
    AcceptanceTracker tracker;
    std::optional<Instant> acceptedAt;
    schema::VersionedDocument document;
    /// The operator also pushes the document to the VMs that it polls.
    bool pushes = false;
};

/// @brief Simulation in virtual time of several ConfigurationSync objects, a store and an operator,
/// connected by a queue of delayed work.
class SyncFixture
{
public:
    NetworkFaults faults;
    bool storeDown = false;
    Traffic traffic;
    std::vector<SyncVm> vms;
    /// VM list as the operator last read it.
    std::vector<std::string> operatorList;
    std::vector<PendingChange> changes;
    /// Called after every event, to check invariants.
    std::function<void()> afterEvent = [] {};

    SyncFixture(size_t count, uint64_t seed, SyncOptions options = {});

    [[nodiscard]] Instant now() const { return m_now; }
    [[nodiscard]] uint64_t storeRevision() const { return m_storeRevision; }

    /// @brief Runs delayed work and ticks until `duration` has passed.
    void run(Duration duration);

    /// @brief Runs until just after the next tick, while the messages of that tick are in transit.
    void runToNextTick() { run(m_nextTick - m_now + 1us); }

    /// @brief Replaces the process on a VM by a new one without state.
    void restart(size_t index);

    /// @brief Replaces a VM by one with a new id; VM lists stay outdated until they are refreshed.
    void replace(size_t index);

    void pause(size_t index) { vms[index].paused = true; }
    void resume(size_t index);

    /// @brief Gives a VM the current VM list.
    void refreshList(size_t index);

    /// @brief Writes or deletes a document if it has the expected revision.
    /// @return the new revision, nothing if the store is down or the revision differs
    std::optional<uint64_t> write(const std::string &name, uint64_t expectedRevision, bool deletes);

    [[nodiscard]] uint64_t documentRevision(const std::string &name) const;

    /// @brief Writes a change and starts to track its acceptance.
    /// @return whether the change was written
    bool change(const std::string &name, bool deletes, bool pushes = false);

private:
    SyncOptions m_options;
    std::mt19937_64 m_random;
    Instant m_now{1000s};
    Instant m_nextTick = m_now;
    Instant m_nextPoll = m_now;
    uint64_t m_storeRevision = 100;
    size_t m_lastVm = 0;
    std::map<std::string, schema::VersionedDocument> m_documents;
    std::vector<schema::VersionedDocument> m_history;
    std::multimap<Instant, std::function<void()>> m_queue;

    SyncVm *find(const std::string &id, uint64_t incarnation = 0);
    void startProcess(SyncVm &vm);
    void schedule(Duration delay, std::function<void()> work);
    void scheduleFor(const std::string &id, uint64_t incarnation, Duration delay,
                     std::function<void(SyncVm &)> work);
    Duration delay();
    bool isLost();
    void perform(SyncVm &vm, const ConfigurationSync::Actions &actions);
    void send(SyncVm &from, const SyncAction &action);
    void deliver(SyncVm &to, const std::string &from, const schema::PeerMessage &message);
    void callStore(SyncVm &vm, const SyncAction &action);
    void startWatch(SyncVm &vm, const SyncAction &action);
    void notifyWatch(SyncVm &vm, const schema::VersionedDocument &document);
    void poll();
    void pollVm(size_t change, const std::string &vmId);
};

inline SyncFixture::SyncFixture(size_t count, uint64_t seed, SyncOptions options)
    : m_options(options), m_random(seed)
{
    vms.resize(count);
    for (SyncVm &vm : vms) {
        vm.id = "vm-" + std::to_string(++m_lastVm);
        operatorList.push_back(vm.id);
    }
    for (const char *name : {"fleet", "organisation/a", "organisation/b"}) {
        write(name, 0, false);
    }
    for (size_t i = 0; i < count; ++i) {
        startProcess(vms[i]);
    }
}

inline void SyncFixture::startProcess(SyncVm &vm)
{
    vm = SyncVm{.id = vm.id,
                .incarnation = m_random(),
                .isIsolated = vm.isIsolated,
                .storeUnreachable = vm.storeUnreachable,
                .group = vm.group};
    vm.sync = std::make_unique<ConfigurationSync>(vm.id, vm.incarnation, m_now, m_options);
    refreshList(static_cast<size_t>(&vm - vms.data()));
}

inline void SyncFixture::restart(size_t index)
{
    startProcess(vms[index]);
}

inline void SyncFixture::replace(size_t index)
{
    vms[index].id = "vm-" + std::to_string(++m_lastVm);
    startProcess(vms[index]);
}

inline void SyncFixture::refreshList(size_t index)
{
    SyncMembers members{.listLoaded = true};
    std::vector<ListedVm> listed;
    for (const SyncVm &vm : vms) {
        members.live.push_back(vm.id);
        members.known.push_back(vm.id);
        listed.push_back({.id = vm.id});
    }
    MembershipView view(vms[index].id);
    view.onVmList(listed, m_now);
    members.neighbours = view.neighbours(m_now);
    vms[index].sync->setMembers(std::move(members));
}

inline void SyncFixture::resume(size_t index)
{
    vms[index].paused = false;
    const std::vector<std::function<void()>> deferredWork = std::move(vms[index].deferredWork);
    vms[index].deferredWork.clear();
    for (const std::function<void()> &work : deferredWork) {
        work();
        afterEvent();
    }
}

inline SyncVm *SyncFixture::find(const std::string &id, uint64_t incarnation)
{
    const auto found = std::find_if(vms.begin(), vms.end(), [&](const SyncVm &vm) {
        return vm.id == id && (incarnation == 0 || vm.incarnation == incarnation);
    });
    return found == vms.end() ? nullptr : &*found;
}

inline void SyncFixture::schedule(Duration delay, std::function<void()> work)
{
    m_queue.insert({m_now + delay, std::move(work)});
}

/// Schedules work for a process. It is deferred while the process is paused and dropped when the
/// process ends.
inline void SyncFixture::scheduleFor(const std::string &id, uint64_t incarnation, Duration delay,
                                     std::function<void(SyncVm &)> work)
{
    schedule(delay, [this, id, incarnation, work = std::move(work)] {
        SyncVm *vm = find(id, incarnation);
        if (vm == nullptr) {
            return;
        }
        if (!vm->paused) {
            work(*vm);
            return;
        }
        vm->deferredWork.emplace_back([this, id, incarnation, work] {
            SyncVm *resumed = find(id, incarnation);
            if (resumed != nullptr) {
                work(*resumed);
            }
        });
    });
}

inline Duration SyncFixture::delay()
{
    const uint64_t spread = static_cast<uint64_t>((faults.maxDelay - faults.minDelay).count());
    return faults.minDelay + Duration(static_cast<int64_t>(m_random() % (spread + 1)));
}

inline bool SyncFixture::isLost()
{
    constexpr unsigned percent = 100;
    return m_random() % percent < faults.dropPercent;
}

inline void SyncFixture::run(Duration duration)
{
    constexpr Duration tickInterval = 50ms;
    constexpr Duration pollInterval = 200ms;
    const Instant end = m_now + duration;
    while (m_now < end) {
        const Instant due = m_queue.empty() ? end : std::min(m_queue.begin()->first, end);
        m_now = std::max(m_now, std::min({due, m_nextTick, m_nextPoll}));
        if (!m_queue.empty() && m_queue.begin()->first <= m_now) {
            const std::function<void()> work = std::move(m_queue.begin()->second);
            m_queue.erase(m_queue.begin());
            work();
        } else if (m_nextTick <= m_now) {
            m_nextTick = m_now + tickInterval;
            for (SyncVm &vm : vms) {
                if (!vm.paused) {
                    perform(vm, vm.sync->tick(m_now, m_random()));
                }
            }
        } else if (m_nextPoll <= m_now) {
            m_nextPoll = m_now + pollInterval;
            poll();
        }
        afterEvent();
    }
}

inline void SyncFixture::perform(SyncVm &vm, const ConfigurationSync::Actions &actions)
{
    for (const SyncAction &action : actions) {
        if (action.kind == SyncActionKind::Send) {
            send(vm, action);
        } else if (action.kind == SyncActionKind::StartWatch) {
            startWatch(vm, action);
        } else if (action.kind == SyncActionKind::StopWatch) {
            vm.watchId = 0;
        } else {
            callStore(vm, action);
        }
    }
}

inline void SyncFixture::send(SyncVm &from, const SyncAction &action)
{
    constexpr unsigned percent = 100;
    // Sender, sequence number and frame, which the transport adds.
    constexpr uint64_t envelopeBytes = 32;
    ++traffic.messages;
    traffic.bytes += action.message.ByteSizeLong() + envelopeBytes;
    const unsigned copies = m_random() % percent < faults.duplicatePercent ? 2 : 1;
    for (unsigned copy = 0; copy < copies; ++copy) {
        if (isLost() || from.isIsolated) {
            continue;
        }
        scheduleFor(action.vmId, 0, delay(),
                    [this, sender = from.id, message = action.message](SyncVm &to) {
                        if (!to.isIsolated) {
                            deliver(to, sender, message);
                        }
                    });
    }
}

inline void SyncFixture::deliver(SyncVm &to, const std::string &from,
                                 const schema::PeerMessage &message)
{
    if (message.has_heartbeat()) {
        perform(to, to.sync->onHeartbeat(from, message.heartbeat(), m_now));
    } else if (message.has_configuration_request()) {
        perform(to, to.sync->onRequest(from, message.configuration_request(), m_now));
    } else if (message.has_configuration_answer()) {
        perform(to, to.sync->onAnswer(from, message.configuration_answer(), m_now));
    }
}

inline void SyncFixture::callStore(SyncVm &vm, const SyncAction &action)
{
    constexpr Duration callTimeout = 1s;
    ++traffic.storeCalls;
    const std::string id = vm.id;
    const uint64_t incarnation = vm.incarnation;
    const uint64_t callId = action.callId;
    scheduleFor(id, incarnation, callTimeout,
                [this, callId](SyncVm &caller) { caller.sync->onStoreFailed(callId, m_now); });
    if (vm.isIsolated || vm.storeUnreachable || isLost()) {
        return;
    }
    const bool all = action.kind == SyncActionKind::ReadAll;
    schedule(delay(), [this, id, incarnation, callId, all, after = action.afterRevision] {
        if (storeDown || isLost()) {
            return;
        }
        StoreRead read{.count = m_documents.size(), .revision = m_storeRevision};
        for (auto it = m_documents.begin(); it != m_documents.end(); ++it) {
            if (all || it->second.revision() > after) {
                read.documents.push_back(it->second);
            }
        }
        scheduleFor(id, incarnation, delay(), [this, callId, read](SyncVm &caller) {
            if (!caller.isIsolated && !caller.storeUnreachable) {
                perform(caller, caller.sync->onStoreRead(callId, read, m_now));
            }
        });
    });
}

inline void SyncFixture::startWatch(SyncVm &vm, const SyncAction &action)
{
    ++traffic.watches;
    ++traffic.storeCalls;
    if (storeDown || vm.isIsolated || vm.storeUnreachable) {
        scheduleFor(vm.id, vm.incarnation, delay(),
                    [this, watchId = action.callId](SyncVm &watcher) {
                        watcher.sync->onWatchBroken(watchId, m_now);
                    });
        return;
    }
    vm.watchId = action.callId;
    vm.watchStalled = false;
    for (const schema::VersionedDocument &document : m_history) {
        if (document.revision() > action.afterRevision) {
            notifyWatch(vm, document);
        }
    }
}

/// Delivers a document to the watch, in order. A watch that missed an event reports nothing more.
inline void SyncFixture::notifyWatch(SyncVm &vm, const schema::VersionedDocument &document)
{
    vm.watchStalled = vm.watchStalled || vm.isIsolated || vm.storeUnreachable;
    if (vm.watchId == 0 || vm.watchStalled) {
        return;
    }
    vm.lastWatchDelivery = std::max(vm.lastWatchDelivery, m_now + delay());
    scheduleFor(vm.id, vm.incarnation, vm.lastWatchDelivery - m_now,
                [this, document, watchId = vm.watchId](SyncVm &watcher) {
                    perform(watcher, watcher.sync->onWatchEvent(watchId, {&document, 1}, m_now));
                });
}

inline std::optional<uint64_t> SyncFixture::write(const std::string &name,
                                                  uint64_t expectedRevision, bool deletes)
{
    if (storeDown || documentRevision(name) != expectedRevision) {
        return std::nullopt;
    }
    ++m_storeRevision;
    schema::VersionedDocument document;
    document.set_name(name);
    document.set_revision(m_storeRevision);
    if (deletes) {
        m_documents.erase(name);
    } else {
        schema::Organisation &organisation = *document.mutable_document()->mutable_organisation();
        organisation.set_name(name);
        organisation.set_rate_tokens_per_s(static_cast<double>(m_storeRevision));
        for (const char *id : {"0123456789abcdef", "fedcba9876543210"}) {
            schema::KeyRecord &key = *organisation.add_keys();
            key.set_id(id);
            key.set_salt(id);
            key.set_hash(std::string(id) + id);
        }
        m_documents[name] = document;
    }
    m_history.push_back(document);
    for (SyncVm &vm : vms) {
        notifyWatch(vm, document);
    }
    return m_storeRevision;
}

inline uint64_t SyncFixture::documentRevision(const std::string &name) const
{
    const auto found = m_documents.find(name);
    return found == m_documents.end() ? 0 : found->second.revision();
}

inline bool SyncFixture::change(const std::string &name, bool deletes, bool pushes)
{
    const std::optional<uint64_t> revision = write(name, documentRevision(name), deletes);
    if (!revision.has_value()) {
        return false;
    }
    changes.push_back({
            .name = name,
            .revision = *revision,
            .writtenAt = m_now,
            .tracker
            = AcceptanceTracker(operatorList, m_now, {.freshnessBound = m_options.freshnessBound}),
            .pushes = pushes,
    });
    schema::VersionedDocument &document = changes.back().document;
    document.set_name(name);
    document.set_revision(*revision);
    if (!deletes) {
        document = m_documents[name];
    }
    return true;
}

inline void SyncFixture::poll()
{
    for (size_t i = 0; i < changes.size(); ++i) {
        PendingChange &change = changes[i];
        if (change.acceptedAt.has_value()) {
            continue;
        }
        change.tracker.onVmList(operatorList);
        if (change.tracker.state(m_now) == AcceptanceState::Accepted) {
            change.acceptedAt = m_now;
            continue;
        }
        for (const std::string &vmId : operatorList) {
            pollVm(i, vmId);
        }
    }
}

inline void SyncFixture::pollVm(size_t index, const std::string &vmId)
{
    if (isLost()) {
        return;
    }
    scheduleFor(vmId, 0, delay(), [this, index, sentAt = m_now](SyncVm &vm) {
        if (vm.isIsolated || isLost()) {
            return;
        }
        PendingChange &change = changes[index];
        if (change.pushes) {
            perform(vm, vm.sync->offer({&change.document, 1}, m_now));
        }
        AcceptanceReport report{
                .vmId = vm.id,
                .incarnation = vm.incarnation,
                .holds = vm.sync->replica().holds(change.name, change.revision),
                .canVote = vm.sync->canVote(),
                .sentAt = sentAt,
                .knownVms = vm.sync->knownVms(),
        };
        schedule(delay(), [this, index, report]() mutable {
            report.receivedAt = m_now;
            changes[index].tracker.onReport(report);
        });
    });
}

} // namespace teaseldrift::testing
