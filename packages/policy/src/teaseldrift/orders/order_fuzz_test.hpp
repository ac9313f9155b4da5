#pragma once

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "teaseldrift/orders/order_controller.hpp"

namespace teaseldrift::orderfuzz {

constexpr size_t vmCount = 2;
constexpr size_t targetCount = 4;
/// Choices that stand for an answered call, a lost one, and a load of more than a second.
constexpr uint32_t answered = 7;
constexpr uint32_t unanswered = 0;
constexpr uint32_t longLoad = 40;
/// Longest request.
constexpr Duration requestTime = 3s;
constexpr OrderOptions options{.concurrentLoads = 2, .maxLoadTime = 10s};

/// A target that ignores fencing numbers.
struct FakeTarget
{
    TargetReport state;
    Instant loadedAt;
    uint64_t lastFencing = 0;
    uint32_t inFlight = 0;
    /// Requests are routed to it until then.
    Instant routedUntil = Instant::max();
    /// What the last report said to routers.
    bool isSeenServing = false;
    bool isAdapterLoad = false;
};

struct InFlightOrder
{
    Order order;
    Instant arrivesBy;
};

struct FakeVm
{
    OrderController controller{options};
    bool isPaused = false;
    std::optional<Instant> askedAt;
    LeaseStep asked = LeaseStep::None;
    std::vector<Order> outbox;
};

/// Two VMs that may both believe to be the controller, a store, and targets.
struct OrderWorld
{
    Instant now{std::chrono::hours(1)};
    std::array<FakeVm, vmCount> vms;
    std::array<FakeTarget, targetCount> targets;
    std::vector<InFlightOrder> network;
    std::vector<TargetReport> reports;
    size_t holder = vmCount;
    Instant leaseEnd;
    uint64_t revision = 0;
    uint64_t publishedBy = 0;
    uint32_t version = 1;
    uint32_t orders = 0;

    OrderWorld()
    {
        std::vector<OrderTarget> known;
        for (size_t i = 0; i < targetCount; ++i) {
            targets[i].state.target = "t" + std::to_string(i);
            known.push_back({.id = targets[i].state.target});
        }
        for (FakeVm &vm : vms) {
            vm.controller.setTargets(known);
        }
        demand();
    }

    void demand()
    {
        const std::vector<ModelDemand> models{
                {.model = "a", .version = std::to_string(version), .replicas = 2},
                {.model = "b", .version = "1", .adapters = {"x"}, .replicas = 1},
        };
        for (FakeVm &vm : vms) {
            vm.controller.setDemand(models);
        }
    }

    void ask(FakeVm &vm)
    {
        const LeaseStep step = vm.askedAt ? LeaseStep::None : vm.controller.lease().nextStep(now);
        if (step != LeaseStep::None) {
            vm.asked = step;
            vm.askedAt = now;
        }
    }

    /// The store serves a call, whose answer may be lost.
    void storeAnswers(size_t index, uint32_t choice)
    {
        FakeVm &vm = vms[index];
        if (!vm.askedAt) {
            return;
        }
        const Instant askedAt = *vm.askedAt;
        vm.askedAt.reset();
        ControllerLease &lease = vm.controller.lease();
        const bool isFree = now >= leaseEnd;
        const bool isHeld = !isFree && holder == index;
        if (choice % 8 == 0) {
            return lease.unanswered(now);
        }
        if (vm.asked == LeaseStep::Acquire ? !isFree : !isHeld) {
            return lease.lost(now);
        }
        holder = index;
        leaseEnd = now + options.leaseTtl;
        revision += vm.asked == LeaseStep::Acquire ? 1 : 0;
        if (choice % 8 == 1) {
            return lease.unanswered(now);
        }
        vm.asked == LeaseStep::Acquire ? lease.acquired(askedAt, revision, now)
                                       : lease.kept(askedAt);
    }

