#include "teaseldrift/relay/target_permits.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include <fcntl.h>

#include <catch2/catch.hpp>

#include "target_limit_messages.hpp"
#include "teaseldrift/relay/permitted_order_channel.hpp"

namespace teaseldrift::relay {

namespace {

/// A VM with its own loopback server for other VMs.
struct Vm
{
    Vm(http::EventLoop &loop, const std::string &id)
        : log({.descriptor = ::open("/dev/null", O_WRONLY | O_CLOEXEC)}),
          server(loop, {},
                 [this](const std::shared_ptr<http::Exchange> &exchange) {
                     largestMessage = std::max(largestMessage, exchange->body().size());
                     isOwnPath = isOwnPath && TargetPermits::isMessage(exchange->path())
                                 && !UsageTask::isMessage(exchange->path());
                     permits.handle(exchange);
                 }),
          fleet({.vmId = id,
                 .peerAddress = "127.0.0.1:" + std::to_string(listen()),
                 .minVmCount = 1},
                log, http::EventLoop::now() - 60s),
          peers(loop, {.connectTimeout = 50ms}), permits(loop, peers, fleet, log, metrics)
    {
        fleet.leaseRenewed(http::EventLoop::now(), 60s, http::EventLoop::now());
    }

    uint16_t listen()
    {
        REQUIRE_FALSE(server.listen());
        return server.port();
    }

