#include <catch2/catch.hpp>

#include "teaseldrift/targets/congestion_estimator.hpp"

namespace teaseldrift {

namespace {

/// A VM that sees eight first events per second.
void observe(CongestionEstimator &congestion, int count, Duration measured, Instant &now)
{
    for (int i = 0; i < count; ++i) {
        now += 125ms;
        congestion.observe(measured, 100ms, now);
    }
}

} // namespace

// Guards against waits that are estimated far too short under overload, so that requests are sent
// to targets where they cannot begin in time. The load: first events come 900 ms later than the
// queued prompts explain.
TEST_CASE("a delay that the known load does not explain is learned within a second")
{
    CongestionEstimator congestion;
    Instant now = Instant() + 100s;
    CHECK(congestion.delay(now) == 0ms);
    observe(congestion, 8, 1s, now);
    CHECK(congestion.delay(now) > 500ms);
    CHECK(congestion.delay(now) <= 900ms);
}

// Guards against requests that are still refused after the overload has ended.
TEST_CASE("the delay returns to zero without observations and with fast responses")
{
    CongestionEstimator congestion;
    Instant now = Instant() + 100s;
    observe(congestion, 40, 1s, now);
    CHECK(congestion.delay(now + 3s) < 100ms);
    observe(congestion, 16, 100ms, now);
    CHECK(congestion.delay(now) < 100ms);
}

// Guards against one target that stalls and thereby makes a VM refuse requests that the others have
// room for.
TEST_CASE("a single late first event does not exceed an objective of a second")
{
    CongestionEstimator congestion;
    Instant now = Instant() + 100s;
    observe(congestion, 1, 10s, now);
    CHECK(congestion.delay(now) < 1s);
    observe(congestion, 4, 100ms, now);
    CHECK(congestion.delay(now) < 400ms);
}

} // namespace teaseldrift
