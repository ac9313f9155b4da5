#include "teaseldrift/attempts/service_retry_budgets.hpp"

#include <catch2/catch.hpp>

namespace teaseldrift {

namespace {

FleetDefinition definitionOf(std::vector<std::string> services)
{
    FleetDefinition definition;
    for (const std::string &service : services) {
        definition.routes.push_back({.name = service, .services = {{.service = service}}});
    }
    return definition;
}

/// Retries that a VM sends within 10 s at a service whose targets fail, after it has saved as many
/// as it may.
int retriesInWindow(double slack, size_t vms, RetryPriority priority)
{
    Instant now(100s);
    ServiceRetryBudgets budgets({.slack = slack, .window = 10s});
    budgets.setVmCount(vms, now);
    FleetDefinition definition = definitionOf({"engines"});
    definition.routes.front().kind = RouteKind::ResumableStream;
    budgets.setServices(definition, now);
    const std::shared_ptr<RetryBudget> budget = budgets.budget("engines", now);
    constexpr int requests = 2000;
    for (int i = 0; i < requests; ++i) {
        budget->countRequest();
    }
    int retries = 0;
    for (const Instant end = now + 10s; now <= end; now += 100ms) {
        while (budget->tryAcquire(now, priority)) {
            ++retries;
        }
    }
    return retries;
}

} // namespace

// A VM whose part of the slack was below two retries saved one in addition.
TEST_CASE("the parts of all VMs sum to at most the slack and leave little of it unused")
{
    for (const double slack : {40.0, 54.0, 180.0, 430.0}) {
        for (const size_t vms : {1U, 3U, 7U, 30U, 70U, 195U, 400U}) {
            const double part = slack / static_cast<double>(vms);
            const int retries = retriesInWindow(slack, vms, RetryPriority::StartedStream);
            CAPTURE(slack, vms);
            CHECK(retries <= part);
            // Nine tenths, rounded down to whole retries once for saved and once for refilled ones.
            CHECK(retries > 0.9 * part - 2.0);
        }
    }
}

TEST_CASE("budgets of removed services are kept only while requests use them")
{
    const Instant now(100s);
    ServiceRetryBudgets budgets({});
    budgets.setServices(definitionOf({"engines", "returns"}), now);
    REQUIRE(budgets.size() == 2);
    std::shared_ptr<RetryBudget> used = budgets.budget("returns", now);
    CHECK(used != budgets.budget("engines", now));

    budgets.setServices(definitionOf({"engines"}), now);
    CHECK(budgets.size() == 2);
    CHECK(budgets.budget("returns", now) == used);

    used.reset();
    budgets.setServices(definitionOf({"engines"}), now);
    CHECK(budgets.size() == 1);
}

} // namespace teaseldrift