    telemetry::EventLog log;
    telemetry::Metrics metrics;
    size_t largestMessage = 0;
    bool isOwnPath = true;
    http::Server server;
    FleetState fleet;
    http::Client peers;
    TargetPermits permits;
};

const TargetLimitKey target = limitKeyOf("t", 3);

void addTarget(Vm &vm, uint64_t startedAtMs)
{
    vm.fleet.applyTarget(
            {.id = "t", .service = "s", .address = "10.0.0.1:80", .startedAtMs = startedAtMs},
            http::EventLoop::now());
}

void join(const std::vector<std::unique_ptr<Vm>> &vms)
{
    std::map<std::string, schema::VmRecord, std::less<>> list;
    for (const std::unique_ptr<Vm> &vm : vms) {
        schema::VmRecord &record = list[vm->fleet.options().vmId];
        record.set_vm_id(vm->fleet.options().vmId);
        record.set_peer_address(vm->fleet.options().peerAddress);
    }
    for (const std::unique_ptr<Vm> &vm : vms) {
        vm->fleet.applyVms(list, http::EventLoop::now(), http::EventLoop::now());
        addTarget(*vm, target.startedAtMs);
    }
}

PermitDecision acquire(http::EventLoop &loop, Vm &vm, Duration maxWait = Duration(0))
{
    std::optional<PermitDecision> decision;
    bool isWaiting = false;
    vm.permits.acquire({.target = target, .maxWait = maxWait, .term = 2s},
                       [&](const PermitDecision &result) {
                           decision = result;
                           if (isWaiting) {
                               loop.stop();
                           }
                       });
    if (!decision) {
        isWaiting = true;
        const http::EventLoop::TimerId watchdog = loop.startTimer(5s, [&loop] { loop.stop(); });
        loop.run();
        loop.cancelTimer(watchdog);
    }
    REQUIRE(decision);
    return *decision;
}

void nameLimit(Vm &vm, double perSecond)
{
    schema::TargetLimit limit;
    limit.set_target_key(target.target);
    limit.set_started_at_ms(target.startedAtMs);
    limit.set_per_second(perSecond);
    vm.fleet.applyTargetLimit(limit, http::EventLoop::now());
}

} // namespace

// Guards against each VM granting a target's limit by itself (LIMIT), also if all but one of them
// have not heard of it.
TEST_CASE("VMs together grant a target's limit once")
{
    http::EventLoop loop;
    std::vector<std::unique_ptr<Vm>> vms;
    for (const char *id : {"a", "b", "c", "d"}) {
        vms.push_back(std::make_unique<Vm>(loop, id));
    }
    join(vms);
    const size_t asking = GENERATE(1, 4);
    for (size_t i = 0; i < asking; ++i) {
        nameLimit(*vms[i], 2.0);
    }
    int granted = 0;
    for (int i = 0; i < 40; ++i) {
        Vm &vm = *vms[static_cast<size_t>(i) % asking];
        const PermitDecision decision = acquire(loop, vm);
        granted += decision.permit ? 1 : 0;
        CHECK((decision.permit || decision.retryAfter > Duration(0)));
    }
    CHECK(granted <= 3);
    for (const std::unique_ptr<Vm> &vm : vms) {
        CHECK(vm->isOwnPath);
        CHECK(vm->largestMessage < 128);
    }
}

TEST_CASE("permits are reserved one after the other, and returned")
{
    http::EventLoop loop;
    std::vector<std::unique_ptr<Vm>> vms;
    vms.push_back(std::make_unique<Vm>(loop, "a"));
    vms.push_back(std::make_unique<Vm>(loop, "b"));
    join(vms);
    nameLimit(*vms[0], 2.0);
    nameLimit(*vms[1], 2.0);
    while (acquire(loop, *vms[0]).permit) { }
    const PermitDecision first = acquire(loop, *vms[0], 3s);
    const PermitDecision second = acquire(loop, *vms[1], 3s);
    REQUIRE(first.permit);
    REQUIRE(second.permit);
    CHECK(first.wait > Duration(0));
    CHECK(second.wait > first.wait + 400ms);
    CHECK_FALSE(acquire(loop, *vms[1], 100ms).permit);
    vms[0]->permits.refund(*first.permit);
    const PermitDecision again = acquire(loop, *vms[0]);
    REQUIRE(again.permit);
    CHECK(again.permit->grantedAt == first.permit->grantedAt);
}

TEST_CASE("a limit that has ended grants everything")
{
    http::EventLoop loop;
    Vm vm(loop, "a");
    CHECK_FALSE(vm.permits.isLimited(target));
    CHECK(acquire(loop, vm).permit);
}

// Guards against limits of former targets that VMs send each other forever.
TEST_CASE("the limit of a target that is gone or has restarted does not come back from another VM")
{
    http::EventLoop loop;
    Vm vm(loop, "a");
    nameLimit(vm, 2.0);
    CHECK_FALSE(vm.permits.isLimited(target));
    addTarget(vm, target.startedAtMs);
    nameLimit(vm, 2.0);
    CHECK(vm.permits.isLimited(target));

    SECTION("gone")
    {
        vm.fleet.removeTarget("t", http::EventLoop::now());
    }

    SECTION("restarted")
    {
        addTarget(vm, target.startedAtMs + 1);
    }
    CHECK(vm.fleet.targetLimits().count() == 0);
    nameLimit(vm, 2.0);
    CHECK(vm.fleet.targetLimits().count() == 0);
}

TEST_CASE("messages with limits of targets are bounded, and cover all in turn")
{
    TargetLimits limits;
    const Instant now(100s);
    for (uint32_t i = 0; i < 150; ++i) {
        limits.named({.target = i}, 2.0, now);
    }
    TargetLimits other;
    size_t first = 0;
    for (int message = 0; message < 3; ++message) {
        const schema::TargetLimits part = targetLimitsFor(limits, other.digest(), first, now);
        CHECK(part.limits_size() == maxLimitsPerMessage);
        CHECK(part.ByteSizeLong() < 3072);
        first += static_cast<size_t>(part.limits_size());
        for (const schema::TargetLimit &limit : part.limits()) {
            other.merge(*readTargetLimit(limit, now), now);
        }
    }
    CHECK(other.digest() == limits.digest());
    CHECK(targetLimitsFor(limits, other.digest(), 0, now).ByteSizeLong() < 16);
}

TEST_CASE("a limit in a message that is no number of requests is ignored")
{
    for (const double perSecond : {-1.0, std::nan(""), HUGE_VAL}) {
        schema::TargetLimit message;
        message.set_per_second(perSecond);
        CHECK_FALSE(readTargetLimit(message, Instant(100s)));
    }
}

namespace {

/// VMs that know that the target is brittle; it has 6 slots, so that one permit is granted at
/// first.
std::vector<std::unique_ptr<Vm>> vmsBeforeBrittleTarget(http::EventLoop &loop)
{
    std::vector<std::unique_ptr<Vm>> vms;
    for (const char *id : {"a", "b", "c"}) {
        vms.push_back(std::make_unique<Vm>(loop, id));
    }
    join(vms);
    const Instant now = http::EventLoop::now();
    for (const std::unique_ptr<Vm> &vm : vms) {
        vm->fleet.applyTarget({.id = "t",
                               .service = "s",
                               .address = "10.0.0.1:80",
                               .slots = 6,
                               .startedAtMs = target.startedAtMs},
                              now);
        vm->fleet.applyNotice("t", target.startedAtMs, {.bearableRefusals = 4.0}, now);
    }
    return vms;
}

void runFor(http::EventLoop &loop, Duration time)
{
    loop.startTimer(time, [&loop] { loop.stop(); });
    loop.run();
}

} // namespace

// Guards against each VM having a request at a brittle target that takes one (LIMIT).
TEST_CASE("a permit of a brittle target is held by one VM at a time")
{
    http::EventLoop loop;
    const std::vector<std::unique_ptr<Vm>> vms = vmsBeforeBrittleTarget(loop);
    for (size_t round = 0; round < 6; ++round) {
        Vm &holder = *vms[round % vms.size()];
        const PermitDecision decision = acquire(loop, holder);
        REQUIRE(decision.permit);
        REQUIRE(decision.permit->held);
        for (const std::unique_ptr<Vm> &vm : vms) {
            const PermitDecision other = acquire(loop, *vm);
            CHECK_FALSE(other.permit);
            CHECK(other.retryAfter > Duration(0));
        }
        // The request was not sent, so the limit does not grow.
        holder.permits.refund(*decision.permit);
        runFor(loop, 20ms);
    }
}

TEST_CASE("a VM waits for the permit of a brittle target until another one releases it")
{
    http::EventLoop loop;
    const std::vector<std::unique_ptr<Vm>> vms = vmsBeforeBrittleTarget(loop);
    const PermitDecision first = acquire(loop, *vms[0]);
    REQUIRE(first.permit);
    const Instant begin = http::EventLoop::now();
    loop.startTimer(40ms, [&] {
        vms[0]->permits.release(target, *first.permit->held, {.wasRefused = true, .running = 1});
    });
    const PermitDecision second = acquire(loop, *vms[1], 200ms);
    REQUIRE(second.permit);
    CHECK(http::EventLoop::now() - begin >= 35ms);
    CHECK(http::EventLoop::now() - begin < 150ms);

    SECTION("and not for longer than it may")
    {
        CHECK_FALSE(acquire(loop, *vms[2], 100ms).permit);
    }

    SECTION("a permit whose holder is gone lapses at the request's deadline")
    {
        CHECK_FALSE(acquire(loop, *vms[2]).permit);
        runFor(loop, 2300ms);
        CHECK(acquire(loop, *vms[2]).permit);
    }
}

TEST_CASE("targets of a brittle service are limited, those of others and former ones are not")
{
    http::EventLoop loop;
    const std::vector<std::unique_ptr<Vm>> vms = vmsBeforeBrittleTarget(loop);
    Vm &vm = *vms[0];
    const Instant now = http::EventLoop::now();
    vm.fleet.applyTarget({.id = "u", .service = "s", .address = "10.0.0.2:80", .startedAtMs = 5},
                         now);
    vm.fleet.applyTarget({.id = "v", .service = "w", .address = "10.0.0.3:80", .startedAtMs = 5},
                         now);
    CHECK(vm.permits.isLimited(target));
    // It has not answered yet.
    CHECK(vm.permits.isLimited(limitKeyOf("u", 5)));
    CHECK_FALSE(vm.permits.isLimited(limitKeyOf("v", 5)));
    vm.fleet.removeTarget("u", now);
    CHECK_FALSE(vm.permits.isLimited(limitKeyOf("u", 5)));
    // Reports and orders take no room.
    CHECK_FALSE(vm.permits.hasRate(target));
    const TargetNotice sound{.wouldNameRefusals = true};
    vm.fleet.applyNotice("t", target.startedAtMs, sound, now + 1ms, now + 1ms);
    CHECK(vm.permits.isLimited(target));
    vm.fleet.applyNotice("t", target.startedAtMs, sound, now + 2s, now + 2s);
    CHECK_FALSE(vm.permits.isLimited(target));
}

namespace {

struct FakeOrderChannel
{
    void
    requestReport(const WeightsOrder &,
                  const std::function<void(std::optional<WeightsReport>, const TargetNotice &)> &)
    {
        ++reports;
    }

