#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "teaseldrift/base/rendezvous.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/relay/fleet_watcher.hpp"
#include "teaseldrift/relay/prefix_watcher.hpp"
#include "teaseldrift/relay/relayed_store.hpp"
#include "teaseldrift/relay/store_relay.hpp"

/// A fleet in simulated time whose VMs receive an operator's changes by the real PrefixWatcher,
/// RelayedStore and StoreRelay, while the store, the VMs and the paths between them have faults.
namespace teaseldrift::relay::changesimulation {

/// What becomes of calls over a path, or to the store.
enum class Condition {
    Sound,
    /// Calls and responses are lost.
    Silent,
    /// Calls are refused after a round trip.
    Busy,
    /// Calls are executed; the responses are lost.
    LosesResponses,
    /// Responses take `slowDelay`.
    Slow,
};

struct FleetShape
{
    size_t vms = 84;
    size_t zones = 3;
    /// Time without a fault after which bounds hold for a VM.
    Duration contactTime = 4s;
    /// Time from the acknowledgement of a version until it must be in force.
    Duration applyTime = 3s;
    /// Each VM reads the list of VMs itself, at its own times, as it was up to `maxListAge` before;
    /// otherwise each change of it reaches all of them at once.
    bool readsLists = false;
    Duration maxListAge = 3s;
};

/// A fault, from `at` for `length`.
struct Fault
{
    enum class Kind {
        VmSuspended,
        VmRestarted,
        /// Its process ends; with Condition::Silent, so does its host. A process at another address
        /// follows.
        VmReplaced,
        /// Is listed as leaving, and starts again at the end.
        VmDrained,
        /// Path between a VM and the store.
        StorePath,
        /// Path between a VM and the other VMs.
        PeerPath,
        Store,
        StoreForgetsHistory,
        StoreReturnsOlder,
        /// All open connections fall silent for good; new ones work.
        ConnectionsSilent,
        /// A VM does not know its zone's representative.
        OlderVmList,
    };

    Kind kind = Kind::Store;
    Duration at{0};
    Duration length{0};
    size_t vm = 0;
    Condition condition = Condition::Silent;
};

inline constexpr std::string_view operatorPrefix = "op/";
inline constexpr std::string_view configurationKey = "op/config";

/// The platform's store: items, their history, and calls that wait for changes.
class SimulatedStore
{
public:
    struct Waiter
    {
        uint64_t revision = 0;
        std::function<void()> onChange;
    };

    explicit SimulatedStore(http::EventLoop &loop) : m_loop(loop) { }

    void put(std::string_view key, const std::string &value)
    {
        m_events.push_back({.key = std::string(key), .value = value, .revision = ++revision});
        const std::map<uint64_t, std::function<void()>> waiters = std::exchange(m_waiters, {});
        for (const std::pair<const uint64_t, std::function<void()>> &waiter : waiters) {
            m_loop.post(waiter.second);
        }
    }

    void forgetHistory() { m_compacted = revision; }

    /// Drops the newest changes; the operator writes the newest version again.
    void returnOlder()
    {
        const std::string newest = m_events.back().value;
        constexpr uint64_t lostChanges = 2;
        const uint64_t kept = revision > lostChanges ? revision - lostChanges : 0;
        std::erase_if(m_events, [kept](const store::StoreEntry &e) { return e.revision > kept; });
        revision = kept;
        ++epoch;
        m_compacted = std::min(m_compacted, revision);
        put(configurationKey, newest);
    }

    /// @return none if the history does not go back that far
    [[nodiscard]] std::optional<store::StoreSnapshot> changesSince(uint64_t after) const
    {
        if (after < m_compacted || after > revision) {
            return std::nullopt;
        }
        store::StoreSnapshot changes{.revision = revision, .epoch = epoch};
        for (const store::StoreEntry &event : m_events) {
            if (event.revision > after) {
                changes.entries.push_back(event);
            }
        }
        changes.count = changes.entries.size();
        return changes;
    }

    [[nodiscard]] store::StoreSnapshot snapshot() const
    {
        store::StoreSnapshot all{.revision = revision, .epoch = epoch};
        if (!m_events.empty()) {
            all.entries.push_back(m_events.back());
        }
        all.count = all.entries.size();
        return all;
    }

