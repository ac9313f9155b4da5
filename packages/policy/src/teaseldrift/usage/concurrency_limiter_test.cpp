#include <catch2/catch.hpp>

#include "teaseldrift/usage/concurrency_limiter.hpp"

namespace teaseldrift {

namespace {

Instant at(Duration time)
{
    return Instant(1000s) + time;
}

constexpr Duration term = 2s;

/// Grows the limit of a target with 6 slots to its ceiling of 8.
void warmUp(ConcurrencyLimiter &limiter, Instant now)
{
    for (uint64_t id = 1000; id < 1020; ++id) {
        REQUIRE(limiter.acquire({.id = id, .term = term}, now).outcome
                == ConcurrencyOutcome::Granted);
        limiter.release(id, {.running = 1}, now);
    }
    REQUIRE(limiter.limit() == 8);
}

ConcurrencyOutcome acquire(ConcurrencyLimiter &limiter, uint64_t id, Instant now,
                           Duration maxWait = Duration(0), uint32_t priority = 0)
{
    return limiter.acquire({.id = id, .priority = priority, .maxWait = maxWait, .term = term}, now)
            .outcome;
}

} // namespace

TEST_CASE("concurrency limiter: the limit starts low and grows with each response")
{
    ConcurrencyLimiter limiter({.slots = 6});
    CHECK(acquire(limiter, 1, at(0s)) == ConcurrencyOutcome::Granted);
    CHECK(acquire(limiter, 2, at(0s)) == ConcurrencyOutcome::Refused);
    limiter.release(1, {.running = 1}, at(30ms));
    CHECK(acquire(limiter, 3, at(30ms)) == ConcurrencyOutcome::Granted);
    CHECK(acquire(limiter, 4, at(30ms)) == ConcurrencyOutcome::Granted);
    CHECK(acquire(limiter, 5, at(30ms)) == ConcurrencyOutcome::Refused);
}

TEST_CASE("concurrency limiter: permits are held until they are released or lapse")
{
    ConcurrencyLimiter limiter({.slots = 6});
    warmUp(limiter, at(0s));
    for (uint64_t id = 0; id < 8; ++id) {
        CHECK(acquire(limiter, id, at(1s)) == ConcurrencyOutcome::Granted);
    }
    CHECK(acquire(limiter, 8, at(1s)) == ConcurrencyOutcome::Refused);
    limiter.release(3, {.running = 6, .waiting = 2}, at(1s));
    CHECK(acquire(limiter, 9, at(1s)) == ConcurrencyOutcome::Granted);
    // A permit that is released twice counts once.
    limiter.release(3, {.running = 6, .waiting = 2}, at(1s));
    CHECK(acquire(limiter, 10, at(1s)) == ConcurrencyOutcome::Refused);
    CHECK(acquire(limiter, 11, at(3s)) == ConcurrencyOutcome::Granted);
    CHECK(limiter.outstanding() == 1);
}

TEST_CASE("concurrency limiter: queries wait by priority and arrival, and not for too long")
{
    ConcurrencyLimiter limiter({.slots = 6});
    warmUp(limiter, at(0s));
    for (uint64_t id = 0; id < 8; ++id) {
        CHECK(acquire(limiter, id, at(1s)) == ConcurrencyOutcome::Granted);
    }
    CHECK(acquire(limiter, 20, at(1s), 100ms, 5) == ConcurrencyOutcome::Waiting);
    CHECK(acquire(limiter, 21, at(1s), 100ms, 5) == ConcurrencyOutcome::Waiting);
    CHECK(acquire(limiter, 22, at(1s), 100ms, 1) == ConcurrencyOutcome::Waiting);
    CHECK(acquire(limiter, 23, at(1s), 100ms, 1) == ConcurrencyOutcome::Waiting);
    // It cannot be served in time.
    CHECK(acquire(limiter, 24, at(1s), 1ms, 5) == ConcurrencyOutcome::Refused);
    limiter.cancel(23, at(1s));
    for (uint64_t id = 0; id < 2; ++id) {
        limiter.release(id, {.running = 6}, at(1050ms));
    }
    std::vector<std::pair<uint64_t, ConcurrencyVerdict>> decisions
            = limiter.takeDecisions(at(1050ms));
    REQUIRE(decisions.size() == 2);
    CHECK(decisions[0].first == 22);
    CHECK(decisions[1].first == 20);
    CHECK(decisions[1].second.outcome == ConcurrencyOutcome::Granted);
    CHECK(limiter.nextDecision() == at(1100ms));
    decisions = limiter.takeDecisions(at(1100ms));
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].first == 21);
    CHECK(decisions[0].second.outcome == ConcurrencyOutcome::Refused);
    CHECK_FALSE(limiter.nextDecision());
}

