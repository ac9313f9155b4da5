#include "teaseldrift/rollout/version_split.hpp"

#include <catch2/catch.hpp>

namespace teaseldrift {

namespace {

using Kind = VersionRule::Kind;

constexpr Instant start(10s);

RolloutAnnouncement announcementOf(RolloutState state, double share, uint64_t sequence)
{
    return {.order = {.service = "chat", .version = "v2", .number = 4},
            .state = state,
            .share = share,
            .fencing = 1,
            .sequence = sequence};
}

} // namespace

// Guards against use of the new version by a VM that is cut off from the leader or was suspended.
TEST_CASE("a VM without a recent announcement uses the old version", "[rollout]")
{
    VersionSplit split;
    CHECK(split.next("chat", "r", start).kind == Kind::Any);
    split.setOrder({.service = "chat", .version = "v2", .number = 4});
    CHECK(split.next("chat", "r", start).kind == Kind::Exclude);
    split.apply(announcementOf(RolloutState::Running, 1.0, 1), start);
    CHECK(split.next("chat", "r", start + 1s).kind == Kind::Require);
    CHECK(split.next("chat", "r", start + 1600ms).kind == Kind::Exclude);
}

// Guards against a leader that was suspended and resumes a rollout that another one has ended.
TEST_CASE("the end of a rollout is final until the next order", "[rollout]")
{
    VersionSplit split;
    split.apply(announcementOf(RolloutState::RolledBack, 0.0, 2), start);
    RolloutAnnouncement late = announcementOf(RolloutState::Running, 1.0, 9);
    late.fencing = 5;
    CHECK_FALSE(split.apply(late, start));
    CHECK(split.next("chat", "r", start).kind == Kind::Exclude);
    CHECK(split.next("chat", "r", start + 60s).kind == Kind::Exclude);
    split.setOrder({.service = "chat", .version = "v3", .number = 5});
    CHECK(split.next("chat", "r", start).version == "v3");
}

// Guards against a share that routes with little traffic add to, and against one that they lack.
TEST_CASE("the share holds for all routes together", "[rollout]")
{
    VersionSplit split;
    size_t all = 0;
    size_t rare = 0;
    for (size_t i = 0; i < 10000; ++i) {
        split.apply(announcementOf(RolloutState::Running, 0.03, 1), start);
        const bool isRare = i % 20 == 0;
        const bool isNew
                = split.next("chat", isRare ? "rare" : "often", start).kind == Kind::Require;
        all += isNew ? 1 : 0;
        rare += isNew && isRare ? 1 : 0;
    }
    CHECK(all <= 301);
    CHECK(all >= 280);
    CHECK(rare >= 40);
}

} // namespace teaseldrift
