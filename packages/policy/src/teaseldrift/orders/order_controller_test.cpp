#include "teaseldrift/orders/order_controller.hpp"

#include <algorithm>
#include <array>

#include <catch2/catch.hpp>

namespace teaseldrift {

namespace {

constexpr OrderOptions options{};

/// An active controller and targets that execute orders at once.
struct Fixture
{
    OrderController controller{options};
    Instant now{std::chrono::hours(1)};
    std::vector<TargetReport> reports;

    explicit Fixture(size_t size)
    {
        std::vector<OrderTarget> targets;
        for (size_t i = 0; i < size; ++i) {
            reports.push_back({.target = "t" + std::to_string(i)});
            targets.push_back({.id = reports.back().target});
        }
        controller.setTargets(targets);
        controller.lease().acquired(now, 1, now);
        now += options.maxOrderLifetime * 2;
    }

    OrderPlan tick()
    {
        now += 100ms;
        controller.lease().renewed(now);
        for (TargetReport &report : reports) {
            report.reportedAt = now;
            controller.report(report);
        }
        OrderPlan plan = controller.plan(now);
        for (const Order &order : plan.orders) {
            for (TargetReport &report : reports) {
                execute(report, order);
            }
        }
        return plan;
    }

    static void execute(TargetReport &report, const Order &order)
    {
        if (report.target != order.target) {
            return;
        }
        if (order.kind == schema::LOAD_ADAPTER) {
            report.adapters.push_back(order.adapter);
            return;
        }
        report.model = order.model;
        report.version = order.version;
        report.adapters.clear();
    }

    [[nodiscard]] std::ptrdiff_t serving(std::string_view model) const
    {
        return std::count_if(reports.begin(), reports.end(), [&](const TargetReport &report) {
            return controller.isServing(report.target, model);
        });
    }

    [[nodiscard]] std::ptrdiff_t holding(std::string_view version) const
    {
        return std::count_if(reports.begin(), reports.end(),
                             [&](const TargetReport &report) { return report.version == version; });
    }

    void setDesired(std::string_view version, uint32_t replicas)
    {
        const std::array<DesiredModel, 1> models{DesiredModel{.model = "m",
                                                              .version = std::string(version),
                                                              .adapters = {"x"},
                                                              .replicas = replicas}};
        controller.setDesiredModels(models);
    }
};

} // namespace

TEST_CASE("models and adapters are loaded on the desired number of targets")
{
    Fixture fixture(5);
    fixture.setDesired("1", 3);
    for (int i = 0; i < 100; ++i) {
        fixture.tick();
    }
    CHECK(fixture.holding("1") == 3);
    CHECK(fixture.serving("m") == 3);
    CHECK(std::count_if(fixture.reports.begin(), fixture.reports.end(),
                        [](const TargetReport &report) { return report.adapters.size() == 1; })
          == 3);
}

TEST_CASE("a new version is rolled out while enough targets keep serving")
{
    Fixture fixture(4);
    fixture.setDesired("1", 4);
    for (int i = 0; i < 100; ++i) {
        fixture.tick();
    }
    REQUIRE(fixture.serving("m") == 4);
    fixture.setDesired("2", 4);
    for (int i = 0; i < 400; ++i) {
        fixture.tick();
        REQUIRE(fixture.serving("m") >= 3);
    }
    CHECK(fixture.holding("2") == 4);
    CHECK(fixture.serving("m") == 4);
}

TEST_CASE("a target gets no order to load while it has requests in flight")
{
    Fixture fixture(1);
    fixture.setDesired("1", 1);
    for (int i = 0; i < 50; ++i) {
        fixture.tick();
    }
    fixture.setDesired("2", 1);
    fixture.reports.front().inFlight = 1;
    for (int i = 0; i < 100; ++i) {
        CHECK(fixture.tick().orders.empty());
    }
    fixture.reports.front().inFlight = 0;
    CHECK(fixture.tick().orders.size() == 1);
}

TEST_CASE("a new controller issues no order while its predecessor's orders can still arrive")
{
    OrderController controller(options);
    const Instant now{std::chrono::hours(1)};
    controller.lease().acquired(now, 2, now);
    controller.lease().renewed(now + options.maxOrderLifetime);
    CHECK_FALSE(controller.plan(now + options.maxOrderLifetime).isActive);
    CHECK(controller.plan(now + options.maxOrderLifetime + 1s).isActive);
}

TEST_CASE("lease time counts from the start of the call that granted it")
{
    ControllerLease lease(options);
    const Instant asked{std::chrono::hours(1)};
    lease.acquired(asked, 1, asked + 2s);
    CHECK(lease.isHeld(asked + 4s));
    CHECK_FALSE(lease.isHeld(asked + options.leaseTtl));
}

TEST_CASE("an order is repeated only when the first one can no longer arrive")
{
    Fixture fixture(1);
    fixture.setDesired("1", 1);
    const OrderPlan first = fixture.tick();
    REQUIRE(first.orders.size() == 1);
    fixture.reports.front().model.clear(); // The order was lost.
    const Instant arrived = first.orders.front().sendDeadline + options.maxOrderLifetime;
    while (fixture.now + 200ms < arrived) {
        REQUIRE(fixture.tick().orders.empty());
    }
    size_t repeated = 0;
    for (int i = 0; i < 5; ++i) {
        repeated += fixture.tick().orders.size();
    }
    CHECK(repeated == 2); // The model, then its adapter.
}

} // namespace teaseldrift
