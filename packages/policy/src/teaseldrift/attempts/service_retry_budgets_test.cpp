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
    ServiceRetryBudgets budgets({}, 3);
    budgets.setServices(definitionOf({"engines", "returns"}));
    REQUIRE(budgets.size() == 2);
    std::shared_ptr<RetryBudget> used = budgets.budget("returns");
    CHECK(used != budgets.budget("engines"));

    budgets.setServices(definitionOf({"engines"}));
    CHECK(budgets.size() == 2);
    CHECK(budgets.budget("returns") == used);

    used.reset();
    budgets.setServices(definitionOf({"engines"}));
    CHECK(budgets.size() == 1);
}

} // namespace teaseldrift
