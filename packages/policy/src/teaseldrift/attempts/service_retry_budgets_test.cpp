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

} // namespace

TEST_CASE("budgets of removed services are kept only while requests use them")
{
    const Instant now(100s);
    ServiceRetryBudgets budgets({}, 3);
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
