#include "teaseldrift/relay/store_relay.hpp"

#include <fcntl.h>

#include <catch2/catch.hpp>

#include "teaseldrift/relay/prefix_watcher.hpp"
#include "teaseldrift/relay/relayed_store.hpp"

namespace teaseldrift::relay {

namespace {

using store::StoreEntry;
using store::StoreError;
using store::StoreSnapshot;

/// A store of one prefix whose long polls return with the next change or after their timeout.
class FakeStore
{
public:
    using ReadHandler = StoreRelay::ReadHandler;

    explicit FakeStore(http::EventLoop &loop) : m_loop(loop) { }

    void put(const std::string &key, const std::string &value)
    {
        m_changes.push_back({.key = key, .value = value, .revision = ++m_revision});
    }

    void readPrefix(std::string_view, store::ReadConsistency, const ReadHandler &handler)
    {
        ++calls;
        m_loop.post(
                [this, handler] { handler({}, {.entries = m_changes, .revision = m_revision}); });
    }

    void waitForChanges(std::string_view prefix, uint64_t revision, Duration wait,
                        ReadHandler handler)
    {
        ++calls;
        maxStoreWait = std::max(maxStoreWait, wait);
        if (prefix == latePrefix) {
            m_loop.startTimer(wait + readDelay, [handler = std::move(handler), revision] {
                handler({}, {.revision = revision});
            });
            return;
        }
        poll(revision, http::EventLoop::now() + wait, std::move(handler));
    }

    void write(std::span<const store::StoreWrite>, std::function<void(store::StoreWriteResult)>) { }
    void grantLease(Duration, std::function<void(std::error_code, uint64_t)>) { }
    void renewLease(uint64_t, std::function<void(std::error_code)>) { }
    void revokeLease(uint64_t) { }
    void closeIdleConnections() { }
    [[nodiscard]] static bool isReceiving(std::string_view) { return false; }

    bool isUnavailable = false;
    bool hasNoHistory = false;
    /// Number of long polls that fail.
    int failuresLeft = 0;
    /// The VM reads responses for this prefix late, as if it had been suspended.
    std::string latePrefix;
    Duration readDelay{0};
    int calls = 0;
    Duration maxStoreWait{0};

private:
    void poll(uint64_t revision, Instant until, ReadHandler handler)
    {
        m_loop.startTimer(5ms, [this, revision, until, handler = std::move(handler)] {
            if (hasNoHistory) {
                handler(StoreError::Compacted, {});
                return;
            }
            if (isUnavailable || failuresLeft > 0) {
                failuresLeft = std::max(0, failuresLeft - 1);
                handler(StoreError::Unavailable, {});
                return;
            }
            StoreSnapshot changes{.revision = m_revision};
            for (const StoreEntry &entry : m_changes) {
                if (entry.revision > revision) {
                    changes.entries.push_back(entry);
                }
            }
            if (changes.entries.empty() && http::EventLoop::now() < until) {
                poll(revision, until, handler);
                return;
            }
            handler({}, changes);
        });
    }

    http::EventLoop &m_loop;
    uint64_t m_revision = 10;
    std::vector<StoreEntry> m_changes;
};

/// A VM that watches a prefix, with its own loopback server for other VMs.
struct Vm
{
    Vm(http::EventLoop &loop, const std::string &id, StoreRelayOptions options)
        : log({.descriptor = ::open("/dev/null", O_WRONLY | O_CLOEXEC)}),
          fleet({.vmId = id, .availabilityZone = "north", .minVmCount = 1}, log,
                http::EventLoop::now()),
          peers(loop, {.connectTimeout = 50ms}), relay(loop, peers, fleet, log, metrics, options),
          store(loop), relayed(store, relay),
          watcher(loop, relayed, {.prefix = "p/", .wait = 10s},
                  {.onSnapshot = [this](const StoreSnapshot &all) { recordEntries(all); },
                   .onChanges = [this](const StoreSnapshot &changes) { recordEntries(changes); },
                   .onDisconnected = [](std::error_code) {},
                   .onReconnected = [] {}}),
          server(loop, {}, [this](const std::shared_ptr<http::Exchange> &exchange) {
              if (!isUnresponsive) {
                  relay.handle(exchange);
              } else {
                  unanswered.push_back(exchange);
              }
          })
    {
        REQUIRE_FALSE(server.listen());
    }

