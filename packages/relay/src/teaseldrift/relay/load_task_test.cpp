#include "teaseldrift/relay/load_task.hpp"

#include <algorithm>
#include <array>

#include <fcntl.h>

#include <catch2/catch.hpp>

#include "teaseldrift/http/buffered_client.hpp"
#include "teaseldrift/relay/target_speed_messages.hpp"

namespace teaseldrift::relay {

namespace {

using Vms = std::map<std::string, schema::VmRecord, std::less<>>;

/// A VM with its own loopback server for other VMs, and one target.
struct Vm
{
    Vm(http::EventLoop &loop, const std::string &id, const std::string &zone)
        : log({.descriptor = ::open("/dev/null", O_WRONLY | O_CLOEXEC)}),
          fleet({.vmId = id,
                 .availabilityZone = zone,
                 .olderWeightsGracePeriod = 120s,
                 .minVmCount = 1},
                log, http::EventLoop::now()),
          peers(loop, {.connectTimeout = 50ms}),
          load(loop, peers, fleet, log, metrics,
               {.interval = 10ms, .idleInterval = 10ms, .unresponsiveCooldown = 10s}),
          server(loop, {}, [this](const std::shared_ptr<http::Exchange> &exchange) {
              ++asked;
              load.handle(*exchange);
          })
    {
        REQUIRE_FALSE(server.listen());
        fleet.targetSelector().setService({.name = "writer", .cacheTokens = 200000, .slots = 32},
                                          250.0);
        fleet.applyTarget({.id = "t",
                           .service = "writer",
                           .address = "10.0.0.1:80",
                           .startedAtMs = 1,
                           .weights = {{"m", 1}}},
                          http::EventLoop::now());
    }

    void sendOne()
    {
        TargetChoice choice{.id = "t", .prefillTokens = 100};
        fleet.targetSelector().sent(choice, http::EventLoop::now());
    }

    [[nodiscard]] uint32_t requestsAtTarget() const
    {
        return fleet.targetSelector().requestsAt("t", http::EventLoop::now());
    }

    [[nodiscard]] schema::VmRecord record() const
    {
        schema::VmRecord record;
        record.set_vm_id(fleet.options().vmId);
        record.set_availability_zone(fleet.options().availabilityZone);
        record.set_peer_address("127.0.0.1:" + std::to_string(server.port()));
        return record;
    }

