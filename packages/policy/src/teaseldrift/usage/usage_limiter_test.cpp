#include "teaseldrift/usage/usage_limiter.hpp"

#include <algorithm>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace teaseldrift {

namespace {

const Instant start(100s);

} // namespace

TEST_CASE("units are refilled at the rate")
{
    UsageLimiter limiter;
    limiter.setLimit({.unitsPerSecond = 100.0, .burst = 200.0}, 1.0, start);
    // The bucket starts a quarter full.
    CHECK(limiter.tryAcquire(50.0, start));
    CHECK_FALSE(limiter.tryAcquire(50.0, start));
    CHECK(limiter.timeUntilAvailable(50.0, start) == 500ms);
    CHECK(limiter.tryAcquire(50.0, start + 500ms));
}

TEST_CASE("a full bucket grants a request larger than its capacity and the level goes negative")
{
    UsageLimiter limiter;
    limiter.setLimit({.unitsPerSecond = 100.0, .burst = 100.0}, 1.0, start);
    CHECK_FALSE(limiter.tryAcquire(1000.0, start));
    CHECK(limiter.tryAcquire(1000.0, start + 1s));
    CHECK_FALSE(limiter.tryAcquire(1.0, start + 9s));
    CHECK(limiter.tryAcquire(1.0, start + 11s));
}

TEST_CASE("a lower limit applies at once")
{
    UsageLimiter limiter;
    limiter.setLimit({.unitsPerSecond = 1000.0, .burst = 1000.0}, 1.0, start);
    limiter.setLimit({.unitsPerSecond = 10.0, .burst = 10.0}, 1.0, start + 10s);
    CHECK(limiter.tryAcquire(10.0, start + 10s));
    CHECK_FALSE(limiter.tryAcquire(1.0, start + 10s));
}

TEST_CASE("without a limit every request is granted")
{
    UsageLimiter limiter;
    limiter.setLimit({}, 1.0, start);
    CHECK(limiter.tryAcquire(1e9, start));
}

TEST_CASE("property: grants in any window stay within rate, burst and slack", "[fuzz]")
{
    REQUIRE(rc::check("grants within a window are bounded", [] {
        const double rate = *rc::gen::inRange(10, 1000);
        const double burst = *rc::gen::inRange(10, 1000);
        const double slack = *rc::gen::inRange(0, 500);
        UsageLimiter limiter;
        limiter.setLimit({.unitsPerSecond = rate, .burst = burst, .slack = slack}, 1.0, start);
        std::vector<std::pair<double, double>> grants;
        double largest = 0.0;
        Instant now = start;
        const std::vector<int> gaps
                = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400));
        for (const int gap : gaps) {
            now += std::chrono::milliseconds(gap);
            const double units = *rc::gen::inRange(1, 300);
            if (limiter.tryAcquire(units, now)) {
                grants.emplace_back(toSeconds(now - start), units);
                largest = std::max(largest, units);
            }
        }
        for (size_t first = 0; first < grants.size(); ++first) {
            double sum = 0.0;
            for (size_t i = first; i < grants.size(); ++i) {
                sum += grants[i].second;
                const double window = grants[i].first - grants[first].first;
                // A request larger than the capacity makes the level negative.
                const double overshoot = std::max(0.0, largest - burst - slack);
                RC_ASSERT(sum <= rate * window + burst + slack + overshoot + 1e-6);
            }
        }
    }));
}

TEST_CASE("units that will be there in time are reserved, one request after the other")
{
    const Instant start(100s);
    UsageLimiter limiter;
    limiter.setLimit({.unitsPerSecond = 2.0, .burst = 1.0, .initialFill = 1.0}, 1.0, start);
    CHECK(limiter.tryReserve(1.0, 0s, start) == Duration(0));
    CHECK_FALSE(limiter.tryReserve(1.0, 499ms, start));
    CHECK(limiter.tryReserve(1.0, 600ms, start) == Duration(500ms));
    CHECK_FALSE(limiter.tryReserve(1.0, 600ms, start));
    CHECK(limiter.tryReserve(1.0, 1s, start) == Duration(1s));
    // Both have been taken from what comes until then.
    CHECK_FALSE(limiter.tryAcquire(1.0, start + 1499ms));
    CHECK(limiter.tryAcquire(1.0, start + 1500ms));
}

// A VM's own part of a limit is often less than one request: all VMs together granted many.
TEST_CASE("a request larger than the capacity is not reserved unless the limit allows it")
{
    const Instant start(100s);
    UsageLimiter limiter;
    limiter.setLimit({.unitsPerSecond = 2.0,
                      .burst = 0.5,
                      .initialFill = 1.0,
                      .grantsLargerThanCapacity = false},
                     1.0, start);
    CHECK_FALSE(limiter.tryReserve(1.0, 0s, start));
    CHECK_FALSE(limiter.tryReserve(1.0, 10s, start));
    limiter.setLimit({.unitsPerSecond = 2.0, .burst = 0.5}, 1.0, start);
    CHECK(limiter.tryReserve(1.0, 0s, start) == Duration(0));
    CHECK(limiter.tryReserve(1.0, 10s, start) == Duration(500ms));
}

} // namespace teaseldrift