    void sendOrder(const WeightsOrder &,
                   const std::function<void(WeightOrderOutcome, const TargetNotice &)> &)
    {
        ++orders;
    }

    int reports = 0;
    int orders = 0;
};

} // namespace

// Guards against reports and orders of a rollout that exceed a target's limit (LIMIT).
TEST_CASE("reports of a limited target wait for permits, and orders use them up")
{
    http::EventLoop loop;
    Vm vm(loop, "a");
    vm.fleet.applyVms({{"a", schema::VmRecord()}}, http::EventLoop::now(), http::EventLoop::now());
    vm.fleet.applyNotice("t", 1, {.requestsPerSecond = 2.0}, http::EventLoop::now());
    FakeOrderChannel inner;
    PermittedOrderChannel<FakeOrderChannel> channel(loop, inner, vm.permits);
    const WeightsOrder order{.target = "t", .startedAtMs = 1};
    int refused = 0;
    for (int i = 0; i < 12; ++i) {
        channel.requestReport(order, [&refused](std::optional<WeightsReport>,
                                                const TargetNotice &) { ++refused; });
    }
    // Two seconds of permits and what the limit's owner has saved are granted, the rest is not.
    CHECK(inner.reports <= 2);
    loop.startTimer(2200ms, [&loop] { loop.stop(); });
    loop.run();
    CHECK(inner.reports + refused == 12);
    CHECK(inner.reports >= 4);
    CHECK(inner.reports <= 6);
    channel.sendOrder(order, [](WeightOrderOutcome, const TargetNotice &) {});
    CHECK(inner.orders == 1);
    const WeightsOrder unlimited{.target = "other", .startedAtMs = 1};
    const int before = inner.reports;
    channel.requestReport(unlimited, [](std::optional<WeightsReport>, const TargetNotice &) {});
    CHECK(inner.reports == before + 1);
}

} // namespace teaseldrift::relay