    telemetry::EventLog log;
    telemetry::Metrics metrics;
    FleetState fleet;
    http::Client peers;
    LoadTask load;
    int asked = 0;
    http::Server server;
};

Vms recordsOf(std::initializer_list<const Vm *> vms)
{
    Vms records;
    for (const Vm *vm : vms) {
        records[vm->fleet.options().vmId] = vm->record();
    }
    return records;
}

/// Runs the loop until the condition holds, for at most 5 s.
bool waitFor(http::EventLoop &loop, const std::function<bool()> &condition)
{
    const Instant end = http::EventLoop::now() + 5s;
    while (!condition() && http::EventLoop::now() < end) {
        const http::EventLoop::TimerId timer = loop.startTimer(5ms, [&loop] { loop.stop(); });
        loop.run();
        loop.cancelTimer(timer);
    }
    return condition();
}

} // namespace

TEST_CASE("what one VM has learned of a target's speed reaches the VMs of all availability zones")
{
    http::EventLoop loop;
    Vm a(loop, "a", "north");
    Vm b(loop, "b", "north");
    Vm c(loop, "c", "south");
    Vm d(loop, "d", "south");
    const Vms vms = recordsOf({&a, &b, &c, &d});
    for (Vm *vm : {&a, &b, &c, &d}) {
        vm->fleet.applyVms(vms, http::EventLoop::now(), http::EventLoop::now());
        vm->load.start();
    }
    a.fleet.targetSelector().applySpeed(
            targetKeyOf("t"),
            {.usualFactor = 1.7, .samples = 9, .incarnation = incarnationNumber(1)},
            http::EventLoop::now());
    CHECK(waitFor(loop, [&] {
        return std::ranges::all_of(std::array{&a, &b, &c, &d}, [](const Vm *vm) {
            return vm->fleet.targetSelector().speeds(http::EventLoop::now()).size() == 1;
        });
    }));
}

// Guards against a VM that decides by an old configuration while others have a newer one (CONFIG).
TEST_CASE("a VM learns from the others that its configuration is behind")
{
    http::EventLoop loop;
    Vm a(loop, "a", "north");
    Vm b(loop, "b", "north");
    Vm c(loop, "c", "south");
    const std::array all{&a, &b, &c};
    const Vms vms = recordsOf({&a, &b, &c});
    const Instant now = http::EventLoop::now();
    const Vm *behind = GENERATE_REF(values<const Vm *>({&a, &b, &c}));
    for (Vm *vm : all) {
        const bool isBehind = vm == behind;
        vm->fleet.applyDefinition({.version = isBehind ? 4U : 5U}, {}, now);
        vm->fleet.configurationFreshness().confirmed(isBehind ? now - 60s : now, {});
        vm->fleet.applyVms(vms, now, now);
        vm->load.start();
    }
    CHECK(waitFor(loop, [&] {
        return behind->fleet.configurationFreshness().isBehind(http::EventLoop::now());
    }));
    for (const Vm *vm : all) {
        const bool isBehind = vm->fleet.configurationFreshness().isBehind(http::EventLoop::now());
        CHECK(isBehind == (vm == behind));
    }
}

TEST_CASE("messages about speeds are empty while nothing was learned")
{
    http::EventLoop loop;
    const Vm vm(loop, "a", "north");
    schema::FleetLoad message;
    writeTargetSpeeds(vm.fleet.targetSelector(), http::EventLoop::now(), message);
    CHECK(message.ByteSizeLong() == 0);
}

TEST_CASE("each VM counts the load of each other VM once, across availability zones")
{
    http::EventLoop loop;
    Vm a(loop, "a", "north");
    Vm b(loop, "b", "north");
    Vm c(loop, "c", "north");
    Vm d(loop, "d", "south");
    Vm e(loop, "e", "south");
    const Vms vms = recordsOf({&a, &b, &c, &d, &e});
    int sent = 1;
    for (Vm *vm : {&a, &b, &c, &d, &e}) {
        vm->fleet.applyVms(vms, http::EventLoop::now(), http::EventLoop::now());
        for (int i = 0; i < sent; ++i) {
            vm->sendOne();
        }
        sent *= 2;
        vm->load.start();
    }
    const auto allKnowAll = [&] {
        for (const Vm *vm : {&a, &b, &c, &d, &e}) {
            if (vm->requestsAtTarget() != 31) {
                return false;
            }
        }
        return true;
    };
    CHECK(waitFor(loop, allKnowAll));
}

TEST_CASE("an unresponsive VM is skipped")
{
    http::EventLoop loop;
    Vm a(loop, "a", "north");
    Vm b(loop, "b", "north");
    Vms vms = recordsOf({&a, &b});
    // Among several dead VMs, some have higher rendezvous scores than both.
    for (int i = 0; i < 8; ++i) {
        schema::VmRecord dead = a.record();
        dead.set_vm_id("dead" + std::to_string(i));
        dead.set_peer_address("127.0.0.1:1");
        vms[dead.vm_id()] = dead;
    }
    for (Vm *vm : {&a, &b}) {
        vm->fleet.applyVms(vms, http::EventLoop::now(), http::EventLoop::now());
        vm->sendOne();
        vm->load.start();
    }
    CHECK(waitFor(loop, [&] { return a.requestsAtTarget() == 2 && b.requestsAtTarget() == 2; }));
    CHECK(a.asked + b.asked > 0);
}

TEST_CASE("the controller's rollout plan and the loaded weights reach VMs in other zones")
{
    http::EventLoop loop;
    Vm a(loop, "a", "north");
    Vm b(loop, "b", "south");
    Vm c(loop, "c", "south");
    const Vms vms = recordsOf({&a, &b, &c});
    for (Vm *vm : {&a, &b, &c}) {
        vm->fleet.applyVms(vms, http::EventLoop::now(), http::EventLoop::now());
        vm->load.start();
    }
    const RolloutPlan plan{.model = "m",
                           .version = 2,
                           .fencing = 9,
                           .sequence = 1,
                           .loaded = {targetKeyOf("t")},
                           .batchSize = 1};
    a.fleet.applyRolloutPlan(plan, http::EventLoop::now());
    const auto knows
            = [](const Vm &vm) { return vm.fleet.directory().find("t")->weights.at("m") == 2; };
    CHECK(waitFor(loop, [&] { return knows(b) && knows(c); }));
}

TEST_CASE("a segment prefilled for one VM becomes known to the VMs of all zones")
{
    http::EventLoop loop;
    Vm a(loop, "a", "north");
    Vm b(loop, "b", "north");
    Vm c(loop, "c", "south");
    Vm d(loop, "d", "south");
    const Vms vms = recordsOf({&a, &b, &c, &d});
    const std::array<PromptSegment, 2> segments{
            {{.id = 7, .tokens = 5000}, {.id = 8, .tokens = 100}}};
    const auto choose = [&](Vm &vm) {
        return vm.fleet.targetSelector().choose(
                vm.fleet.directory(), {.service = "writer", .model = "m", .segments = segments},
                http::EventLoop::now());
    };
    for (Vm *vm : {&a, &b, &c, &d}) {
        vm->fleet.applyVms(vms, http::EventLoop::now(), http::EventLoop::now());
        vm->load.start();
        REQUIRE(choose(*vm)->prefillTokens == 5100);
    }
    std::optional<TargetChoice> choice = choose(a);
    a.fleet.targetSelector().sent(*choice, http::EventLoop::now());
    a.fleet.targetSelector().prefillFinished(*choice, http::EventLoop::now());
    CHECK(waitFor(loop, [&] {
        return choose(b)->prefillTokens == 100 && choose(c)->prefillTokens == 100
               && choose(d)->prefillTokens == 100;
    }));
}

TEST_CASE("a plan with an older fencing token is ignored")
{
    http::EventLoop loop;
    Vm a(loop, "a", "north");
    const Instant now = http::EventLoop::now();
    a.fleet.applyRolloutPlan({.model = "m", .version = 3, .fencing = 9, .sequence = 1}, now);
    a.fleet.applyRolloutPlan({.model = "m",
                              .version = 2,
                              .fencing = 8,
                              .sequence = 70,
                              .loaded = {targetKeyOf("t")}},
                             now + 10ms);
    CHECK(a.fleet.directory().find("t")->weights.at("m") == 1);
    REQUIRE(a.fleet.rolloutPlans(now + 10ms).size() == 1);
    CHECK(a.fleet.rolloutPlans(now + 10ms).front().plan.fencing == 9);
    // The plan expires because no one has announced it again.
    CHECK(a.fleet.rolloutPlans(now + 3s).empty());
}

TEST_CASE("a query that cannot be parsed is answered with 400")
{
    http::EventLoop loop;
    Vm a(loop, "a", "north");
    std::optional<int> status;
    http::BufferedClient calls(loop, a.peers);
    calls.start({.address = "127.0.0.1", .port = a.server.port()},
                {.method = "POST", .path = std::string(LoadTask::path), .body = "\xff\xff"}, 2s,
                [&](const http::BufferedResponse &answer) { status = answer.status; });
    CHECK(waitFor(loop, [&] { return status.has_value(); }));
    CHECK(status == 400);
}

// A VM that was suspended while new weights were named took its time of learning for their age.
TEST_CASE("a VM that learns late of new weights takes the time of the change from another VM")
{
    http::EventLoop loop;
    Vm early(loop, "a-1", "a");
    Vm late(loop, "b-1", "b");
    const Vms vms = recordsOf({&early, &late});
    const Instant now = http::EventLoop::now();
    early.fleet.applyVms(vms, now, now);
    late.fleet.applyVms(vms, now, now);
    // Ages that cannot be reached while the test waits.
    early.fleet.setDesiredWeights("m", 2, 60s, ChangeTimeSource::Observed, now);
    early.fleet.setDesiredWeights("m", 3, 40s, ChangeTimeSource::Observed, now);
    late.fleet.setDesiredWeights("m", 3, 0s, ChangeTimeSource::Observed, now);
    early.load.start();
    late.load.start();
    const auto ageAt = [](const Vm &vm, uint64_t version) {
        return vm.fleet.desiredWeightsAge("m", version, http::EventLoop::now());
    };
    CHECK(waitFor(loop, [&] { return ageAt(late, 3) >= 40s && ageAt(late, 2) >= 60s; }));
    CHECK(ageAt(late, 3) < 50s);
    CHECK(ageAt(early, 3) < 50s);
}

// Each VM alone sees a single crash, too few to quarantine the segment that they have in common.
TEST_CASE("VMs of all availability zones learn of crashes and of lifted quarantines")
{
    http::EventLoop loop;
    Vm a(loop, "a", "north");
    Vm b(loop, "b", "north");
    Vm c(loop, "c", "south");
    Vm d(loop, "d", "south");
    const Vms vms = recordsOf({&a, &b, &c, &d});
    const std::vector<PromptSegment> prompt{{.id = 7}, {.id = 8}, {.id = 9}};
    const std::vector<PromptSegment> sound{{.id = 7}, {.id = 6}, {.id = 5}};
    Instant at = http::EventLoop::now() - 4s;
    for (Vm *vm : {&a, &b, &c, &d}) {
        vm->fleet.applyVms(vms, http::EventLoop::now(), http::EventLoop::now());
        vm->fleet.quarantine().attemptLost({.target = "t" + vm->fleet.options().vmId,
                                            .startedAtMs = 1,
                                            .model = "m",
                                            .segments = prompt},
                                           at);
        vm->fleet.quarantine().answered("m", sound, at + 500ms);
        at += 1s;
        vm->load.start();
    }
    const auto refuses = [&prompt](Vm *vm) {
        return vm->fleet.quarantine().find("m", prompt, http::EventLoop::now()) != nullptr;
    };
    const std::vector<Vm *> all{&a, &b, &c, &d};
    REQUIRE(waitFor(loop, [&] { return std::all_of(all.begin(), all.end(), refuses); }));
    CHECK(d.fleet.liftQuarantine("m", 8, http::EventLoop::now()));
    CHECK(waitFor(loop, [&] { return std::none_of(all.begin(), all.end(), refuses); }));
}

// Guards against VMs that send to a target as before, because another VM got the response with the
// limit.
TEST_CASE("VMs of all availability zones learn of a target's limit, of its change and its end")
{
    http::EventLoop loop;
    Vm a(loop, "a", "north");
    Vm b(loop, "b", "north");
    Vm c(loop, "c", "south");
    Vm d(loop, "d", "south");
    const Vms vms = recordsOf({&a, &b, &c, &d});
    for (Vm *vm : {&a, &b, &c, &d}) {
        vm->fleet.applyVms(vms, http::EventLoop::now(), http::EventLoop::now());
        vm->load.start();
    }
    const auto allHave = [&](std::optional<double> limit) {
        for (const Vm *vm : {&a, &b, &c, &d}) {
            if (vm->fleet.targetLimits().of(limitKeyOf("t", 1)) != limit) {
                return false;
            }
        }
        return true;
    };
    b.fleet.applyNotice("t", 1, {.requestsPerSecond = 2.0}, http::EventLoop::now());
    CHECK(waitFor(loop, [&] { return allHave(2.0); }));
    d.fleet.applyNotice("t", 1, {.requestsPerSecond = 1.5}, http::EventLoop::now());
    CHECK(waitFor(loop, [&] { return allHave(1.5); }));
    const auto lacksLimit = [&] {
        const Instant now = http::EventLoop::now();
        a.fleet.applyNotice("t", 1, {.wouldNameLimit = true}, now, now);
        return allHave(std::nullopt);
    };
    CHECK(waitFor(loop, lacksLimit));
}

// Guards against VMs that go on filling brittle targets, because another VM got the response.
TEST_CASE(
        "VMs of all availability zones learn that a service's targets are brittle, and of the end")
{
    http::EventLoop loop;
    Vm a(loop, "a", "north");
    Vm b(loop, "b", "north");
    Vm c(loop, "c", "south");
    Vm d(loop, "d", "south");
    const Vms vms = recordsOf({&a, &b, &c, &d});
    const TargetEntry target{.id = "t", .service = "s", .address = "10.0.0.1:80", .startedAtMs = 1};
    for (Vm *vm : {&a, &b, &c, &d}) {
        const Instant now = http::EventLoop::now();
        FleetDefinition definition{.version = 1};
        definition.services.push_back({.name = "s", .slots = 6});
        vm->fleet.applyDefinition(std::move(definition), {}, now);
        vm->fleet.applyTarget(target, now);
        vm->fleet.applyVms(vms, now, now);
        vm->load.start();
    }
    const auto allHave = [&](std::optional<double> refusals) {
        for (const Vm *vm : {&a, &b, &c, &d}) {
            if (vm->fleet.bearableRefusals(limitKeyOf("t", 1)) != refusals) {
                return false;
            }
        }
        return true;
    };
    b.fleet.applyNotice("t", 1, {.bearableRefusals = 6.0}, http::EventLoop::now());
    CHECK(waitFor(loop, [&] { return allHave(6.0); }));
    const auto isSound = [&] {
        const Instant now = http::EventLoop::now();
        d.fleet.applyNotice("t", 1, {.wouldNameRefusals = true}, now, now);
        return allHave(std::nullopt);
    };
    CHECK(waitFor(loop, isSound));
}

} // namespace teaseldrift::relay
