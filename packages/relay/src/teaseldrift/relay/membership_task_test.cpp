#include "teaseldrift/relay/membership_task.hpp"

#include <fcntl.h>
#include <optional>

#include <catch2/catch.hpp>

namespace teaseldrift::relay {

namespace {

/// A store that counts calls and holds the records of other VMs.
class CountingStore
{
public:
    using ReadHandler = std::function<void(std::error_code, const store::StoreSnapshot &)>;

    explicit CountingStore(http::EventLoop &loop) : m_loop(loop) { }

    void add(size_t vms)
    {
        for (size_t i = 0; i < vms; ++i) {
            schema::VmRecord record;
            record.set_vm_id("vm-" + std::to_string(i));
            record.set_availability_zone("north");
            m_entries.push_back({.key = "teaseldrift/vms/" + record.vm_id(),
                                 .value = record.SerializeAsString(),
                                 .revision = ++m_revision});
        }
    }

    void remove(const std::string &vm)
    {
        std::erase_if(m_entries, [&](const store::StoreEntry &entry) {
            return entry.key == "teaseldrift/vms/" + vm;
        });
        const store::StoreSnapshot changes{
                .entries
                = {{.key = "teaseldrift/vms/" + vm, .revision = ++m_revision, .deleted = true}},
                .revision = m_revision,
                .epoch = m_epoch};
        std::exchange(m_waiting, nullptr)({}, changes);
    }

    void readPrefix(std::string_view, store::ReadConsistency consistency, ReadHandler handler)
    {
        ++(consistency == store::ReadConsistency::Current ? currentReads : staleReads);
        hadRecordAtRead = hasRecord;
        const bool isStale = consistency == store::ReadConsistency::AllowStale && stale;
        m_loop.post([handler = std::move(handler), snapshot = isStale ? *stale : snapshot()] {
            handler({}, snapshot);
        });
    }

    [[nodiscard]] store::StoreSnapshot snapshot() const
    {
        return {.entries = m_entries, .revision = m_revision, .epoch = m_epoch};
    }

    /// Removes a record without telling waiting calls.
    void drop(const std::string &vm)
    {
        std::erase_if(m_entries, [&](const store::StoreEntry &entry) {
            return entry.key == "teaseldrift/vms/" + vm;
        });
        ++m_revision;
    }

    /// Writes a record again, as a VM that starts again does.
    void write(size_t vm)
    {
        schema::VmRecord record;
        record.set_vm_id("vm-" + std::to_string(vm));
        m_entries.push_back({.key = "teaseldrift/vms/" + record.vm_id(),
                             .value = record.SerializeAsString(),
                             .revision = ++m_revision});
    }

    /// Returns from an older copy.
    void restore(const store::StoreSnapshot &copy)
    {
        m_entries = copy.entries;
        m_revision = copy.revision;
        ++m_epoch;
        stale.reset();
        if (m_waiting) {
            std::exchange(m_waiting, nullptr)({}, {.revision = m_revision, .epoch = m_epoch});
        }
    }

    /// Drops the changes that a waiting call needs.
    void compact() { std::exchange(m_waiting, nullptr)(store::StoreError::Compacted, {}); }

    void waitForChanges(std::string_view, uint64_t, Duration, const ReadHandler &) { }

    bool relaysChanges() const { return m_entries.size() >= 20; }

    void followChanges(std::string_view, uint64_t, Duration, ReadHandler handler)
    {
        ++waits;
        m_waiting = std::move(handler);
    }

    void write(std::span<const store::StoreWrite>,
               std::function<void(store::StoreWriteResult)> handler)
    {
        m_loop.post([this, handler = std::move(handler)] {
            hasRecord = true;
            handler({.outcome = store::StoreOutcome::Written});
        });
    }

    void grantLease(Duration ttl, std::function<void(std::error_code, uint64_t)> handler)
    {
        ++grants;
        lastTtl = ttl;
        m_loop.post([handler = std::move(handler)] { handler({}, 1); });
    }

    void renewLease(uint64_t, std::function<void(std::error_code)> handler)
    {
        ++renewals;
        m_loop.post([handler = std::move(handler)] { handler({}); });
    }

    void revokeLease(uint64_t) { }

    int currentReads = 0;
    int staleReads = 0;
    int waits = 0;
    int renewals = 0;
    int grants = 0;
    bool hasRecord = false;
    bool hadRecordAtRead = false;
    Duration lastTtl{0};
    /// What stale reads return; empty for what current reads return.
    std::optional<store::StoreSnapshot> stale;

private:
    http::EventLoop &m_loop;
    std::vector<store::StoreEntry> m_entries;
    uint64_t m_revision = 10;
    uint64_t m_epoch = 1;
    ReadHandler m_waiting;
};

struct Vm
{
    explicit Vm(size_t others) : store(loop)
    {
        store.add(others);
        membership.start();
    }

    void runFor(Duration duration)
    {
        loop.startTimer(duration, [this] { loop.stop(); });
        loop.run();
    }