    uint64_t addWaiter(std::function<void()> onChange)
    {
        m_waiters.emplace(++m_lastWaiter, std::move(onChange));
        return m_lastWaiter;
    }

    void removeWaiter(uint64_t waiter) { m_waiters.erase(waiter); }

    Condition condition = Condition::Sound;
    uint64_t revision = 10;
    uint64_t epoch = 1;
    uint64_t calls = 0;

private:
    http::EventLoop &m_loop;
    std::deque<store::StoreEntry> m_events;
    uint64_t m_compacted = 0;
    uint64_t m_lastWaiter = 0;
    std::map<uint64_t, std::function<void()>> m_waiters;
};

/// A VM's connections to the store; models store::LongPollStore with the time-outs of the
/// platform's client.
class StoreConnections
{
public:
    using ReadHandler = StoreRelay::ReadHandler;

    StoreConnections(http::EventLoop &loop, SimulatedStore &store)
        : m_loop(loop), m_store(store) { }

    ~StoreConnections()
    {
        for (const std::pair<const uint64_t, Call> &call : m_calls) {
            m_loop.cancelTimer(call.second.timer);
            m_store.removeWaiter(call.second.waiter);
        }
    }
    StoreConnections(const StoreConnections &) = delete;
    StoreConnections &operator=(const StoreConnections &) = delete;

    void readPrefix(std::string_view, store::ReadConsistency, ReadHandler handler)
    {
        start(std::nullopt, Duration(0), std::move(handler));
    }

    void waitForChanges(std::string_view, uint64_t revision, Duration wait, ReadHandler handler)
    {
        start(revision, wait, std::move(handler));
    }

    /// @brief The next call goes over a new connection.
    void closeIdleConnections() { m_silentIdle = 0; }
    [[nodiscard]] static bool isReceiving(std::string_view) { return false; }

    void write(std::span<const store::StoreWrite>, std::function<void(store::StoreWriteResult)>) { }
    void grantLease(Duration, std::function<void(std::error_code, uint64_t)>) { }
    void renewLease(uint64_t, std::function<void(std::error_code)>) { }
    void revokeLease(uint64_t) { }

    /// @brief All open connections are silent from now on.
    void silenceConnections()
    {
        for (const std::pair<const uint64_t, Call> &call : m_calls) {
            lose(call.first, keepAliveTime);
        }
        constexpr int idleConnections = 2;
        m_silentIdle = idleConnections;
        m_silentIdleUntil = http::EventLoop::now() + keepAliveTime;
    }

    Condition path = Condition::Sound;
    /// Nothing is sent or received until then.
    Instant suspendedUntil;

private:
    struct Call
    {
        std::optional<uint64_t> revision;
        Instant heldUntil;
        ReadHandler handler;
        http::EventLoop::TimerId timer = 0;
        uint64_t waiter = 0;
        /// Nothing arrives over this call's connection any more.
        bool isLost = false;
    };

    static constexpr Duration latency = 2ms;
    static constexpr Duration slowDelay = 200ms;
    static constexpr Duration callTimeout = 1200ms;
    /// Time in which the kernel finds that a connection without unacknowledged data is dead.
    static constexpr Duration keepAliveTime = 3s;
    /// Time after which the kernel closes a connection whose peer does not acknowledge data.
    static constexpr Duration ackTimeout = 2s;

    void start(std::optional<uint64_t> revision, Duration wait, ReadHandler handler)
    {
        const uint64_t number = ++m_lastCall;
        const Instant now = http::EventLoop::now();
        Call &call = m_calls[number];
        call.revision = revision;
        call.heldUntil = now + wait;
        call.handler = std::move(handler);
        call.timer = m_loop.startTimer(wait + callTimeout, [this, number] {
            finish(number, store::StoreError::Unavailable, {});
        });
        if (m_silentIdle > 0 && now < m_silentIdleUntil) {
            --m_silentIdle;
            lose(number, ackTimeout);
        }
        later(number, latency, [this, number] { arrive(number); });
    }

    /// Nothing arrives over a call's connection any more, until the kernel closes it.
    void lose(uint64_t number, Duration closedAfter)
    {
        m_calls.at(number).isLost = true;
        later(number, closedAfter,
              [this, number] { finish(number, store::StoreError::Unavailable, {}); });
    }

