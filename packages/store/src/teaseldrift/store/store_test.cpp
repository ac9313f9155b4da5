#include <catch2/catch.hpp>

#include "standins/store_gateway.hpp"
#include "standins/vm_list_service.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/store/etcd_store.hpp"
#include "teaseldrift/store/http_vm_list.hpp"

namespace teaseldrift::store {

namespace {

/// An event loop with a fake store gateway and a client of it.
struct StoreFixture
{
    http::EventLoop loop;
    standins::StoreGateway gateway{loop};
    http::Server server{loop, {}, [this](const std::shared_ptr<http::Exchange> &exchange) {
                            gateway.handle(exchange);
                        }};
    std::unique_ptr<EtcdStore> store;

    StoreFixture()
    {
        REQUIRE_FALSE(server.listen());
        store = std::make_unique<EtcdStore>(
                loop, http::Endpoint{.address = "127.0.0.1", .port = server.port()}, 300ms);
        loop.startTimer(20s, [this] { loop.stop(); });
    }

    StoreWriteResult write(const StoreWrite &write)
    {
        StoreWriteResult result;
        store->write({&write, 1}, [&](StoreWriteResult received) {
            result = received;
            loop.stop();
        });
        loop.run();
        return result;
    }

    StoreSnapshot readChanges(uint64_t afterRevision)
    {
        StoreSnapshot result;
        store->readChanges("/a/", afterRevision,
                           [&](std::error_code error, const StoreSnapshot &snapshot) {
                               CHECK_FALSE(error);
                               result = snapshot;
                               loop.stop();
                           });
        loop.run();
        return result;
    }
};

} // namespace

TEST_CASE("a read of changes returns newer entries and the count of all keys")
{
    StoreFixture fixture;
    const uint64_t first = fixture.write({.key = "/a/1", .value = "one"}).revision;
    const std::string binary("two\0\xFF", 5);
    fixture.write({.key = "/a/2", .value = binary});
    fixture.write({.key = "/b/1", .value = "other"});
    const StoreSnapshot snapshot = fixture.readChanges(first);
    REQUIRE(snapshot.entries.size() == 1);
    CHECK(snapshot.entries[0].value == binary);
    CHECK(snapshot.count == 2);
}

TEST_CASE("the second of two writes that expect the same revision is a conflict")
{
    StoreFixture fixture;
    const uint64_t first = fixture.write({.key = "/a/1", .value = "one"}).revision;
    const StoreWrite update{.key = "/a/1", .value = "two", .expectedRevision = first};
    CHECK(fixture.write(update).outcome == StoreOutcome::Written);
    CHECK(fixture.write(update).outcome == StoreOutcome::Conflict);
}

TEST_CASE("a lost response gives an unknown outcome although the write took effect")
{
    StoreFixture fixture;
    fixture.gateway.setFault("lose_answers");
    CHECK(fixture.write({.key = "/a/1", .value = "one"}).outcome == StoreOutcome::Unknown);
    fixture.gateway.setFault("slow", 2s);
    CHECK(fixture.write({.key = "/a/2", .value = "two"}).outcome == StoreOutcome::Unknown);
    fixture.gateway.setFault("none");
    CHECK(fixture.readChanges(0).count == 2);
}

TEST_CASE("a watch reports changes after its start revision and calls back when it is closed")
{
    StoreFixture fixture;
    const uint64_t first = fixture.write({.key = "/a/1", .value = "one"}).revision;
    fixture.write({.key = "/a/2", .value = "two"});
    std::vector<StoreEntry> seen;
    bool isClosed = false;
    fixture.store->watchPrefix(
            "/a/", first,
            [&](std::span<const StoreEntry> entries) {
                seen.insert(seen.end(), entries.begin(), entries.end());
                if (seen.size() == 2) {
                    fixture.gateway.setFault("down");
                }
            },
            [&] {
                isClosed = true;
                fixture.loop.stop();
            });
    fixture.loop.startTimer(100ms, [&] {
        const StoreWrite erase{.key = "/a/1", .isDelete = true, .expectedRevision = first};
        fixture.store->write({&erase, 1}, [](StoreWriteResult) {});
    });
    fixture.loop.run();
    CHECK(isClosed);
    REQUIRE(seen.size() == 2);
    CHECK(seen[0].key == "/a/2");
    CHECK(seen[1].deleted);
}

TEST_CASE("the keys of a lease are deleted when it expires")
{
    StoreFixture fixture;
    uint64_t lease = 0;
    fixture.store->grantLease(1s, [&](std::error_code error, uint64_t id) {
        CHECK_FALSE(error);
        lease = id;
        fixture.loop.stop();
    });
    fixture.loop.run();
    fixture.write({.key = "/a/1", .value = "one", .lease = lease});
    Duration left{};
    fixture.store->renewLease(lease, [&](std::error_code, Duration received) {
        left = received;
        fixture.loop.stop();
    });
    fixture.loop.run();
    CHECK(left == 1s);
    fixture.loop.startTimer(1500ms, [&] { fixture.loop.stop(); });
    fixture.loop.run();
    CHECK(fixture.readChanges(0).count == 0);
}

TEST_CASE("an unchanged list of VMs is not transferred again")
{
    http::EventLoop loop;
    standins::VmListService service(loop, Duration::zero());
    int bodies = 0;
    http::Server server(loop, {}, [&](const std::shared_ptr<http::Exchange> &exchange) {
        bodies += http::findHeader(exchange->headers(), "if-none-match").empty() ? 1 : 0;
        service.handle(exchange);
    });
    REQUIRE_FALSE(server.listen());
    loop.startTimer(20s, [&loop] { loop.stop(); });
    HttpVmList list(loop, {.address = "127.0.0.1", .port = server.port()}, 300ms);
    service.setList(R"([{"id": "vm-1", "address": "127.0.0.1", "caller_port": 80,
                         "peer_port": 90, "zone": "perth", "state": "leaving"},
                        {"id": "vm-2", "address": "127.0.0.1", "state": "gone"}])");
    for (int i = 0; i < 2; ++i) {
        std::vector<VmRecord> records;
        list.read([&](std::error_code error, const std::vector<VmRecord> &received) {
            CHECK_FALSE(error);
            records = received;
            loop.stop();
        });
        loop.run();
        REQUIRE(records.size() == 1);
        CHECK(records[0].state == VmState::Leaving);
        CHECK(records[0].peerPort == 90);
    }
    CHECK(bodies == 1);
    service.setList("no list");
    std::error_code failed;
    list.read([&](std::error_code error, const std::vector<VmRecord> &) {
        failed = error;
        loop.stop();
    });
    loop.run();
    CHECK(failed);
}