    http::EventLoop loop;
    telemetry::EventLog log{{.descriptor = ::open("/dev/null", O_WRONLY | O_CLOEXEC)}};
    FleetState fleet{{.vmId = "vm-0", .availabilityZone = "north"}, log, http::EventLoop::now()};
    CountingStore store;
    MembershipTask<CountingStore> membership{loop,
                                             store,
                                             fleet,
                                             {.readInterval = 50ms,
                                              .maxStaleTime = 200ms,
                                              .changesDelay = 10ms,
                                              .leaseTtl = 300ms,
                                              .renewInterval = 100ms,
                                              .largeFleetTtl = 900ms,
                                              .largeFleetRenewInterval = 400ms,
                                              .settlingTime = 100ms}};
};

} // namespace

TEST_CASE("a VM reads the list of VMs once its own record is in the store")
{
    Vm vm(5);
    vm.runFor(30ms);
    CHECK(vm.store.currentReads == 1);
    CHECK(vm.store.hadRecordAtRead);
    CHECK(vm.fleet.findVm("vm-4") != nullptr);
}

TEST_CASE("a VM of a small fleet reads the list at intervals, and renews its lease often")
{
    Vm vm(5);
    vm.runFor(1s);
    CHECK(vm.store.waits == 0);
    CHECK(vm.store.staleReads >= 10);
    CHECK(vm.store.lastTtl == Duration(300ms));
    CHECK(vm.store.renewals >= 6);
    CHECK(vm.store.grants == 2);
}

// Each VM read the whole list every second: the cost of a VM grew with the fleet.
TEST_CASE("a VM of a large fleet waits for changes of the list, and renews a longer lease")
{
    Vm vm(195);
    vm.runFor(1s);
    CHECK(vm.store.waits == 1);
    CHECK(vm.store.staleReads <= 2);
    CHECK(vm.store.currentReads == 1);
    CHECK(vm.store.lastTtl == Duration(900ms));
    CHECK(vm.store.renewals <= 3);
    CHECK(vm.store.grants == 1);
    CHECK(vm.fleet.findVm("vm-7") != nullptr);
    vm.store.remove("vm-7");
    vm.runFor(20ms);
    CHECK(vm.fleet.findVm("vm-7") == nullptr);
    CHECK(vm.fleet.findVm("vm-8") != nullptr);
}

// Guards against a directory that lists VMs which left long ago, after a read that is older than
// what the VM knows (DRAIN).
TEST_CASE("a stale read that is older than what is known brings no VM back")
{
    Vm vm(5);
    vm.runFor(80ms);
    const store::StoreSnapshot old = vm.store.snapshot();
    vm.store.drop("vm-3");
    vm.runFor(80ms);
    REQUIRE(vm.fleet.findVm("vm-3") == nullptr);
    vm.store.stale = old;
    for (int i = 0; i < 10; ++i) {
        vm.runFor(50ms);
        CHECK(vm.fleet.findVm("vm-3") == nullptr);
        CHECK(vm.fleet.findVm("vm-4") != nullptr);
    }
    // Changes reach the VM all the same while stale reads stay behind.
    vm.store.write(3);
    vm.runFor(500ms);
    CHECK(vm.fleet.findVm("vm-3") != nullptr);
    CHECK(vm.store.currentReads <= 5);
}

TEST_CASE("a store that has compacted its changes brings no VM back by a stale read")
{
    Vm vm(30);
    vm.runFor(100ms);
    const store::StoreSnapshot old = vm.store.snapshot();
    REQUIRE(vm.store.waits == 1);
    vm.store.remove("vm-7");
    vm.runFor(50ms);
    REQUIRE(vm.fleet.findVm("vm-7") == nullptr);
    vm.store.stale = old;
    vm.store.compact();
    for (int i = 0; i < 10; ++i) {
        vm.runFor(30ms);
        CHECK(vm.fleet.findVm("vm-7") == nullptr);
    }
    CHECK(vm.fleet.findVm("vm-8") != nullptr);
}

TEST_CASE("a store that returns from an older copy brings no VM back that is known to have left")
{
    const size_t vms = GENERATE(5, 30);
    Vm vm(vms);
    vm.runFor(100ms);
    const store::StoreSnapshot copy = vm.store.snapshot();
    vm.store.write(vms);
    const std::string youngest = "vm-" + std::to_string(vms);
    if (vms > 20) {
        vm.store.remove("vm-3");
    } else {
        vm.store.drop("vm-3");
    }
    vm.runFor(100ms);
    REQUIRE(vm.fleet.findVm("vm-3") == nullptr);
    vm.store.restore(copy);
    for (int i = 0; i < 4; ++i) {
        vm.runFor(50ms);
        CHECK(vm.fleet.findVm("vm-3") == nullptr);
        CHECK(vm.fleet.findVm("vm-4") != nullptr);
    }
    // VMs that are missing from the copy, and one that starts again, are listed once they have
    // written their records.
    vm.store.write(vms);
    vm.store.drop("vm-3");
    vm.store.write(3);
    if (vms > 20) {
        vm.store.compact();
    }
    vm.runFor(150ms);
    CHECK(vm.fleet.findVm(youngest) != nullptr);
    CHECK(vm.fleet.findVm("vm-3") != nullptr);
}

TEST_CASE("as many VMs as asked for are among the first in rendezvous order")
{
    Vm vm(195);
    vm.runFor(30ms);
    std::map<std::string, schema::VmRecord, std::less<>> vms;
    for (size_t i = 0; i < 195; ++i) {
        const std::string id = "vm-" + std::to_string(i);
        vms.emplace(id, *vm.fleet.findVm(id));
    }
    size_t count = 0;
    for (const std::pair<const std::string, schema::VmRecord> &each : vms) {
        FleetState fleet({.vmId = each.first}, vm.log, http::EventLoop::now());
        fleet.applyVms(vms, http::EventLoop::now(), http::EventLoop::now());
        count += fleet.isAmongFirst("key", 8) ? 1 : 0;
    }
    CHECK(count == 8);
}

} // namespace teaseldrift::relay
