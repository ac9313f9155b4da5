#include "teaseldrift/weights/rollout_plan.hpp"

#include <catch2/catch.hpp>

namespace teaseldrift {

TEST_CASE("batchesUntilLoad counts the batches that load before a target")
{
    const RolloutPlan plan{.loading = {1, 2}, .waiting = {3, 4, 5}, .loaded = {6}, .batchSize = 2};
    CHECK(plan.batchesUntilLoad(2) == 0);
    CHECK(plan.batchesUntilLoad(3) == 1);
    CHECK(plan.batchesUntilLoad(4) == 1);
    CHECK(plan.batchesUntilLoad(5) == 2);
    CHECK_FALSE(plan.batchesUntilLoad(6));
    CHECK_FALSE(plan.batchesUntilLoad(7));
}

TEST_CASE("a batch size of 0 counts as 1")
{
    const RolloutPlan plan{.waiting = {3, 4}, .batchSize = 0};
    CHECK(plan.batchesUntilLoad(4) == 2);
}

TEST_CASE("a later controller's plan supersedes an earlier one's, whatever its sequence number")
{
    const RolloutPlan old{.fencing = 4, .sequence = 90};
    const RolloutPlan later{.fencing = 4, .sequence = 91};
    const RolloutPlan other{.fencing = 5, .sequence = 1};
    CHECK(later.supersedes(old));
    CHECK(other.supersedes(later));
    CHECK_FALSE(old.supersedes(other));
    CHECK_FALSE(old.supersedes(old));
}

TEST_CASE("plans that differ only in the sequence number have the same content")
{
    const RolloutPlan plan{.version = 2, .sequence = 1, .loading = {1}, .waiting = {2}};
    RolloutPlan other = plan;
    other.sequence = 2;
    CHECK(plan.hasSameContent(other));
    other.loaded = {3};
    CHECK_FALSE(plan.hasSameContent(other));
}

} // namespace teaseldrift
