#include "teaseldrift/relay/desired_weights_tracker.hpp"

#include <functional>
#include <optional>
#include <span>
#include <string_view>

#include <fcntl.h>

#include <catch2/catch.hpp>

#include "teaseldrift/http/event_loop.hpp"

namespace teaseldrift::relay {

namespace {

constexpr Duration gracePeriod = 12s;
constexpr int64_t unixNowMs = 1'700'000'000'000;

/// A store with one record of a model's desired weights.
class RecordStore
{
public:
    explicit RecordStore(http::EventLoop &loop) : m_loop(loop) { }

    void readPrefix(std::string_view, store::ReadConsistency consistency,
                    std::function<void(std::error_code, const store::StoreSnapshot &)> handler)
    {
        currentReads += consistency == store::ReadConsistency::Current ? 1 : 0;
        if (failedReads > 0) {
            --failedReads;
            m_loop.post([handler = std::move(handler)] {
                handler(store::StoreError::Unavailable, {});
            });
            return;
        }
        store::StoreSnapshot snapshot;
        if (otherModel) {
            snapshot.entries.push_back({.key = "teaseldrift/weights/m-large",
                                        .value = otherModel->SerializeAsString(),
                                        .revision = 9});
        }
        if (record) {
            snapshot.entries.push_back({.key = "teaseldrift/weights/m",
                                        .value = record->SerializeAsString(),
                                        .revision = 1});
        }
        m_loop.post([handler = std::move(handler), snapshot] { handler({}, snapshot); });
    }

    void write(std::span<const store::StoreWrite> writes,
               std::function<void(store::StoreWriteResult)> handler)
    {
        schema::WeightsNaming written;
        REQUIRE(written.ParseFromString(writes.front().value));
        CHECK(writes.front().expectedRevision == (record ? 1 : 0));
        CHECK_FALSE(writes.front().isUnconditional);
        record = written;
        m_loop.post([handler = std::move(handler)] {
            handler({.outcome = store::StoreOutcome::Written});
        });
    }

    void waitForChanges(std::string_view, uint64_t, Duration,
                        std::function<void(std::error_code, const store::StoreSnapshot &)>)
    { }
    void grantLease(Duration, std::function<void(std::error_code, uint64_t)>) { }
    void renewLease(uint64_t, std::function<void(std::error_code)>) { }
    void revokeLease(uint64_t) { }

    std::optional<schema::WeightsNaming> record;
    std::optional<schema::WeightsNaming> otherModel;
    int failedReads = 0;
    int currentReads = 0;

private:
    http::EventLoop &m_loop;
};

struct Vm
{
    http::EventLoop loop;
    telemetry::EventLog log{{.descriptor = ::open("/dev/null", O_WRONLY | O_CLOEXEC)}};
    FleetState fleet{
            {.vmId = "vm-1", .availabilityZone = "z", .olderWeightsGracePeriod = gracePeriod},
            log,
            http::EventLoop::now()};
    RecordStore store{loop};
    std::optional<Instant> suspendedSince;
    DesiredWeightsTracker<RecordStore> tracker{loop, store, fleet, options()};

    DesiredWeightsTracker<RecordStore>::Options options()
    {
        return {.writeStagger = 10ms,
                .retryDelay = 10ms,
                .unixMs = [] { return unixNowMs; },
                .suspendedSince = [this](Instant) { return suspendedSince; }};
    }

    void learn(uint64_t version, bool isLiveChange = true)
    {
        tracker.update({.model = "m", .version = version}, isLiveChange, [] {});
        loop.startTimer(100ms, [this] { loop.stop(); });
        loop.run();
    }

