#include "teaseldrift/health/target_health.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace teaseldrift {

namespace {

TargetHealth poolOf(size_t size)
{
    TargetHealth health;
    for (size_t i = 0; i < size; ++i) {
        health.addTarget("t" + std::to_string(i), "pool", Instant());
    }
    return health;
}

void reportThreeFailures(TargetHealth &health, std::string_view target, Instant now)
{
    for (int i = 0; i < 3; ++i) {
        health.report(target, HealthObservation::ConnectFailed, now);
    }
}

} // namespace

TEST_CASE("a target is ejected after consecutive failures and returns after a successful probe")
{
    TargetHealth health = poolOf(4);
    const Instant now{};
    health.report("t0", HealthObservation::ConnectionBroken, now);
    health.report("t0", HealthObservation::Responded, now);
    health.report("t0", HealthObservation::ConnectionBroken, now);
    health.report("t0", HealthObservation::TimedOut, now);
    CHECK(health.isEligible("t0"));
    health.report("t0", HealthObservation::ConnectFailed, now);
    CHECK_FALSE(health.isEligible("t0"));
    CHECK(health.takeProbes(now).empty());
    CHECK(health.takeProbes(now + 1s) == std::vector<std::string>{"t0"});
    CHECK(health.takeProbes(now + 1s).empty());
    health.report("t0", HealthObservation::Responded, now + 1s);
    CHECK(health.isEligible("t0"));
}

TEST_CASE("each failed probe doubles the ejection time up to its maximum")
{
    TargetHealth health = poolOf(4);
    Instant now{};
    reportThreeFailures(health, "t0", now);
    for (const Duration wait : {1s, 2s, 4s, 8s, 16s, 30s, 30s}) {
        CHECK(health.takeProbes(now + wait - 1ms) != std::vector<std::string>{"t0"});
        now += wait;
        health.report("t0", HealthObservation::ConnectFailed, now);
    }
}

// Guards against a busy target that is avoided for longer and longer although it can be reached
// again: its trials are answered with refusals.
TEST_CASE("a trial that is refused ends the ejection, a refusal before does not hide failures")
{
    TargetHealth health(HealthOptions{.isTriedByRequests = true});
    for (const char *target : {"t0", "t1", "t2", "t3"}) {
        health.addTarget(target, "pool", Instant());
    }
    const Instant now = Instant() + 100s;
    health.report("t0", HealthObservation::ConnectFailed, now);
    health.report("t0", HealthObservation::ConnectFailed, now);
    health.refused("t0");
    health.report("t0", HealthObservation::ConnectFailed, now);
    REQUIRE(health.ejectedCount("pool") == 1);
    health.sent("t0", now + 60s);
    health.refused("t0");
    CHECK(health.ejectedCount("pool") == 0);
    CHECK(health.isEligible("t0", now + 60s));
}

TEST_CASE("a leaving target becomes ineligible immediately, even as the last of its pool")
{
    TargetHealth health = poolOf(1);
    health.setLeaving("t0", true);
    CHECK_FALSE(health.isEligible("t0"));
    CHECK(health.takeProbes(Instant() + 60s).empty());
}

TEST_CASE("ejected targets become eligible when no other target is left in their pool")
{
    TargetHealth health = poolOf(2);
    reportThreeFailures(health, "t0", Instant());
    CHECK_FALSE(health.isEligible("t0"));
    health.setLeaving("t1", true);
    CHECK(health.isEligible("t0"));
}

TEST_CASE("targets are probed only when idle")
{
    TargetHealth health = poolOf(2);
    health.report("t0", HealthObservation::Responded, Instant() + 5s);
    CHECK(health.takeProbes(Instant() + 10s) == std::vector<std::string>{"t1"});
}

TEST_CASE("a minimum fraction of a pool is never ejected", "[fuzz]")
{
    REQUIRE(rc::check([](const std::vector<std::pair<uint8_t, bool>> &reports) {
        constexpr size_t size = 5;
        constexpr size_t mostEjected = 2;
        TargetHealth health = poolOf(size);
        Instant now{};
        for (const std::pair<uint8_t, bool> &report : reports) {
            now += 100ms;
            health.report("t" + std::to_string(report.first % size),
                          report.second ? HealthObservation::Responded
                                        : HealthObservation::TimedOut,
                          now);
            RC_ASSERT(health.ejectedCount("pool") <= mostEjected);
        }
    }));
}

} // namespace teaseldrift