    /// Runs an action for a call unless it has ended.
    void later(uint64_t number, Duration delay, std::function<void()> action)
    {
        const Instant at = std::max(http::EventLoop::now() + delay, suspendedUntil);
        const std::weak_ptr<bool> alive = m_alive;
        m_loop.startTimer(at - http::EventLoop::now(),
                          [this, alive, number, action = std::move(action)] {
                              if (!alive.expired() && m_calls.contains(number)) {
                                  action();
                              }
                          });
    }

    void arrive(uint64_t number)
    {
        Call &call = m_calls.at(number);
        if (call.isLost) {
            return;
        }
        if (path == Condition::Silent || m_store.condition == Condition::Silent) {
            lose(number, ackTimeout);
            return;
        }
        ++m_store.calls;
        if (path == Condition::Busy || m_store.condition == Condition::Busy) {
            respond(number, store::StoreError::Unavailable, {});
            return;
        }
        if (!call.revision) {
            respond(number, {}, m_store.snapshot());
            return;
        }
        const std::optional<store::StoreSnapshot> changes = m_store.changesSince(*call.revision);
        if (!changes) {
            respond(number, store::StoreError::Compacted, {});
        } else if (!changes->entries.empty() || http::EventLoop::now() >= call.heldUntil) {
            respond(number, {}, *changes);
        } else {
            hold(number);
        }
    }

    /// The store holds the call until there is a change, or its wait is over.
    void hold(uint64_t number)
    {
        Call &call = m_calls.at(number);
        const std::weak_ptr<bool> alive = m_alive;
        const std::function<void()> check = [this, alive, number] {
            if (!alive.expired() && m_calls.contains(number) && m_calls.at(number).waiter != 0) {
                m_store.removeWaiter(std::exchange(m_calls.at(number).waiter, 0));
                arrive(number);
            }
        };
        call.waiter = m_store.addWaiter(check);
        m_loop.startTimer(call.heldUntil - http::EventLoop::now(), check);
    }

    void respond(uint64_t number, std::error_code error, const store::StoreSnapshot &snapshot)
    {
        Call &call = m_calls.at(number);
        if (call.isLost) {
            return;
        }
        if (path == Condition::Silent || m_store.condition == Condition::Silent) {
            lose(number, keepAliveTime);
            return;
        }
        if (path == Condition::LosesResponses || m_store.condition == Condition::LosesResponses) {
            call.isLost = true;
            return;
        }
        const bool isSlow = path == Condition::Slow || m_store.condition == Condition::Slow;
        later(number, isSlow ? slowDelay : latency, [this, number, error, snapshot] {
            if (!m_calls.at(number).isLost) {
                finish(number, error, snapshot);
            }
        });
    }

    void finish(uint64_t number, std::error_code error, const store::StoreSnapshot &snapshot)
    {
        const Call call = std::move(m_calls.at(number));
        m_calls.erase(number);
        m_loop.cancelTimer(call.timer);
        m_store.removeWaiter(call.waiter);
        call.handler(error, snapshot);
    }

    http::EventLoop &m_loop;
    SimulatedStore &m_store;
    std::map<uint64_t, Call> m_calls;
    uint64_t m_lastCall = 0;
    int m_silentIdle = 0;
    Instant m_silentIdleUntil;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

class Fleet;

/// A VM that watches the operator's records.
class Vm
{
public:
    Vm(Fleet &fleet, size_t index);

    [[nodiscard]] FleetState &state() { return m_state; }
    StoreConnections &connections() { return m_connections; }
    StoreRelay &relay() { return m_relay; }

    /// Newest version that this VM received, and whether an older one came after it although the
    /// store did not return from an older copy.
    uint64_t version = 0;
    bool wentBack = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

private:
    using Store = RelayedStore<StoreConnections>;

    void apply(const store::StoreSnapshot &snapshot);

