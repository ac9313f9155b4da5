#include "teaseldrift/relay/membership_task.hpp"

#include <fcntl.h>

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
                .revision = m_revision};
        std::exchange(m_waiting, nullptr)({}, changes);
    }

    void readPrefix(std::string_view, store::ReadConsistency consistency, ReadHandler handler)
    {
        ++(consistency == store::ReadConsistency::Current ? currentReads : staleReads);
        hadRecordAtRead = hasRecord;
        m_loop.post([this, handler = std::move(handler)] {
            handler({}, {.entries = m_entries, .revision = m_revision});
        });
    }

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

private:
    http::EventLoop &m_loop;
    std::vector<store::StoreEntry> m_entries;
    uint64_t m_revision = 10;
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
