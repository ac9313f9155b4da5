#include "usage_simulation_test.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace teaseldrift {

namespace {

/// Rates whose window is dominated by the rate, and by the slack.
UsageSimulation::Options fleetOf(double rate)
{
    return {.rate = rate, .burst = rate};
}

/// Load of all VMs together, as a multiple of the rate: one request a step at each VM.
double unitsFor(double rate, double multiple, size_t vms = 6)
{
    return rate * multiple * toSeconds(UsageSimulation::step) / static_cast<double>(vms);
}

constexpr double smallRate = 36000.0;
constexpr double largeRate = 400000.0;

} // namespace

TEST_CASE("usage fleet: a load several times the limit gets the limit")
{
    const double rate = GENERATE(smallRate, largeRate);
    UsageSimulation fleet(fleetOf(rate));
    fleet.advance(10s);
    fleet.load(20s, unitsFor(rate, 4.0));
    CHECK(fleet.excess() <= 0.0);
}

// The owner granted the whole rate to some VMs while the others took half of it by themselves.
TEST_CASE("usage fleet: an owner that answers some VMs too late")
{
    const double rate = GENERATE(smallRate, largeRate);
    const size_t slow = GENERATE(1, 3, 5);
    UsageSimulation fleet(fleetOf(rate));
    fleet.advance(10s);
    for (size_t i = 0, left = slow; left > 0; ++i) {
        if (i != fleet.owner()) {
            fleet.vm(i).link = UsageSimulation::Link::Slow;
            --left;
        }
    }
    fleet.load(10s, unitsFor(rate, 12.0));
    CHECK(fleet.excess() <= 0.0);
}

TEST_CASE("usage fleet: VMs that cannot reach the owner")
{
    const double rate = GENERATE(smallRate, largeRate);
    const size_t cut = GENERATE(1, 3, 5);
    UsageSimulation fleet(fleetOf(rate));
    fleet.advance(10s);
    for (size_t i = 0, left = cut; left > 0; ++i) {
        if (i != fleet.owner()) {
            fleet.vm(i).link = UsageSimulation::Link::Down;
            --left;
        }
    }
    fleet.load(10s, unitsFor(rate, 12.0));
    CHECK(fleet.excess() <= 0.0);
}

// Each VM took itself for the owner of the limit and granted all of it.
TEST_CASE("usage fleet: the store loses all leases")
{
    const double rate = GENERATE(smallRate, largeRate);
    const Duration stagger = GENERATE(Duration(0s), Duration(150ms));
    UsageSimulation fleet({.rate = rate, .burst = rate, .readStagger = stagger});
    fleet.advance(10s);
    const Duration phase = GENERATE(Duration(0s), Duration(200ms), Duration(400ms), Duration(600ms),
                                    Duration(800ms));
    fleet.load(2s + phase, unitsFor(rate, 8.0));
    fleet.loseLeases();
    fleet.load(10s, unitsFor(rate, 8.0));
    CHECK(fleet.excess() <= 0.0);
}

TEST_CASE("usage fleet: a short list does not raise the parts of the VMs in it")
{
    UsageSimulation fleet;
    fleet.advance(10s);
    fleet.loseLeases();
    fleet.advance(200ms);
    for (size_t i = 0; i < fleet.size(); ++i) {
        CHECK(fleet.vm(i).limiter->vmCount() == fleet.size());
    }
}

// The owner went on by its old list while the others had elected a successor.
TEST_CASE("usage fleet: an owner cut off from the store")
{
    const double rate = GENERATE(smallRate, largeRate);
    UsageSimulation fleet(fleetOf(rate));
    fleet.advance(10s);
    fleet.vm(fleet.owner()).reachesStore = false;
    fleet.load(12s, unitsFor(rate, 12.0));
    CHECK(fleet.excess() <= 0.0);
}

// A third of the VMs goes on by old lists.
TEST_CASE("usage fleet: a minority cut off from the store")
{
    const double rate = GENERATE(smallRate, largeRate);
    UsageSimulation fleet(fleetOf(rate));
    fleet.advance(10s);
    fleet.vm(fleet.owner()).reachesStore = false;
    fleet.vm((fleet.owner() + 1) % fleet.size()).reachesStore = false;
    fleet.load(12s, unitsFor(rate, 12.0));
    CHECK(fleet.excess() <= 0.0);
}