    FleetState m_state;
    StoreConnections m_connections;
    StoreRelay m_relay;
    Store m_store;
    PrefixWatcher<Store> m_watcher;
    bool m_isRestored = false;
};

/// Result of a simulated day.
struct DayResult
{
    /// The first breach; empty if there was none.
    std::string breach;
    /// Longest time from an acknowledgement until a VM in touch decided by the version.
    Duration longestDelay{0};
    uint64_t storeCalls = 0;
};

class Fleet
{
public:
    explicit Fleet(FleetShape shape)
        : shape(shape), log({.descriptor = ::open("/dev/null", O_WRONLY | O_CLOEXEC)}), store(loop),
          m_hosts(shape.vms)
    {
        store.put(configurationKey, "1");
        for (size_t i = 0; i < shape.vms; ++i) {
            m_hosts[i].port = static_cast<uint16_t>(firstPort + i);
            m_ports.emplace(m_hosts[i].port, i);
            m_list.emplace(idOf(i), recordOf(i));
        }
        listChanged();
        for (size_t i = 0; i < shape.vms; ++i) {
            startVm(i);
        }
    }

    /// @brief Plays a day: changes at the given times, and faults.
    DayResult play(Duration length, const std::vector<Duration> &changes,
                   const std::vector<Fault> &faults)
    {
        const Instant start = http::EventLoop::now();
        for (const Duration at : changes) {
            loop.startTimer(at, [this] { change(); });
        }
        for (const Fault &fault : faults) {
            loop.startTimer(fault.at, [this, fault] { begin(fault); });
            loop.startTimer(fault.at + fault.length, [this, fault] { end(fault); });
        }
        check(start);
        loop.startTimer(length, [this] { loop.stop(); });
        loop.run();
        m_result.storeCalls = store.calls;
        return m_result;
    }

    /// @brief VM of a zone, by its order as a representative.
    size_t vmByRank(size_t zone, size_t rank)
    {
        std::vector<size_t> members;
        for (size_t i = zone; i < shape.vms; i += shape.zones) {
            members.push_back(i);
        }
        std::sort(members.begin(), members.end(),
                  [&](size_t a, size_t b) { return scoreOf(zone, a) > scoreOf(zone, b); });
        return members.at(std::min(rank, members.size() - 1));
    }

    void send(size_t from, const http::Endpoint &to, const std::string &query, Duration timeout,
              const StoreRelayTransport::ResponseHandler &onResponse);

    [[nodiscard]] std::string idOf(size_t i) const { return "vm-" + std::to_string(i); }
    [[nodiscard]] std::string zoneOf(size_t i) const
    {
        return "zone-" + std::to_string(i % shape.zones);
    }

    FleetShape shape;
    http::SimulatedTime time;
    http::EventLoop loop;
    telemetry::EventLog log;
    telemetry::Metrics metrics;
    SimulatedStore store;

private:
    /// What surrounds a VM and outlasts its process.
    struct Host
    {
        std::unique_ptr<Vm> vm;
        uint16_t port = 0;
        /// Without a process: whether its address refuses connections.
        bool refuses = false;
        Condition peerPath = Condition::Sound;
        Condition storePath = Condition::Sound;
        Instant suspendedUntil;
        /// End of the last fault that is over.
        Instant disturbedUntil;
        /// Faults under way.
        int faults = 0;
        /// Kept connections to other VMs that are silent.
        int silentPeers = 0;
    };

    static constexpr uint16_t firstPort = 1000;
    static constexpr Duration checkInterval = 20ms;

    [[nodiscard]] schema::VmRecord recordOf(size_t i) const
    {
        schema::VmRecord record;
        record.set_vm_id(idOf(i));
        record.set_availability_zone(zoneOf(i));
        record.set_peer_address("10.0.0.1:" + std::to_string(m_hosts[i].port));
        return record;
    }

    void listChanged() { m_lists.emplace_back(http::EventLoop::now(), m_list); }

    Duration draw(Duration least, Duration most)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(least.count(),
                                                                     most.count())(m_random));
    }

    /// A VM reads the list, which may be a stale one, and goes on to do so.
    void readList(size_t i, const std::weak_ptr<bool> &process, Duration delay)
    {
        loop.startTimer(delay, [this, i, process] {
            if (process.expired()) {
                return;
            }
            const Instant now = http::EventLoop::now();
            const Host &host = m_hosts[i];
            if (host.storePath == Condition::Sound && store.condition == Condition::Sound
                && now >= host.suspendedUntil) {
                const Instant readAt = now - draw(Duration(0), shape.maxListAge);
                const auto newer = std::find_if(
                        m_lists.begin() + 1, m_lists.end(),
                        [readAt](const TimedList &list) { return list.first > readAt; });
                host.vm->state().applyVms(std::prev(newer)->second, readAt, now);
            }
            readList(i, process, draw(300ms, 1500ms));
        });
    }

