#include "order_fuzz_test.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/state.h>

namespace teaseldrift {

namespace {

using namespace orderfuzz;

/// Delivers the reports of the targets that are selected by `bits` to a VM.
void deliverReports(OrderWorld &world, FakeVm &vm, uint32_t bits)
{
    for (FakeTarget &target : world.targets) {
        world.makeReport(target);
        if (bits % 2 == 1) {
            vm.controller.report(world.reports.back());
        }
        bits /= 2;
    }
}

/// Makes the controller plan orders while its lease renewals fail, and send them just before the
/// lease expires.
void sendBeforeLeaseExpires(OrderWorld &world, FakeVm &vm)
{
    ++world.version;
    world.setDesired();
    while (vm.outbox.empty() && world.now < world.leaseEnd - 200ms) {
        world.tick(lostCall);
    }
    world.now = std::max(world.now, world.leaseEnd - 100ms);
    while (!vm.outbox.empty()) {
        world.send(vm);
    }
}

/// Resumes a paused former controller, which continues with its outdated state.
void resumeFormerController(OrderWorld &world, FakeVm &former)
{
    former.isPaused = false;
    deliverReports(world, former, ~0U);
    world.plan(former);
    while (!former.outbox.empty()) {
        world.send(former);
    }
    while (!world.network.empty()) {
        world.arrive(0);
    }
}

/// Forces a change of controller while orders are in flight.
void changeController(OrderWorld &world, uint32_t choice)
{
    const size_t formerIndex = world.holder;
    if (formerIndex == vmCount || world.vms[formerIndex].isPaused) {
        return;
    }
    const size_t nextIndex = 1 - formerIndex;
    FakeVm &next = world.vms[nextIndex];
    sendBeforeLeaseExpires(world, world.vms[formerIndex]);
    world.vms[formerIndex].isPaused = true;
    next.isPaused = false;
    while (choice % 2 == 0 && !world.network.empty()) {
        world.arrive(choice);
    }
    next.requestedAt.reset();
    for (int i = 0; i < 40 && world.holder != nextIndex; ++i) {
        world.now += 100ms;
        world.callStore(next);
        world.completeStoreCall(nextIndex, successfulCall);
    }
    const Duration wait = choice % 4 < 2 ? options.maxOrderLifetime + 100ms : Duration(0);
    world.now += wait;
    next.controller.lease().renewed(world.now);
    world.leaseEnd += wait;
    deliverReports(world, next, choice / 8);
    world.plan(next);
    deliverReports(world, next, choice / 8);
    world.plan(next);
    for (FakeTarget &target : world.targets) {
        world.request(target);
    }
    const size_t earlier = world.network.size();
    while (!next.outbox.empty()) {
        world.send(next);
    }
    while (world.network.size() > earlier) {
        world.arrive(static_cast<uint32_t>(world.network.size() - 1));
    }
    if (choice % 16 >= 8) {
        resumeFormerController(world, world.vms[formerIndex]);
    }
    while (choice % 8 < 4 && !world.network.empty()) {
        world.arrive(0);
    }
}

struct Model
{ };

enum class Op {
    AdvanceTime,
    CallStore,
    CompleteStoreCall,
    Plan,
    Send,
    Arrive,
    Request,
    Finish,
    Report,
    DeliverReport,
    Pause,
    ChangeVersion,
    ChangeController,
    RunNormally
};

struct Step : rc::state::Command<Model, OrderWorld>
{
    Op op = *rc::gen::weightedElement<Op>({{4, Op::AdvanceTime},
                                           {2, Op::CallStore},
                                           {2, Op::CompleteStoreCall},
                                           {4, Op::Plan},
                                           {4, Op::Send},
                                           {4, Op::Arrive},
                                           {2, Op::Request},
                                           {2, Op::Finish},
                                           {2, Op::Report},
                                           {2, Op::DeliverReport},
                                           {1, Op::Pause},
                                           {1, Op::ChangeVersion},
                                           {2, Op::ChangeController},
                                           {6, Op::RunNormally}});
    uint32_t choice = *rc::gen::arbitrary<uint8_t>();

    void run(const Model & /*model*/, OrderWorld &world) const override
    {
        const size_t index = choice % vmCount;
        FakeVm &vm = world.vms[index];
        FakeTarget &target = world.targets[choice % targetCount];
        switch (op) {
        case Op::AdvanceTime:
            world.now += std::chrono::milliseconds(choice * 25);
            return;
        case Op::CallStore:
            return vm.isPaused ? void() : world.callStore(vm);
        case Op::CompleteStoreCall:
            return vm.isPaused ? void() : world.completeStoreCall(index, choice / 2);
        case Op::Plan:
            return vm.isPaused ? void() : world.plan(vm);
        case Op::Send:
            return vm.isPaused ? void() : world.send(vm);
        case Op::Arrive:
            return world.arrive(choice);
        case Op::Request:
            return world.request(target);
        case Op::Finish:
            target.inFlight = 0;
            return;
        case Op::Report:
            return world.makeReport(target);
        case Op::DeliverReport:
            if (!vm.isPaused && !world.reports.empty()) {
                vm.controller.report(world.reports[choice % world.reports.size()]);
            }
            return;
        case Op::Pause:
            vm.isPaused = !vm.isPaused;
            return;
        case Op::ChangeVersion:
            ++world.version;
            return world.setDesired();
        case Op::ChangeController:
            return changeController(world, choice);
        case Op::RunNormally:
            for (uint32_t i = 0; i < choice; ++i) {
                world.runNormalTick();
            }
        }
    }

    void show(std::ostream &os) const override
    {
        os << "Step(" << static_cast<int>(op) << ", " << choice << ")";
    }
};

} // namespace

TEST_CASE("orders of two controllers never interleave and concurrent loads stay bounded", "[fuzz]")
{
    REQUIRE(rc::check([] {
        OrderWorld world;
        rc::state::check(Model(), world, rc::state::gen::execOneOfWithArgs<Step>());
        RC_CLASSIFY(world.orders > 3, "ordered");
        RC_CLASSIFY(world.revision > 1, "controller changed");
        // Without further faults the targets reach the desired state.
        for (FakeVm &vm : world.vms) {
            vm.isPaused = false;
        }
        for (int i = 0; i < 600; ++i) {
            world.runNormalTick();
        }
        const std::string version = std::to_string(world.version);
        RC_ASSERT(std::count_if(world.targets.begin(), world.targets.end(),
                                [&version](const FakeTarget &target) {
                                    return target.state.model == "a"
                                           && target.state.version == version;
                                })
                  >= 2);
        RC_ASSERT(std::any_of(
                world.targets.begin(), world.targets.end(), [](const FakeTarget &target) {
                    return target.state.model == "b" && target.state.adapters.size() == 1U;
                }));
    }));
}

} // namespace teaseldrift