// The former owner had a full bucket when it woke up and when it owned the limit again.
TEST_CASE("usage fleet: an owner is suspended past its lease and wakes up")
{
    const double rate = GENERATE(smallRate, largeRate);
    const Duration suspension = GENERATE(Duration(2s), Duration(3500ms), Duration(6s));
    UsageSimulation fleet(fleetOf(rate));
    fleet.advance(10s);
    const size_t owner = fleet.owner();
    fleet.load(2s, unitsFor(rate, 8.0));
    fleet.vm(owner).isSuspended = true;
    fleet.load(suspension, unitsFor(rate, 8.0));
    fleet.vm(owner).isSuspended = false;
    fleet.load(10s, unitsFor(rate, 8.0));
    CHECK(fleet.excess() <= 0.0);
}

TEST_CASE("usage fleet: all VMs leave and restart in turn")
{
    const double rate = GENERATE(smallRate, largeRate);
    UsageSimulation fleet(fleetOf(rate));
    fleet.advance(10s);
    for (size_t i = 0; i < fleet.size(); ++i) {
        fleet.leave(i);
        fleet.load(1s, unitsFor(rate, 8.0));
        fleet.start(i);
        fleet.load(1s, unitsFor(rate, 8.0));
    }
    CHECK(fleet.excess() <= 0.0);
}

// Each restart granted a quarter of the burst again.
TEST_CASE("usage fleet: processes are killed again and again")
{
    const double rate = GENERATE(smallRate, largeRate);
    UsageSimulation fleet(fleetOf(rate));
    fleet.advance(10s);
    for (int i = 0; i < 12; ++i) {
        for (size_t vm = 0; vm < fleet.size(); ++vm) {
            fleet.start(vm);
        }
        fleet.load(500ms, unitsFor(rate, 20.0));
    }
    CHECK(fleet.excess() <= 0.0);
}

// Refunded units were kept for any length of time and granted on top of a full burst.
TEST_CASE("usage fleet: refunds are kept and granted later")
{
    const double rate = GENERATE(smallRate, largeRate);
    UsageSimulation fleet(fleetOf(rate));
    fleet.advance(10s);
    // Each VM in turn gets the load of a second, which does not run.
    for (size_t vm = 0; vm < fleet.size(); ++vm) {
        const Instant from = fleet.now();
        for (int i = 0; i < 100; ++i) {
            fleet.advance();
            fleet.request(vm, rate / 100.0);
        }
        fleet.refundSince(from);
    }
    fleet.advance(3s);
    fleet.load(10s, unitsFor(rate, 20.0));
    CHECK(fleet.excess() <= 0.0);
}

TEST_CASE("usage fleet: the units of a request that is refunded at once are granted again")
{
    UsageSimulation fleet;
    fleet.advance(10s);
    fleet.load(3s, unitsFor(smallRate, 4.0));
    fleet.advance(100ms);
    const size_t owner = fleet.owner();
    REQUIRE(fleet.request(owner, 3600.0));
    CHECK_FALSE(fleet.request(owner, 3600.0));
    fleet.refundNewest();
    CHECK(fleet.request(owner, 3600.0));
}

TEST_CASE("usage fleet: requests within the limit are granted")
{
    const double rate = GENERATE(smallRate, largeRate);
    UsageSimulation fleet(fleetOf(rate));
    fleet.advance(10s);
    CHECK(fleet.load(20s, unitsFor(rate, 0.99)) == 0);
}

TEST_CASE("usage fleet: requests within the limit are granted while the store is down")
{
    const double rate = GENERATE(smallRate, largeRate);
    UsageSimulation fleet(fleetOf(rate));
    fleet.advance(10s);
    size_t refused = fleet.load(2s, unitsFor(rate, 0.99));
    fleet.setStoreUp(false);
    refused += fleet.load(9s, unitsFor(rate, 0.99));
    fleet.setStoreUp(true);
    refused += fleet.load(5s, unitsFor(rate, 0.99));
    CHECK(refused == 0);
}