    [[nodiscard]] double scoreOf(size_t zone, size_t vm) const
    {
        return rendezvousScore(rendezvousKey("zone-" + std::to_string(zone)), idOf(vm));
    }

    void startVm(size_t i)
    {
        m_hosts[i].vm = nullptr;
        m_hosts[i].vm = std::make_unique<Vm>(*this, i);
        Vm &vm = *m_hosts[i].vm;
        if (shape.readsLists) {
            readList(i, vm.alive, draw(5ms, 500ms));
        } else {
            vm.state().applyVms(m_list, http::EventLoop::now(), http::EventLoop::now());
        }
        vm.connections().suspendedUntil = m_hosts[i].suspendedUntil;
        vm.connections().path = m_hosts[i].storePath;
    }

    void change()
    {
        if (store.condition == Condition::Silent || store.condition == Condition::Busy) {
            // The operator repeats what was not acknowledged.
            loop.startTimer(200ms, [this] { change(); });
            return;
        }
        store.put(configurationKey, std::to_string(++m_version));
        m_acknowledged.emplace_back(http::EventLoop::now(), m_version);
    }

    void begin(const Fault &fault)
    {
        Host &host = m_hosts[fault.vm];
        switch (fault.kind) {
        case Fault::Kind::VmSuspended:
            ++host.faults;
            host.suspendedUntil
                    = std::max(host.suspendedUntil, http::EventLoop::now() + fault.length);
            if (host.vm != nullptr) {
                host.vm->connections().suspendedUntil = host.suspendedUntil;
            }
            break;
        case Fault::Kind::VmRestarted:
            ++host.faults;
            if (host.vm != nullptr) {
                startVm(fault.vm);
            }
            break;
        case Fault::Kind::VmReplaced:
            ++host.faults;
            host.vm = nullptr;
            host.refuses = fault.condition != Condition::Silent;
            loop.startTimer(leaseTime, [this, vm = fault.vm] {
                if (m_hosts[vm].vm == nullptr) {
                    m_list.erase(idOf(vm));
                    listChanged();
                }
            });
            break;
        case Fault::Kind::VmDrained:
            ++host.faults;
            if (const auto listed = m_list.find(idOf(fault.vm)); listed != m_list.end()) {
                listed->second.set_is_leaving(true);
                listChanged();
            }
            break;
        case Fault::Kind::StorePath:
            ++host.faults;
            setStorePath(host, fault.condition);
            break;
        case Fault::Kind::PeerPath:
            ++host.faults;
            host.peerPath = fault.condition;
            break;
        case Fault::Kind::Store:
            ++m_storeFaults;
            store.condition = fault.condition;
            break;
        case Fault::Kind::StoreForgetsHistory:
            // Excuses nothing: the store goes on responding.
            store.forgetHistory();
            break;
        case Fault::Kind::StoreReturnsOlder:
            store.returnOlder();
            m_storeDisturbedUntil = http::EventLoop::now();
            break;
        case Fault::Kind::ConnectionsSilent:
            for (Host &each : m_hosts) {
                if (each.vm != nullptr) {
                    each.vm->connections().silenceConnections();
                }
                each.silentPeers = 1;
                each.disturbedUntil = std::max(each.disturbedUntil, http::EventLoop::now());
            }
            break;
        case Fault::Kind::OlderVmList: {
            std::map<std::string, schema::VmRecord, std::less<>> list = m_list;
            list.erase(idOf(vmByRank(fault.vm % shape.zones, 0)));
            if (host.vm != nullptr) {
                host.vm->state().applyVms(std::move(list), http::EventLoop::now(),
                                          http::EventLoop::now());
            }
            break;
        }
        }
    }

