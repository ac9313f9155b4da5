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
        if (lostWrites > 0) {
            --lostWrites;
            m_loop.post([handler = std::move(handler)] {
                handler({.outcome = store::StoreOutcome::Unknown});
            });
            return;
        }
        schema::WeightsNaming written;
        REQUIRE(written.ParseFromString(writes.front().value));
        ++writesDone;
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
    /// Writes that get no response and have no effect.
    int lostWrites = 0;
    int writesDone = 0;
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

    void learn(uint64_t version, RecordOrigin origin = RecordOrigin::Change)
    {
        tracker.update({.model = "m", .version = version}, origin, [] {});
        loop.startTimer(100ms, [this] { loop.stop(); });
        loop.run();
    }

    /// Oldest weights on which a request may start after a delay.
    [[nodiscard]] uint64_t minWeightsAfter(Duration delay) const
    {
        return fleet.minWeights("m", http::EventLoop::now() + delay);
    }
};

/// A record as it was written before it held earlier versions.
schema::WeightsNaming recordOf(uint64_t version, Duration age)
{
    schema::WeightsNaming record;
    record.set_model("m");
    record.set_version(version);
    record.set_named_at_unix_ms(unixNowMs - age / 1ms);
    return record;
}

void addEarlier(schema::WeightsNaming &record, uint64_t version, Duration age)
{
    schema::WeightsNaming::Change &change = *record.add_earlier();
    change.set_version(version);
    change.set_named_at_unix_ms(unixNowMs - age / 1ms);
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

// After a restart of all VMs, older weights were judged by the age of the newest version (VERSION,
// review/9).
TEST_CASE("all VMs restart: each weights version is judged by its own change")
{
    Vm vm;
    vm.store.record = recordOf(4, 3s);
    addEarlier(*vm.store.record, 2, 9s);
    addEarlier(*vm.store.record, 3, 6s);
    vm.learn(4, RecordOrigin::FirstRead);
    CHECK(vm.minWeightsAfter(1s) <= 1);
    CHECK(vm.minWeightsAfter(2s) == 2);
    CHECK(vm.minWeightsAfter(5s) == 3);
    CHECK(vm.minWeightsAfter(8s) == 4);
}

TEST_CASE("all VMs restart: a record without earlier versions allows only the one before it")
{
    Vm vm;
    vm.store.record = recordOf(4, 3s);
    vm.learn(4, RecordOrigin::FirstRead);
    CHECK(vm.minWeightsAfter(0s) == 3);
    CHECK(vm.minWeightsAfter(7s) == 3);
    CHECK(vm.minWeightsAfter(8s) == 4);
}

// All VMs failed before one of them wrote when the newest version was named.
TEST_CASE("all VMs restart: a version without a record counts from the change before it")
{
    Vm vm;
    vm.store.record = recordOf(3, 2s);
    vm.learn(4, RecordOrigin::FirstRead);
    CHECK(vm.minWeightsAfter(8s) == 2);
    CHECK(vm.minWeightsAfter(9s) == 4);
}

TEST_CASE("all VMs restart: without any record no older weights are allowed")
{
    Vm vm;
    vm.learn(3, RecordOrigin::FirstRead);
    CHECK(vm.minWeightsAfter(0s) == 3);
}

TEST_CASE("a VM that starts allows no older weights while the store does not respond")
{
    Vm vm;
    vm.store.record = recordOf(3, 4s);
    vm.store.failedReads = 1000;
    vm.learn(3, RecordOrigin::FirstRead);
    CHECK(vm.minWeightsAfter(0s) == 3);
    vm.store.failedReads = 0;
    vm.loop.startTimer(100ms, [&vm] { vm.loop.stop(); });
    vm.loop.run();
    CHECK(vm.minWeightsAfter(6s) == 2);
    CHECK(vm.minWeightsAfter(8s) == 3);
}

TEST_CASE("a VM that starts takes the change times from a VM that saw the changes")
{
    Vm vm;
    vm.learn(4, RecordOrigin::FirstRead);
    for (int exchange = 0; exchange < 2; ++exchange) {
        for (uint64_t version = 2; version <= 4; ++version) {
            vm.fleet.setDesiredWeights("m", version, 1s, ChangeTimeSource::Observed,
                                       http::EventLoop::now());
        }
    }
    CHECK(vm.minWeightsAfter(8s) <= 1);
    CHECK(vm.minWeightsAfter(11s) == 4);
}

TEST_CASE("the record holds all versions whose change may still matter")
{
    Vm vm;
    vm.learn(2);
    vm.learn(3);
    vm.learn(4);
    REQUIRE(vm.store.record);
    const std::vector<RecordedWeightsChange> changes = changesOf(*vm.store.record);
    REQUIRE(changes.size() == 3);
    CHECK(vm.store.record->version() == 4);
    CHECK(changes[0].previous == uint64_t{0});
    CHECK(changes[1].previous == uint64_t{2});
    CHECK(changes[2].version == 4);
}

// A VM that has not been updated yet writes the newest version alone.
TEST_CASE("versions that another VM has left out of the record are written again")
{
    Vm vm;
    vm.learn(2);
    vm.learn(3);
    vm.store.record = recordOf(4, 0s);
    vm.learn(4);
    REQUIRE(vm.store.record);
    CHECK(vm.store.record->version() == 4);
    CHECK(changesOf(*vm.store.record).size() == 3);
}

TEST_CASE("a write of the record that gets no response is repeated")
{
    Vm vm;
    vm.store.lostWrites = 2;
    vm.learn(3);
    REQUIRE(vm.store.record);
    CHECK(vm.store.record->version() == 3);
    CHECK(vm.store.writesDone == 1);
}

// Without the number before, a skipped one would count as a version named long ago.
TEST_CASE("numbers that were skipped are not taken for versions")
{
    Vm vm;
    vm.learn(2);
    vm.learn(7);
    CHECK(vm.minWeightsAfter(8s) <= 1);
    CHECK(vm.minWeightsAfter(11s) == 7);
}

// An operator writes the record again after the store has returned from an older copy. A VM that
// had restarted then allowed weights that were superseded before the version at hand.
TEST_CASE("a weights version that is written again after a restart says nothing of those before it")
{
    Vm vm;
    vm.store.record = recordOf(4, 3s);
    vm.learn(4, RecordOrigin::FirstRead);
    vm.learn(4);
    CHECK(vm.minWeightsAfter(0s) == 3);
    CHECK(vm.minWeightsAfter(8s) == 4);
}

TEST_CASE("after a gap in the changes, a version that may have been missed counts as named")
{
    Vm vm;
    vm.learn(2);
    vm.learn(7, RecordOrigin::Reread);
    CHECK(vm.minWeightsAfter(8s) <= 1);
    const std::optional<Instant> latest = vm.fleet.latestStart("m", 6);
    REQUIRE(latest);
    CHECK(vm.fleet.latestStart("m", 2) < latest);
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
