#include "teaseldrift/weights/roll_plan.hpp"

#include <catch2/catch.hpp>

namespace teaseldrift {

TEST_CASE("a target's turn counts the groups before it")
{
    const RollPlan plan{.loading = {1, 2}, .waiting = {3, 4, 5}, .loaded = {6}, .together = 2};
    CHECK(plan.turnsUntil(2) == 0);
    CHECK(plan.turnsUntil(3) == 1);
    CHECK(plan.turnsUntil(4) == 1);
    CHECK(plan.turnsUntil(5) == 2);
    CHECK_FALSE(plan.turnsUntil(6));
    CHECK_FALSE(plan.turnsUntil(7));
}

TEST_CASE("a plan that names no group size is read as one target at a time")
{
    const RollPlan plan{.waiting = {3, 4}, .together = 0};
    CHECK(plan.turnsUntil(4) == 2);
}

TEST_CASE("a later controller's plan replaces an earlier one's, whatever its number")
{
    const RollPlan old{.fencing = 4, .number = 90};
    const RollPlan later{.fencing = 4, .number = 91};
    const RollPlan other{.fencing = 5, .number = 1};
    CHECK(later.replaces(old));
    CHECK(other.replaces(later));
    CHECK_FALSE(old.replaces(other));
    CHECK_FALSE(old.replaces(old));
}

TEST_CASE("a plan that only has another number says the same")
{
    const RollPlan plan{.version = 2, .number = 1, .loading = {1}, .waiting = {2}};
    RollPlan other = plan;
    other.number = 2;
    CHECK(plan.saysTheSame(other));
    other.loaded = {3};
    CHECK_FALSE(plan.saysTheSame(other));
}

} // namespace teaseldrift