TEST_CASE("concurrency limiter: a refusal lowers the limit to what the target had")
{
    ConcurrencyLimiter limiter({.slots = 6, .increaseInterval = 5s, .bearableRefusals = 4.0});
    warmUp(limiter, at(0s));
    for (uint64_t id = 0; id < 8; ++id) {
        CHECK(acquire(limiter, id, at(1s)) == ConcurrencyOutcome::Granted);
    }
    limiter.release(7, {.wasRefused = true, .running = 4, .waiting = 1}, at(1s));
    CHECK(limiter.limit() == 5);
    // It grows slowly again, also without a refusal.
    for (uint64_t id = 0; id < 7; ++id) {
        limiter.release(id, {.running = 4}, at(1s));
    }
    CHECK(acquire(limiter, 30, at(5900ms)) == ConcurrencyOutcome::Granted);
    CHECK(limiter.limit() == 5);
    limiter.release(30, {.running = 4}, at(6100ms));
    CHECK(acquire(limiter, 31, at(6100ms)) == ConcurrencyOutcome::Granted);
    limiter.release(31, {.running = 4}, at(6100ms));
    CHECK(limiter.limit() == 6);
}

TEST_CASE("concurrency limiter: a target that refuses everything gets few requests")
{
    ConcurrencyLimiter limiter({.slots = 6, .bearableRefusals = 1.0});
    int granted = 0;
    for (Duration time{0}; time < 20s; time += 5ms) {
        const uint64_t id = static_cast<uint64_t>(time.count());
        if (acquire(limiter, id, at(time)) == ConcurrencyOutcome::Granted) {
            ++granted;
            limiter.release(id, {.wasRefused = true, .running = 6}, at(time + 4ms));
        }
    }
    CHECK(granted <= 11);
    CHECK(granted >= 5);
}

TEST_CASE("concurrency limiter: a refusal while there is room does not lower the limit")
{
    ConcurrencyLimiter limiter({.slots = 6});
    warmUp(limiter, at(0s));
    CHECK(acquire(limiter, 1, at(1s)) == ConcurrencyOutcome::Granted);
    limiter.release(1, {.wasRefused = true, .running = 2, .waiting = 0}, at(1s));
    CHECK(limiter.limit() == 8);
}

TEST_CASE("concurrency limiter: requests that hold no permit count, for a while")
{
    ConcurrencyLimiter limiter({.slots = 6});
    warmUp(limiter, at(0s));
    CHECK(acquire(limiter, 1, at(1s)) == ConcurrencyOutcome::Granted);
    CHECK(acquire(limiter, 2, at(1s)) == ConcurrencyOutcome::Granted);
    limiter.release(1, {.running = 6, .waiting = 1}, at(1s));
    CHECK(acquire(limiter, 3, at(1s)) == ConcurrencyOutcome::Granted);
    CHECK(acquire(limiter, 4, at(1s)) == ConcurrencyOutcome::Granted);
    CHECK(acquire(limiter, 5, at(1s)) == ConcurrencyOutcome::Refused);
    CHECK(acquire(limiter, 6, at(1600ms)) == ConcurrencyOutcome::Granted);
}

} // namespace teaseldrift