TEST_CASE("usage fleet: requests within the limit are granted when a VM that owns nothing stops")
{
    const double rate = GENERATE(smallRate, largeRate);
    UsageSimulation fleet(fleetOf(rate));
    fleet.advance(10s);
    fleet.vm((fleet.owner() + 1) % fleet.size()).isSuspended = true;
    CHECK(fleet.load(10s, unitsFor(rate, 0.99)) == 0);
}

// A successor waited until the record of the killed process lapsed.
TEST_CASE("usage fleet: a killed owner is replaced at once")
{
    const double rate = GENERATE(smallRate, largeRate);
    const size_t vms = GENERATE(6, 84);
    UsageSimulation fleet({.vms = vms, .rate = rate, .burst = rate, .readStagger = 10ms});
    fleet.advance(10s);
    fleet.load(2s, unitsFor(rate, 0.8, vms));
    fleet.kill(fleet.owner());
    // The successor's limiter starts empty.
    fleet.load(100ms, unitsFor(rate, 0.8, vms));
    CHECK(fleet.load(10s, unitsFor(rate, 0.8, vms)) == 0);
}

// The VMs took owners of other limits, which had asked for extensions, for the owner of this one.
TEST_CASE("usage fleet: a third of the VMs is cut off from the store for long")
{
    const double rate = GENERATE(smallRate, largeRate);
    const size_t vms = GENERATE(6, 84);
    UsageSimulation fleet({.vms = vms, .rate = rate, .burst = rate, .readStagger = 5ms});
    fleet.advance(10s);
    size_t refused = fleet.load(1s, unitsFor(rate, 0.8, vms));
    const size_t owner = fleet.owner();
    fleet.vm(owner).reachesStore = false;
    for (size_t i = 0; i < fleet.size(); i += 3) {
        fleet.vm(i).reachesStore = false;
        const std::vector<std::string> others{"other"};
        CHECK(fleet.vm(i).limiter->answerExtension(fleet.vm((owner + 1) % vms).id, others,
                                                   fleet.now()));
    }
    refused += fleet.load(12s, unitsFor(rate, 0.8, vms));
    for (size_t i = 0; i < fleet.size(); ++i) {
        fleet.vm(i).reachesStore = true;
    }
    refused += fleet.load(4s, unitsFor(rate, 0.8, vms));
    CHECK(refused == 0);
    CHECK(fleet.excess() <= 0.0);
}

TEST_CASE("usage fleet: requests within the limit are granted while all VMs leave in turn")
{
    const double rate = GENERATE(smallRate, largeRate);
    UsageSimulation fleet(fleetOf(rate));
    fleet.advance(10s);
    size_t refused = 0;
    for (size_t i = 0; i < fleet.size(); ++i) {
        fleet.leave(i);
        refused += fleet.load(3s, unitsFor(rate, 0.8));
        fleet.kill(i);
        refused += fleet.load(500ms, unitsFor(rate, 0.8));
        fleet.start(i);
        refused += fleet.load(1s, unitsFor(rate, 0.8));
    }
    CHECK(refused == 0);
}

TEST_CASE("usage fleet: an owner that another owner refuses gives the limit up")
{
    UsageSimulation fleet;
    fleet.advance(10s);
    DistributedUsageLimiter &owner = *fleet.vm(fleet.owner()).limiter;
    REQUIRE(owner.isOwner("shop", fleet.now()));
    const std::vector<LimitClaimResult> results{
            {.vm = "vm-x", .reply = LimitClaimReply{.outcome = LimitClaimReply::Outcome::Refused}}};
    CHECK_FALSE(owner.beginClaim("shop", fleet.now()).empty());
    CHECK(owner.finishClaim("shop", results, fleet.now()) == LimitClaimOutcome::OwnedByOther);
    CHECK_FALSE(owner.isOwner("shop", fleet.now()));
    CHECK(owner.acquire("shop", 1.0, fleet.now()).outcome == UsageOutcome::QueryOwner);
}

