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
/// Choices that encode a successful store call, a lost one, and a load of more than a second.
constexpr uint32_t successfulCall = 7;
constexpr uint32_t lostCall = 0;
constexpr uint32_t longLoad = 40;
constexpr Duration requestDuration = 3s;
constexpr OrderOptions options{.maxConcurrentLoads = 2, .maxLoadTime = 10s};

/// A target that does not check fencing tokens.
struct FakeTarget
{
    TargetReport state;
    Instant loadedAt;
    uint64_t lastFencing = 0;
    uint32_t inFlight = 0;
    /// Routers send requests to the target until this time.
    Instant routedUntil = Instant::max();
    /// Whether the last report showed the target as serving.
    bool isReportedServing = false;
    bool isAdapterLoad = false;
};

struct InFlightOrder
{
    Order order;
    Instant arrivalDeadline;
};

struct FakeVm
{
    OrderController controller{options};
    bool isPaused = false;
    std::optional<Instant> requestedAt;
    LeaseAction pendingAction = LeaseAction::None;
    std::vector<Order> outbox;
};

/// Two VMs that may both consider themselves the controller, a store, and targets.
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
    uint64_t lastPublisher = 0;
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
        setDesired();
    }

    void setDesired()
    {
        const std::vector<DesiredModel> models{
                {.model = "a", .version = std::to_string(version), .replicas = 2},
                {.model = "b", .version = "1", .adapters = {"x"}, .replicas = 1},
        };
        for (FakeVm &vm : vms) {
            vm.controller.setDesiredModels(models);
        }
    }

    void callStore(FakeVm &vm)
    {
        const LeaseAction action
                = vm.requestedAt ? LeaseAction::None : vm.controller.lease().nextAction(now);
        if (action != LeaseAction::None) {
            vm.pendingAction = action;
            vm.requestedAt = now;
        }
    }

    /// The store executes the pending call; its response may be lost.
    void completeStoreCall(size_t index, uint32_t choice)
    {
        FakeVm &vm = vms[index];
        if (!vm.requestedAt) {
            return;
        }
        const Instant requestedAt = *vm.requestedAt;
        vm.requestedAt.reset();
        ControllerLease &lease = vm.controller.lease();
        const bool isFree = now >= leaseEnd;
        const bool isHeld = !isFree && holder == index;
        if (choice % 8 == 0) {
            return lease.retryLater(now);
        }
        if (vm.pendingAction == LeaseAction::Acquire ? !isFree : !isHeld) {
            return lease.lost(now);
        }
        holder = index;
        leaseEnd = now + options.leaseTtl;
        revision += vm.pendingAction == LeaseAction::Acquire ? 1 : 0;
        if (choice % 8 == 1) {
            return lease.retryLater(now);
        }
        vm.pendingAction == LeaseAction::Acquire ? lease.acquired(requestedAt, revision, now)
                                                 : lease.renewed(requestedAt);
    }

    void plan(FakeVm &vm)
    {
        const OrderPlan plan = vm.controller.plan(now);
        vm.outbox.insert(vm.outbox.end(), plan.orders.begin(), plan.orders.end());
        const uint64_t fencing = vm.controller.lease().fencing();
        if (!plan.isActive || fencing < lastPublisher) {
            return;
        }
        lastPublisher = fencing;
        for (FakeTarget &target : targets) {
            const bool isWithdrawn
                    = std::find(plan.withdrawn.begin(), plan.withdrawn.end(), target.state.target)
                      != plan.withdrawn.end();
            const bool isNew = target.routedUntil == Instant::max();
            if (!isWithdrawn) {
                target.routedUntil = Instant::max();
            } else if (isNew) {
                target.routedUntil = now + options.withdrawalDelay;
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
        if (now < order.sendDeadline) {
            network.push_back({.order = order, .arrivalDeadline = now + options.maxOrderLifetime});
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
        if (now >= flight.arrivalDeadline) {
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
        RC_ASSERT(loads() <= options.maxConcurrentLoads);
    }

    [[nodiscard]] size_t loads() const
    {
        return static_cast<size_t>(
                std::count_if(targets.begin(), targets.end(),
                              [this](const FakeTarget &target) { return target.loadedAt > now; }));
    }

    void request(FakeTarget &target)
    {
        if (target.isReportedServing && now < target.routedUntil) {
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
        target.isReportedServing = !report.model.empty() && !report.isLoading;
    }

    /// One tick without faults.
    void runNormalTick()
    {
        tick(successfulCall);
        for (FakeVm &vm : vms) {
            vm.isPaused ? void() : send(vm);
        }
        arrive(longLoad);
        for (FakeTarget &target : targets) {
            request(target); // Routers still know only the target's previous report.
        }
    }

    /// One tick without sending orders.
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
            callStore(vm);
            completeStoreCall(i, storeChoice);
            for (size_t j = reports.size() - targetCount; j < reports.size(); ++j) {
                vm.controller.report(reports[j]);
            }
            plan(vm);
        }
        const bool isRequestEnd = now.time_since_epoch() % requestDuration < 100ms;
        for (FakeTarget &target : targets) {
            target.inFlight = isRequestEnd ? 0 : target.inFlight;
        }
    }
};

} // namespace teaseldrift::orderfuzz
