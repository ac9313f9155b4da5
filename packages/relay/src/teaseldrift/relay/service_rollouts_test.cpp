#include "teaseldrift/relay/service_rollouts.hpp"

#include <catch2/catch.hpp>

#include "teaseldrift/targets/peer_load_tracker.hpp"

namespace teaseldrift::relay {

namespace {

constexpr Instant start(10s);

const TargetEntry newTarget{.id = "n", .service = "chat", .softwareVersion = "v2"};
const TargetEntry oldTarget{.id = "o", .service = "chat", .softwareVersion = "v1"};

void orderWithShare(ServiceRollouts &rollouts, double share)
{
    rollouts.setOrder({.service = "chat", .version = "v2", .number = 3});
    rollouts.apply({.order = {.service = "chat", .version = "v2", .number = 3},
                    .share = share,
                    .fencing = 5,
                    .sequence = 2},
                   start);
}

} // namespace

// Guards against an effect on deployments without rollouts of services.
TEST_CASE("without rollouts any version may take a request")
{
    VersionedAttempt attempt(nullptr, "chat", "r");
    CHECK(attempt.select(1, start) == nullptr);
    CHECK_FALSE(attempt.fallBack(start));
    attempt.sent(&newTarget, start);
    attempt.failed(start);
    attempt.end();
}

// Guards against credit that is spent twice while a request waits for a permit, and against a
// retry that exposes the caller to the new version again.
TEST_CASE("only the first attempt may go to a version that is tested, and it is selected once")
{
    ServiceRollouts rollouts(1);
    orderWithShare(rollouts, 0.5);
    size_t isNew = 0;
    for (int i = 0; i < 100; ++i) {
        VersionedAttempt attempt(&rollouts, "chat", "r");
        const VersionRule first = *attempt.select(1, start);
        CHECK(attempt.select(1, start)->kind == first.kind);
        isNew += first.kind == VersionRule::Kind::Require ? 1 : 0;
        CHECK(attempt.select(2, start)->kind == VersionRule::Kind::Exclude);
    }
    CHECK(isNew >= 49);
    CHECK(isNew <= 51);
}

// Guards against requests that are taken for being at old targets after they have ended, and
// against outcomes of an earlier order that count for the next one.
TEST_CASE("outcomes are counted for the order under which the attempt began")
{
    ServiceRollouts rollouts(1);
    orderWithShare(rollouts, 0.5);
    VersionedAttempt old(&rollouts, "chat", "r");
    old.sent(&oldTarget, start);
    CHECK(rollouts.counts("chat")->oldInFlight == 1);
    CHECK(rollouts.counts("chat")->sequence == 2);
    VersionedAttempt broken(&rollouts, "chat", "r");
    broken.sent(&newTarget, start);
    broken.responded(start + 5ms);
    broken.failed(start + 9ms);
    const RolloutCounts counts = *rollouts.counts("chat");
    CHECK(counts.requests == 2);
    CHECK(counts.newRequests == 1);
    const ResponseCounts &responses
            = counts.responses.at({.route = routeKeyOf("r"), .target = targetKeyOf("n")});
    CHECK(responses.responses == 2);
    CHECK(responses.failures == 1);
    rollouts.setOrder({.service = "chat", .version = "v3", .number = 4});
    old.failed(start + 10ms);
    old.end();
    CHECK(rollouts.counts("chat")->responses.empty());
    CHECK(rollouts.counts("chat")->oldInFlight == 0);
}

} // namespace teaseldrift::relay