// All lists are empty, and the processes read them before the records of the others are written.
TEST_CASE("usage fleet: all processes are killed and start at the same time")
{
    const double rate = GENERATE(smallRate, largeRate);
    const size_t vms = GENERATE(6, 84, 195);
    UsageSimulation fleet({.vms = vms, .rate = rate, .burst = rate, .readStagger = 5ms});
    fleet.advance(10s);
    fleet.load(1s, unitsFor(rate, 8.0, vms));
    for (size_t i = 0; i < fleet.size(); ++i) {
        fleet.kill(i);
    }
    fleet.load(1s, unitsFor(rate, 8.0, vms));
    for (size_t i = 0; i < fleet.size(); ++i) {
        fleet.start(i);
    }
    fleet.load(1s, unitsFor(rate, 8.0, vms));
    CHECK(fleet.load(8s, unitsFor(rate, 0.8, vms)) == 0);
    CHECK(fleet.excess() <= 0.0);
}

TEST_CASE("usage fleet: a large fleet whose VMs are killed in groups")
{
    const double rate = GENERATE(smallRate, largeRate);
    const size_t vms = GENERATE(84, 195);
    UsageSimulation fleet({.vms = vms, .rate = rate, .burst = rate, .readStagger = 5ms});
    fleet.advance(10s);
    for (size_t group = 0; group < 4; ++group) {
        fleet.kill(fleet.owner());
        for (size_t i = group; i < fleet.size(); i += 4) {
            fleet.kill(i);
        }
        fleet.load(500ms, unitsFor(rate, 8.0, vms));
        for (size_t i = 0; i < fleet.size(); ++i) {
            if (fleet.vm(i).isGone) {
                fleet.start(i);
            }
        }
        fleet.load(1500ms, unitsFor(rate, 8.0, vms));
    }
    CHECK(fleet.excess() <= 0.0);
}

TEST_CASE("property: usage fleet: no window exceeds the limit under faults", "[fuzz]")
{
    REQUIRE(rc::check("no window exceeds the limit", [] {
        const double rate = *rc::gen::element(smallRate, largeRate);
        UsageSimulation fleet(fleetOf(rate));
        fleet.advance(10s);
        const size_t events = *rc::gen::inRange<size_t>(1, 8);
        for (size_t i = 0; i < events; ++i) {
            const size_t vm = *rc::gen::inRange<size_t>(0, fleet.size());
            const int kind = *rc::gen::inRange(0, 9);
            RC_LOG() << "event " << kind << " at vm " << vm
                     << " t=" << toSeconds(fleet.now().time_since_epoch()) << '\n';
            // At most a third of the VMs is cut off from the store while it serves the others.
            const auto cutOff = [&] {
                size_t count = 0;
                for (size_t other = 0; other < fleet.size(); ++other) {
                    count += fleet.vm(other).reachesStore ? 0 : 1;
                }
                return count;
            }();
            switch (kind) {
            case 0:
                fleet.start(vm);
                break;
            case 1:
                fleet.vm(vm).isSuspended = !fleet.vm(vm).isSuspended;
                break;
            case 2:
                fleet.vm(vm).reachesStore = !(fleet.vm(vm).reachesStore && cutOff < 2);
                break;
            case 3:
                fleet.vm(vm).link
                        = *rc::gen::element(UsageSimulation::Link::Up, UsageSimulation::Link::Slow,
                                            UsageSimulation::Link::Down);
                break;
            case 4:
                fleet.loseLeases();
                break;
            case 5:
                fleet.setStoreUp(false);
                break;
            case 6:
                fleet.setStoreUp(true);
                break;
            case 7:
                fleet.leave(vm);
                break;
            default:
                fleet.refundSince(fleet.now() - 1s);
                break;
            }
            fleet.load(*rc::gen::inRange(1, 40) * 100ms,
                       unitsFor(rate, *rc::gen::element(0.9, 3.0, 8.0)));
        }
        fleet.load(4s, unitsFor(rate, 8.0));
        RC_ASSERT(fleet.excess() <= 0.0);
    }));
}

} // namespace teaseldrift