    void recordEntries(const StoreSnapshot &snapshot)
    {
        for (const StoreEntry &entry : snapshot.entries) {
            seen[entry.key] = entry.value;
        }
    }

    [[nodiscard]] schema::VmRecord record() const
    {
        schema::VmRecord record;
        record.set_vm_id(fleet.options().vmId);
        record.set_availability_zone("north");
        record.set_peer_address("127.0.0.1:" + std::to_string(server.port()));
        return record;
    }

    telemetry::EventLog log;
    telemetry::Metrics metrics;
    FleetState fleet;
    http::Client peers;
    StoreRelay relay;
    /// This VM's connection to the store.
    FakeStore store;
    RelayedStore<FakeStore> relayed;
    std::map<std::string, std::string> seen;
    PrefixWatcher<RelayedStore<FakeStore>> watcher;
    bool isUnresponsive = false;
    std::vector<std::shared_ptr<http::Exchange>> unanswered;
    http::Server server;
};

/// VMs of one zone. The first in rendezvous order, `relaying`, polls the store for the others.
struct VmZone
{
    explicit VmZone(size_t count, StoreRelayOptions options)
    {
        std::map<std::string, schema::VmRecord, std::less<>> list;
        for (size_t i = 0; i < count; ++i) {
            const std::string id(1, static_cast<char>('a' + i));
            vms.push_back(std::make_unique<Vm>(loop, id, options));
            list.emplace(id, vms.back()->record());
        }
        for (const std::unique_ptr<Vm> &vm : vms) {
            vm->fleet.applyDefinition({.version = 1}, {}, http::EventLoop::now());
            vm->fleet.applyVms(list, http::EventLoop::now(), http::EventLoop::now());
            if (vm->fleet.isAmongFirst("north", 1)) {
                relaying = vm.get();
            } else if (!vm->fleet.isAmongFirst("north", count - 1)) {
                other = vm.get();
            }
        }
        for (const std::unique_ptr<Vm> &vm : vms) {
            vm->watcher.start();
        }
    }

    void put(const std::string &key, const std::string &value)
    {
        for (const std::unique_ptr<Vm> &vm : vms) {
            vm->store.put(key, value);
        }
    }

    bool waitFor(const std::function<bool()> &condition, Duration timeout = 5s)
    {
        const Instant end = http::EventLoop::now() + timeout;
        while (!condition() && http::EventLoop::now() < end) {
            const http::EventLoop::TimerId timer = loop.startTimer(5ms, [this] { loop.stop(); });
            loop.run();
            loop.cancelTimer(timer);
        }
        return condition();
    }

    /// Makes changes until the other VM receives them from the relaying VM.
    void settle()
    {
        constexpr int maxChanges = 10;
        for (int i = 0; i < maxChanges; ++i) {
            other->store.calls = 0;
            put("settling", std::to_string(i));
            REQUIRE(waitFor([&] { return other->seen["settling"] == std::to_string(i); }));
            waitFor([] { return false; }, 50ms);
            if (other->store.calls == 0) {
                relaying->store.maxStoreWait = Duration(0);
                return;
            }
        }
        FAIL("the other VM called the store each time");
    }

