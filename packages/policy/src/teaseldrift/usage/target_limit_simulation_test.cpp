/// Limits that targets name, shared by a fleet: low rates, many VMs, one request a permit.

#include <catch2/catch.hpp>

#include "usage_simulation_test.hpp"

namespace teaseldrift {

namespace {

/// The rule allows 1.5 times the limit and five requests in 4 s. The owner's burst of one request
/// is part of that.
UsageSimulation::Options limitOf(double perSecond, size_t vms)
{
    return {.vms = vms,
            .rate = perSecond,
            .burst = 1.0,
            .slack = 4.0,
            .overrun = 0.5,
            .window = 4s,
            .readStagger = 1000ms / static_cast<int64_t>(vms),
            .tickInterval = 100ms};
}

/// Requests that arrive at VMs one by one at an even rate.
class Load
{
public:
    Load(UsageSimulation &fleet, double perSecond, size_t vms)
        : m_fleet(fleet), m_perStep(perSecond * toSeconds(UsageSimulation::step)), m_vms(vms)
    { }

    /// @return number of granted requests
    size_t run(Duration duration)
    {
        size_t granted = 0;
        for (const Instant end = m_fleet.now() + duration; m_fleet.now() < end;) {
            m_fleet.advance();
            for (m_due += m_perStep; m_due >= 1.0; m_due -= 1.0) {
                // Successive requests arrive at VMs far from each other.
                constexpr size_t stride = 7919;
                m_next = (m_next + stride) % m_vms;
                granted += m_fleet.request(m_next, 1.0) ? 1 : 0;
            }
        }
        return granted;
    }

private:
    UsageSimulation &m_fleet;
    double m_perStep;
    size_t m_vms;
    double m_due = 0.0;
    size_t m_next = 0;
};

} // namespace

// Guards against a low limit that each VM keeps and the sum of all VMs exceeds, and against one
// that is left idle because a VM's share is less than a request.
TEST_CASE("target limit fleet: a low limit is used up and not exceeded")
{
    const size_t vms = GENERATE(7, 195);
    const double rate = GENERATE(0.1, 2.0, 20.0);
    UsageSimulation fleet(limitOf(rate, vms));
    fleet.advance(10s);
    Load load(fleet, rate * 6.0, vms);
    load.run(4s);
    const size_t granted = load.run(20s);
    CHECK(fleet.excess() <= 0.0);
    CHECK(static_cast<double>(granted) >= rate * 20.0 * 0.95 - 1.0);
}

TEST_CASE("target limit fleet: all requests come to one VM, or to two that do not own the limit")
{
    const size_t vms = GENERATE(7, 195);
    const size_t busy = GENERATE(1, 2);
    UsageSimulation fleet(limitOf(2.0, vms));
    fleet.advance(10s);
    Load load(fleet, 40.0, busy);
    load.run(4s);
    CHECK(load.run(20s) >= 38);
    CHECK(fleet.excess() <= 0.0);
}

TEST_CASE("target limit fleet: a burst after a calm time")
{
    const size_t vms = GENERATE(7, 195);
    UsageSimulation fleet(limitOf(2.0, vms));
    fleet.advance(20s);
    Load burst(fleet, 2000.0, vms);
    burst.run(6s);
    CHECK(fleet.excess() <= 0.0);
}

TEST_CASE("target limit fleet: VMs that are cut off, suspended, or restarted in series")
{
    const size_t vms = GENERATE(7, 195);
    UsageSimulation fleet(limitOf(2.0, vms));
    fleet.advance(10s);
    Load load(fleet, 60.0, vms);
    load.run(3s);

    SECTION("the owner is cut off from the other VMs")
    {
        fleet.vm(fleet.owner()).link = UsageSimulation::Link::Down;
        load.run(12s);
    }

    SECTION("the owner is cut off from the store")
    {
        fleet.vm(fleet.owner()).reachesStore = false;
        load.run(12s);
    }

    SECTION("the owner is suspended and wakes up")
    {
        const size_t owner = fleet.owner();
        fleet.vm(owner).isSuspended = true;
        load.run(6s);
        fleet.vm(owner).isSuspended = false;
        load.run(6s);
        // The next one in order owned it meanwhile.
        CHECK(load.run(10s) >= 18);
    }

    SECTION("owners are killed one after the other")
    {
        for (int i = 0; i < 4; ++i) {
            const size_t owner = fleet.owner(i % 2);
            fleet.kill(owner);
            load.run(700ms);
            fleet.start(owner);
            load.run(800ms);
        }
        load.run(6s);
    }

    SECTION("half of the VMs get no answers from the owner")
    {
        for (size_t i = 0; i < vms; i += 2) {
            if (i != fleet.owner()) {
                fleet.vm(i).link = UsageSimulation::Link::Slow;
            }
        }
        load.run(12s);
    }
    CHECK(fleet.excess() <= 0.0);
}

TEST_CASE("target limit fleet: the store is away")
{
    const size_t vms = GENERATE(7, 195);
    UsageSimulation fleet(limitOf(2.0, vms));
    fleet.advance(10s);
    fleet.setStoreUp(false);
    Load load(fleet, 60.0, vms);
    load.run(10s);
    CHECK(load.run(10s) >= 18);
    fleet.setStoreUp(true);
    load.run(5s);
    CHECK(fleet.excess() <= 0.0);
}

TEST_CASE("target limit fleet: the store loses all leases, or all VMs restart together")
{
    const size_t vms = GENERATE(7, 195);
    const bool areRestarted = GENERATE(false, true);
    UsageSimulation fleet(limitOf(2.0, vms));
    fleet.advance(10s);
    Load load(fleet, 60.0, vms);
    load.run(4s);
    if (areRestarted) {
        for (size_t i = 0; i < vms; ++i) {
            fleet.start(i);
        }
    } else {
        fleet.loseLeases();
    }
    load.run(10s);
    CHECK(fleet.excess() <= 0.0);
}

} // namespace teaseldrift