    void end(const Fault &fault)
    {
        Host &host = m_hosts[fault.vm];
        const Instant now = http::EventLoop::now();
        switch (fault.kind) {
        case Fault::Kind::VmSuspended:
        case Fault::Kind::VmRestarted:
            --host.faults;
            host.disturbedUntil = now;
            break;
        case Fault::Kind::VmReplaced:
            m_ports.erase(host.port);
            host.port = static_cast<uint16_t>(firstPort + shape.vms + m_replaced++);
            m_ports.emplace(host.port, fault.vm);
            [[fallthrough]];
        case Fault::Kind::VmDrained:
            --host.faults;
            host.disturbedUntil = now;
            startVm(fault.vm);
            m_list.insert_or_assign(idOf(fault.vm), recordOf(fault.vm));
            listChanged();
            break;
        case Fault::Kind::StorePath:
            --host.faults;
            host.disturbedUntil = now;
            setStorePath(host, Condition::Sound);
            break;
        case Fault::Kind::PeerPath:
            --host.faults;
            host.disturbedUntil = now;
            host.peerPath = Condition::Sound;
            break;
        case Fault::Kind::Store:
            store.condition = Condition::Sound;
            --m_storeFaults;
            m_storeDisturbedUntil = now;
            break;
        case Fault::Kind::StoreReturnsOlder:
        case Fault::Kind::StoreForgetsHistory:
        case Fault::Kind::ConnectionsSilent:
            break;
        case Fault::Kind::OlderVmList:
            if (host.vm != nullptr) {
                host.vm->state().applyVms(m_list, now, now);
            }
            break;
        }
    }

    static void setStorePath(Host &host, Condition condition)
    {
        host.storePath = condition;
        if (host.vm != nullptr) {
            host.vm->connections().path = condition;
        }
    }

    [[nodiscard]] bool isInTouch(const Host &host, Instant now) const
    {
        return host.faults == 0 && m_storeFaults == 0
               && now - host.disturbedUntil >= shape.contactTime
               && now - m_storeDisturbedUntil >= shape.contactTime;
    }

    void check(Instant start)
    {
        const Instant now = http::EventLoop::now();
        for (size_t i = 0; i < shape.vms; ++i) {
            const Host &host = m_hosts[i];
            if (host.vm == nullptr) {
                continue;
            }
            if (host.vm->wentBack && m_result.breach.empty()) {
                m_result.breach = describe(start, i, "went back to version", host.vm->version);
            }
            if (!isInTouch(host, now)) {
                continue;
            }
            for (const std::pair<Instant, uint64_t> &acknowledged : m_acknowledged) {
                if (acknowledged.second <= host.vm->version) {
                    continue;
                }
                const Duration delay = now - acknowledged.first;
                m_result.longestDelay = std::max(m_result.longestDelay, delay);
                if (delay > shape.applyTime && m_result.breach.empty()) {
                    m_result.breach = describe(start, i, "decides by version", host.vm->version)
                                      + ", " + std::to_string(acknowledged.second)
                                      + " was acknowledged " + std::to_string(toSeconds(delay))
                                      + " s before";
                }
                break;
            }
        }
        while (m_acknowledged.size() > 1
               && std::all_of(m_hosts.begin(), m_hosts.end(), [&](const Host &host) {
                      return host.vm == nullptr
                             || host.vm->version >= m_acknowledged.front().second;
                  })) {
            m_acknowledged.pop_front();
        }
        loop.startTimer(checkInterval, [this, start] { check(start); });
    }

    [[nodiscard]] std::string describe(Instant start, size_t vm, std::string_view what,
                                       uint64_t version) const
    {
        return "at " + std::to_string(toSeconds(http::EventLoop::now() - start)) + " s " + idOf(vm)
               + " " + std::string(what) + " " + std::to_string(version);
    }

    using TimedList = std::pair<Instant, std::map<std::string, schema::VmRecord, std::less<>>>;

    /// Time for which a process that has ended stays in the list.
    static constexpr Duration leaseTime = 5s;

    std::mt19937_64 m_random{1};
    std::map<std::string, schema::VmRecord, std::less<>> m_list;
    /// The list after each change.
    std::deque<TimedList> m_lists;
    std::map<uint16_t, size_t> m_ports;
    size_t m_replaced = 0;
    std::vector<Host> m_hosts;
    int m_storeFaults = 0;
    Instant m_storeDisturbedUntil;
    uint64_t m_version = 1;
    std::deque<std::pair<Instant, uint64_t>> m_acknowledged;
    DayResult m_result;
};