    /// Oldest weights on which a request may start after a delay.
    [[nodiscard]] uint64_t minWeightsAfter(Duration delay) const
    {
        return fleet.minWeights("m", http::EventLoop::now() + delay);
    }
};

schema::WeightsNaming recordOf(uint64_t version, Duration age)
{
    schema::WeightsNaming record;
    record.set_model("m");
    record.set_version(version);
    record.set_named_at_unix_ms(unixNowMs - age / 1ms);
    return record;
}

} // namespace

// A VM that was suspended while new weights were named allowed the old ones for too long.
TEST_CASE("a VM that learns late of new weights counts the grace period from their naming")
{
    Vm vm;
    vm.suspendedSince = http::EventLoop::now() - 5s;
    vm.store.record = recordOf(3, 4s);
    vm.learn(3);
    CHECK(vm.minWeightsAfter(6s) == 0);
    CHECK(vm.minWeightsAfter(8s) == 3);
}

TEST_CASE("a VM that was suspended assumes that the weights were named at the start of it")
{
    Vm vm;
    vm.suspendedSince = http::EventLoop::now() - 5s;
    vm.learn(3);
    CHECK(vm.minWeightsAfter(5s) == 0);
    CHECK(vm.minWeightsAfter(6s) == 3);
    CHECK(vm.fleet.observedDesiredWeights().at("m").empty());
    REQUIRE(vm.store.record);
    CHECK(vm.store.record->named_at_unix_ms() <= unixNowMs - 5000);
}

TEST_CASE("a record with a wrong clock does not end the grace period of a VM that saw the change")
{
    Vm vm;
    vm.store.record = recordOf(3, 60s);
    vm.learn(3);
    CHECK(vm.minWeightsAfter(8s) == 0);
}

TEST_CASE("the change time is read again until the store responds")
{
    Vm vm;
    vm.store.record = recordOf(3, 4s);
    vm.store.failedReads = 3;
    vm.suspendedSince = http::EventLoop::now() - 5s;
    vm.learn(3);
    CHECK(vm.minWeightsAfter(6s) == 0);
    CHECK(vm.minWeightsAfter(8s) == 3);
}

TEST_CASE("a VM that starts assumes half of the grace period until it knows the change time")
{
    Vm vm;
    vm.learn(3, false);
    CHECK(vm.minWeightsAfter(3s) == 0);
    CHECK(vm.minWeightsAfter(6s) == 3);
    REQUIRE(vm.store.record);
    CHECK(vm.store.record->named_at_unix_ms() <= unixNowMs - 6000);
}

TEST_CASE("a record of an older version is replaced, one of the same version is kept")
{
    Vm vm;
    vm.store.record = recordOf(2, 60s);
    vm.learn(3);
    REQUIRE(vm.store.record);
    CHECK(vm.store.record->version() == 3);
    vm.store.record = recordOf(3, 1s);
    vm.learn(3);
    CHECK(vm.store.record->named_at_unix_ms() == unixNowMs - 1000);
}

TEST_CASE("the record of a model whose name begins alike is neither used nor replaced")
{
    Vm vm;
    vm.store.otherModel = recordOf(3, 11s);
    vm.learn(3);
    CHECK(vm.minWeightsAfter(8s) == 0);
    REQUIRE(vm.store.record);
    CHECK(vm.store.record->version() == 3);
}

// With hundreds of VMs, current reads of the record at each change were the dearest calls.
TEST_CASE("a VM that has been connected to the store for long reads no current record of a change")
{
    Vm vm;
    vm.fleet.storeRegained(http::EventLoop::now() - 6s);
    vm.learn(2);
    CHECK(vm.store.currentReads == 0);
}

TEST_CASE("a VM that was disconnected or suspended reads the current record of a change")
{
    Vm vm;
    SECTION("connected again a moment ago")
    {
        vm.fleet.storeRegained(http::EventLoop::now() - 1s);
    }
    SECTION("disconnected")
    {
        vm.fleet.storeRegained(http::EventLoop::now() - 10s);
        vm.fleet.storeLost(http::EventLoop::now());
    }
    SECTION("suspended")
    {
        vm.fleet.storeRegained(http::EventLoop::now() - 10s);
        vm.suspendedSince = http::EventLoop::now() - 2s;
    }
    vm.learn(2);
    CHECK(vm.store.currentReads == 1);
}

} // namespace teaseldrift::relay