// Guards against one odd entry that makes the whole list unreadable.
TEST_CASE("odd entries of the list of VMs are left out, the others hold")
{
    http::EventLoop loop;
    standins::VmListService service(loop, Duration::zero());
    http::Server server(loop, {}, [&](const std::shared_ptr<http::Exchange> &exchange) {
        service.handle(exchange);
    });
    REQUIRE_FALSE(server.listen());
    loop.startTimer(20s, [&loop] { loop.stop(); });
    HttpVmList list(loop, {.address = "127.0.0.1", .port = server.port()}, 300ms);
    const std::string deep = std::string(50, '[') + std::string(50, ']');
    service.setList(R"([{"id":"vm-1","address":"127.0.0.1","caller_port":80,"peer_port":90},
                        {"id":"vm-2","address":"127.0.0.1","caller_port":70000,"peer_port":90},
                        {"id":"vm-3","address":"127.0.0.1","caller_port":80,"peer_port":65626},
                        {"id":"vm-4","address":"127.0.0.1","caller_port":-80,"peer_port":90},
                        {"id":"vm-5","address":"127.0.0.1","caller_port":"80","peer_port":90},
                        {"id":6,"address":"127.0.0.1"}, {"id":"vm-7"}, "vm-8", null, 9,
                        {"id":"vm-10","address":"127.0.0.1","zone":)"
                    + deep + "}]");
    std::vector<VmRecord> records;
    std::error_code failed;
    list.read([&](std::error_code error, const std::vector<VmRecord> &received) {
        failed = error;
        records = received;
        loop.stop();
    });
    loop.run();
    CHECK_FALSE(failed);
    REQUIRE(records.size() == 1);
    CHECK(records[0].id == "vm-1");
}

} // namespace teaseldrift::store