inline Vm::Vm(Fleet &fleet, size_t index)
    : m_state({.vmId = fleet.idOf(index), .availabilityZone = fleet.zoneOf(index), .minVmCount = 1},
              fleet.log, http::EventLoop::now()),
      m_connections(fleet.loop, fleet.store),
      m_relay(fleet.loop,
              StoreRelayTransport{
                      .send =
                              [&fleet, index](const http::Endpoint &vm, const std::string &query,
                                              Duration timeout,
                                              StoreRelayTransport::ResponseHandler respond) {
                                  fleet.send(index, vm, query, timeout, respond);
                              }},
              m_state, fleet.log, fleet.metrics, {}),
      m_store(m_connections, m_relay),
      m_watcher(fleet.loop, m_store,
                {.prefix = std::string(operatorPrefix),
                 .wait = FleetWatcherOptions().operatorWait,
                 .retryDelayFactor = spreadFactor(fleet.idOf(index)),
                 .maxAge = FleetWatcherOptions().maxOperatorAge},
                {.onStoreRestored = [this] { m_isRestored = true; },
                 .onSnapshot = [this](const store::StoreSnapshot &all) { apply(all); },
                 .onChanges = [this](const store::StoreSnapshot &changes) { apply(changes); },
                 .onDisconnected = [](std::error_code) {},
                 .onReconnected = [] {}})
{
    m_watcher.start();
}

inline void Vm::apply(const store::StoreSnapshot &snapshot)
{
    for (const store::StoreEntry &entry : snapshot.entries) {
        const uint64_t received = std::stoull(entry.value);
        wentBack = wentBack || (received < version && !m_isRestored);
        // FleetState ignores versions that are not newer.
        version = std::max(version, received);
    }
    m_isRestored = false;
}

inline void Fleet::send(size_t from, const http::Endpoint &to, const std::string &query,
                        Duration timeout, const StoreRelayTransport::ResponseHandler &onResponse)
{
    static constexpr Duration latency = 1500us;
    struct Exchange
    {
        StoreRelayTransport::ResponseHandler onResponse;
        std::weak_ptr<bool> caller;
        bool isEnded = false;

        void end(int status, std::string body)
        {
            if (!std::exchange(isEnded, true) && !caller.expired()) {
                onResponse({.status = status,
                            .body = std::move(body),
                            .headAt = http::EventLoop::now()});
            }
        }
    };
    Host &source = m_hosts[from];
    const std::shared_ptr<Exchange> exchange = std::make_shared<Exchange>(
            Exchange{.onResponse = onResponse, .caller = source.vm->alive});
    loop.startTimer(timeout, [exchange] { exchange->end(0, {}); });
    if (source.silentPeers > 0) {
        --source.silentPeers;
        return;
    }
    const auto owner = m_ports.find(to.port);
    if (owner == m_ports.end()) {
        return;
    }
    const size_t target = owner->second;
    const std::weak_ptr<bool> process
            = m_hosts[target].vm == nullptr ? std::weak_ptr<bool>() : m_hosts[target].vm->alive;
    const auto isOpen = [this, from, target, process] {
        return m_hosts[from].peerPath == Condition::Sound
               && m_hosts[target].peerPath == Condition::Sound && !process.expired();
    };
    if (m_hosts[target].vm == nullptr && m_hosts[target].refuses) {
        loop.startTimer(latency, [exchange] { exchange->end(0, {}); });
        return;
    }
    const auto arrival = [this, target, from](Duration delay) {
        const Instant now = http::EventLoop::now();
        return std::max({now + delay, m_hosts[target].suspendedUntil, m_hosts[from].suspendedUntil})
               - now;
    };
    loop.startTimer(arrival(latency), [this, exchange, target, isOpen, arrival, query] {
        if (!isOpen()) {
            return;
        }
        m_hosts[target].vm->relay().handle(query, [this, exchange, isOpen,
                                                   arrival](int status, std::string body) {
            loop.startTimer(arrival(latency), [exchange, isOpen, status, body = std::move(body)] {
                if (isOpen()) {
                    exchange->end(status, body);
                }
            });
        });
    });
}

} // namespace teaseldrift::relay::changesimulation