    http::EventLoop loop;
    std::vector<std::unique_ptr<Vm>> vms;
    Vm *relaying = nullptr;
    /// The last in order.
    Vm *other = nullptr;
};

struct VmPair : VmZone
{
    explicit VmPair(StoreRelayOptions options = {.minVmCount = 2}) : VmZone(2, options) { }
};

} // namespace

TEST_CASE("a VM receives changes from the relaying VM of its zone without calling the store")
{
    VmPair vms;
    vms.settle();
    for (int i = 0; i < 5; ++i) {
        vms.put("key", std::to_string(i));
        REQUIRE(vms.waitFor([&] { return vms.other->seen["key"] == std::to_string(i); }));
    }
    CHECK(vms.other->store.calls == 0);
    // The relaying VM must soon notice when it can no longer reach the store.
    CHECK(vms.relaying->store.maxStoreWait <= StoreRelayOptions().maxStoreWait);
}

TEST_CASE("if the relaying VM cannot reach the store, the other polls it directly within 2 s")
{
    VmPair vms;
    vms.settle();
    vms.relaying->store.isUnavailable = true;
    vms.put("key", "new");
    CHECK(vms.waitFor([&] { return vms.other->seen["key"] == "new"; }, 2s));
    CHECK(vms.other->store.calls > 0);
}

TEST_CASE("if the relaying VM is unresponsive, the other polls the store directly within 2 s")
{
    VmPair vms;
    vms.settle();
    vms.relaying->isUnresponsive = true;
    vms.put("key", "new");
    CHECK(vms.waitFor([&] { return vms.other->seen["key"] == "new"; }, 2s));
}

TEST_CASE("the VMs of a small fleet poll the store themselves")
{
    VmPair vms({.minVmCount = 3});
    vms.put("key", "new");
    CHECK(vms.waitFor([&] { return vms.other->seen["key"] == "new"; }));
    CHECK_FALSE(vms.relaying->relay.servesOthers(http::EventLoop::now()));
}

TEST_CASE("a value too large to relay reaches the other VM from the store")
{
    VmPair vms;
    vms.settle();
    const std::string large(100000, 'x');
    vms.put("key", large);
    CHECK(vms.waitFor([&] { return vms.other->seen["key"] == large; }));
    CHECK(vms.other->store.calls > 0);
}

// Guards against VMs that take the relaying VM for one without its store, and wait or query the
// next one, because it has to read everything again (CONFIG).
TEST_CASE("if the relaying VM has to read everything again, the others call the store at once")
{
    VmPair vms;
    vms.settle();
    vms.relaying->store.hasNoHistory = true;
    vms.other->store.calls = 0;
    CHECK(vms.waitFor([&] { return vms.other->store.calls > 0; }, 200ms));
    CHECK(vms.other->metrics.text().find("teaseldrift_changes_unanswered_total 1")
          == std::string::npos);
}

// Guards against time-outs that add up: of the VMs that relay changes, and of a call to the store
// that failed (CONFIG). Changes must be in force within 3 s.
TEST_CASE("a VM learns of a change in time although all VMs that could relay it are suspended")
{
    VmZone vms(4, {.minVmCount = 4});
    vms.settle();
    for (const std::unique_ptr<Vm> &vm : vms.vms) {
        vm->isUnresponsive = vm.get() != vms.other;
    }
    REQUIRE(vms.waitFor([&] { return !vms.relaying->unanswered.empty(); }));
    vms.other->store.failuresLeft = 1;
    vms.put("key", "new");
    CHECK(vms.waitFor([&] { return vms.other->seen["key"] == "new"; }, 3s));
}

// Guards against a VM that relies on the store alone once a call to it has failed.
TEST_CASE("a VM that the store turns away receives changes from another VM again")
{
    VmPair vms;
    vms.settle();
    vms.relaying->isUnresponsive = true;
    vms.other->store.isUnavailable = true;
    REQUIRE(vms.waitFor([&] { return !vms.other->watcher.isConnected(); }));
    vms.relaying->isUnresponsive = false;
    vms.put("key", "new");
    // The VM queries the other one again after the cooldown.
    CHECK(vms.waitFor([&] { return vms.other->seen["key"] == "new"; },
                      StoreRelayOptions().unresponsiveCooldown + 2s));
}

// Guards against a representative that resumes and confirms what the store said before (CONFIG).
TEST_CASE("a VM that reads the store's response late does not relay it as confirmed")
{
    VmPair vms;
    vms.settle();
    vms.relaying->store.latePrefix = "late/";
    vms.relaying->store.readDelay = StoreRelayOptions().maxAge + 500ms;
    std::optional<RelayResult> result;
    constexpr uint64_t revision = 1000;
    vms.relaying->relayed.waitForChanges(
            "late/", revision, 10s, [&](std::error_code, const StoreSnapshot &) {
                vms.other->relay.query(
                        "late/", revision, 0,
                        [&](RelayResult end, const StoreSnapshot &) { result = end; });
            });
    REQUIRE(vms.waitFor([&] { return result.has_value(); }));
    CHECK(*result == RelayResult::Failed);
}

} // namespace teaseldrift::relay