    void plan(FakeVm &vm)
    {
        const OrderPlan plan = vm.controller.plan(now);
        vm.outbox.insert(vm.outbox.end(), plan.orders.begin(), plan.orders.end());
        const uint64_t fencing = vm.controller.lease().fencing();
        if (!plan.isInCharge || fencing < publishedBy) {
            return;
        }
        publishedBy = fencing;
        for (FakeTarget &target : targets) {
            const bool isWithdrawn
                    = std::find(plan.withdrawn.begin(), plan.withdrawn.end(), target.state.target)
                      != plan.withdrawn.end();
            const bool isNew = target.routedUntil == Instant::max();
            if (!isWithdrawn) {
                target.routedUntil = Instant::max();
            } else if (isNew) {
                target.routedUntil = now + options.withdrawDelay;
            }
        }
    }

    void send(FakeVm &vm)
    {
        if (vm.outbox.empty()) {
            return;
        }
        const Order order = vm.outbox.back();
        vm.outbox.pop_back();
        if (now < order.sendUntil) {
            network.push_back({.order = order, .arrivesBy = now + options.maxOrderLife});
        }
    }

    void arrive(uint32_t choice)
    {
        if (network.empty()) {
            return;
        }
        const size_t index = choice % network.size();
        const InFlightOrder flight = network[index];
        network.erase(network.begin() + static_cast<std::ptrdiff_t>(index));
        if (now >= flight.arrivesBy) {
            return;
        }
        const Order &order = flight.order;
        FakeTarget &target = targets[static_cast<size_t>(order.target.back() - '0')];
        RC_ASSERT(order.fencing >= target.lastFencing);
        target.lastFencing = order.fencing;
        ++orders;
        target.isAdapterLoad = order.kind == schema::LOAD_ADAPTER;
        if (target.isAdapterLoad) {
            target.state.adapters.push_back(order.adapter);
        } else {
            RC_ASSERT(target.inFlight == 0U);
            target.state.model = order.model;
            target.state.version = order.version;
            target.state.adapters.clear();
        }
        target.loadedAt = now + std::chrono::milliseconds(choice * 30);
        RC_ASSERT(loads() <= options.concurrentLoads);
    }

    [[nodiscard]] size_t loads() const
    {
        return static_cast<size_t>(
                std::count_if(targets.begin(), targets.end(),
                              [this](const FakeTarget &target) { return target.loadedAt > now; }));
    }

    void request(FakeTarget &target)
    {
        if (target.isSeenServing && now < target.routedUntil) {
            RC_ASSERT(target.loadedAt <= now || target.isAdapterLoad);
            ++target.inFlight;
        }
    }

    void makeReport(FakeTarget &target)
    {
        TargetReport report = target.state;
        report.isLoading = target.loadedAt > now;
        report.inFlight = target.inFlight;
        report.reportedAt = now;
        reports.push_back(report);
        target.isSeenServing = !report.model.empty() && !report.isLoading;
    }

    /// Everything that happens when nothing goes wrong, for one tick.
    void goOn()
    {
        tick(answered);
        for (FakeVm &vm : vms) {
            vm.isPaused ? void() : send(vm);
        }
        arrive(longLoad);
        for (FakeTarget &target : targets) {
            request(target); // Before the target's next report.
        }
    }

    /// All but the sending of orders.
    void tick(uint32_t storeChoice)
    {
        now += 100ms;
        for (FakeTarget &target : targets) {
            makeReport(target);
            request(target);
        }
        for (size_t i = 0; i < vmCount; ++i) {
            FakeVm &vm = vms[i];
            if (vm.isPaused) {
                continue;
            }
            ask(vm);
            storeAnswers(i, storeChoice);
            for (size_t j = reports.size() - targetCount; j < reports.size(); ++j) {
                vm.controller.report(reports[j]);
            }
            plan(vm);
        }
        const bool isRequestEnd = now.time_since_epoch() % requestTime < 100ms;
        for (FakeTarget &target : targets) {
            target.inFlight = isRequestEnd ? 0 : target.inFlight;
        }
    }
};

} // namespace teaseldrift::orderfuzz
