#include <algorithm>
#include <array>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "teaseldrift/placement/fleet_rates.hpp"
#include "teaseldrift/placement/hot_prefix_sketch.hpp"
#include "teaseldrift/placement/prefix_placement.hpp"
#include "teaseldrift/placement/target_load.hpp"

namespace teaseldrift::placement {

namespace {

hashing::BlockHash blockOf(uint64_t number)
{
    return {.high = number, .low = number * 0x9E3779B97F4A7C15ULL};
}

} // namespace

TEST_CASE("in its first window a sketch never underestimates rates, and it stays within its memory "
          "bound",
          "[fuzz]")
{
    REQUIRE(rc::check("rates are never underestimated", [] {
        HotPrefixSketch sketch({.width = 64, .window = 8s});
        const size_t memory = sketch.memoryBytes() + 256 * sizeof(HotPrefix);
        std::array<uint32_t, 50> asked{};
        const int requests = *rc::gen::inRange(1, 300);
        for (int request = 0; request < requests; ++request) {
            const uint64_t number = *rc::gen::inRange<uint64_t>(0, asked.size());
            const std::array<hashing::BlockHash, 1> chain{blockOf(number)};
            sketch.record(chain, Instant(20ms * request));
            ++asked[number];
        }
        const Instant now(20ms * requests);
        const double seconds = std::max(toSeconds(20ms * requests), 0.5);
        for (uint64_t number = 0; number < asked.size(); ++number) {
            RC_ASSERT(sketch.requestsPerSecond(blockOf(number), now)
                      >= asked[number] / seconds * 0.99);
        }
        RC_ASSERT(sketch.memoryBytes() <= memory);
    }));
}

TEST_CASE("merging a peer's hot prefixes gives a new VM their rates and is idempotent")
{
    HotPrefixSketch peer;
    const std::array<hashing::BlockHash, 2> chain{blockOf(1), blockOf(2)};
    for (int request = 0; request < 160; ++request) {
        peer.record(chain, Instant(50ms * request));
    }
    const Instant now(8s);
    HotPrefixSketch newVm;
    newVm.merge(peer.hottest(now), now);
    newVm.merge(peer.hottest(now), now);
    CHECK(newVm.requestsPerSecond(blockOf(1), now) == Approx(20.0).epsilon(0.1));
    CHECK(newVm.requestsPerSecond(blockOf(3), now) == 0.0);
}

TEST_CASE("rates of peers are averaged, and expire when a peer stops reporting")
{
    FleetRates rates;
    const std::array<HotPrefix, 1> prefixes{HotPrefix{.hash = 7, .requestsPerSecond = 10.0}};
    rates.setPeerRates("a", prefixes, Instant{});
    CHECK(rates.meanRate(7, 20.0) == Approx(15.0));
    CHECK(rates.meanRate(8, 20.0) == Approx(20.0));
    rates.setPeerRates("b", {}, Instant(60s));
    CHECK(rates.meanRate(7, 20.0) == Approx(20.0));
}

TEST_CASE("replicas follow the rate with hysteresis")
{
    ReplicaCounts replicas;
    CHECK(replicas.update(blockOf(1), 0.2) == 1);
    CHECK(replicas.update(blockOf(1), 2.5) == 4);
    CHECK(replicas.update(blockOf(1), 1.8) == 4);
    CHECK(replicas.update(blockOf(1), 1.2) == 2);
    CHECK(replicas.update(blockOf(1), 1e9) == 16);
}

TEST_CASE("a delayed load report is corrected by this VM's attempts")
{
    TargetLoad load;
    const LoadReport report{.running = 3, .queued = 1, .reportedAt = Instant(1s)};
    load.started(1, 1000, Instant(500ms));
    load.started(2, 2000, Instant(1500ms));
    const auto estimate = [&load, &report](Instant now) {
        return load.estimate(report, 20000.0, 2s, 0.5, now);
    };
    CHECK(estimate(Instant(1600ms)).inFlight == Approx(5.0));
    CHECK(estimate(Instant(1600ms)).fleetInFlight == Approx(6.0));
    CHECK(estimate(Instant(1600ms)).backlogTokens == Approx(2000.0));
    load.finished(1, Instant(1700ms));
    CHECK(estimate(Instant(1800ms)).inFlight == Approx(4.0));
    CHECK(estimate(Instant(9s)).stale);
    CHECK(estimate(Instant(9s)).inFlight == Approx(1.0));
    load.finished(2, Instant(9s));
    CHECK(load.localInFlight() == 0);
}

} // namespace teaseldrift::placement
