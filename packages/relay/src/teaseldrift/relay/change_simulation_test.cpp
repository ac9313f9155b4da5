#include "change_simulation_test.hpp"

#include <span>

#include <catch2/catch.hpp>

namespace teaseldrift::relay::changesimulation {

namespace {

constexpr Duration dayLength = 60s;

/// Draws times, VMs and faults of one day.
class Draw
{
public:
    explicit Draw(uint64_t seed) : m_generator(seed) { }

    size_t below(size_t count)
    {
        return std::uniform_int_distribution<size_t>(0, count - 1)(m_generator);
    }

    Duration between(Duration least, Duration most)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(least.count(),
                                                                     most.count())(m_generator));
    }

    /// Representatives and the next candidates are drawn as often as all other VMs together.
    size_t vm(Fleet &fleet)
    {
        constexpr size_t candidates = 3;
        const size_t zone = below(fleet.shape.zones);
        return below(2) == 0 ? fleet.vmByRank(zone, below(candidates)) : below(fleet.shape.vms);
    }

    Condition condition()
    {
        constexpr std::array conditions{Condition::Silent, Condition::Silent, Condition::Busy,
                                        Condition::LosesResponses, Condition::Slow};
        return conditions.at(below(conditions.size()));
    }

private:
    std::mt19937_64 m_generator;
};

/// Changes that come alone, and several within a second.
std::vector<Duration> drawChanges(Draw &draw)
{
    std::vector<Duration> changes;
    for (Duration at = 3s; at < dayLength - 5s; at += draw.between(100ms, 2500ms)) {
        changes.push_back(at);
    }
    return changes;
}

using Kind = Fault::Kind;

constexpr std::array mixedKinds{
        Kind::VmSuspended,         Kind::VmRestarted,       Kind::StorePath,
        Kind::StorePath,           Kind::PeerPath,          Kind::Store,
        Kind::StoreForgetsHistory, Kind::StoreReturnsOlder, Kind::ConnectionsSilent,
        Kind::OlderVmList};

/// What changes who relays for whom.
constexpr std::array membershipKinds{Kind::VmSuspended,      Kind::VmRestarted, Kind::VmReplaced,
                                     Kind::VmReplaced,       Kind::VmReplaced,  Kind::VmDrained,
                                     Kind::VmDrained,        Kind::StorePath,   Kind::PeerPath,
                                     Kind::ConnectionsSilent};

/// Faults that come alone, in series and together.
std::vector<Fault> drawFaults(Draw &draw, Fleet &fleet, std::span<const Kind> kinds)
{
    std::vector<Fault> faults;
    Duration at = 5s;
    while (at < dayLength - 10s) {
        const size_t together = 1 + draw.below(4);
        for (size_t i = 0; i < together; ++i) {
            Fault fault{.kind = kinds[draw.below(kinds.size())],
                        .at = at + draw.between(0ms, 3s),
                        .length = draw.between(500ms, 10s),
                        .vm = draw.vm(fleet),
                        .condition = draw.condition()};
            if (fault.kind == Kind::Store) {
                fault.length = std::min<Duration>(fault.length, 5s);
            }
            faults.push_back(fault);
        }
        at += draw.between(2s, 9s);
    }
    return faults;
}

std::string describe(const std::vector<Fault> &faults)
{
    std::string text;
    for (const Fault &fault : faults) {
        text += "\n  " + std::to_string(toSeconds(fault.at)) + " s, for "
                + std::to_string(toSeconds(fault.length)) + " s: kind "
                + std::to_string(static_cast<int>(fault.kind)) + ", condition "
                + std::to_string(static_cast<int>(fault.condition)) + ", vm "
                + std::to_string(fault.vm);
    }
    return text;
}

void playDays(const FleetShape &shape, uint64_t seeds, uint64_t firstSeed = 1,
              std::span<const Kind> kinds = mixedKinds)
{
    for (uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        Fleet fleet(shape);
        Draw draw(seed);
        const std::vector<Fault> faults = drawFaults(draw, fleet, kinds);
        const DayResult result = fleet.play(dayLength, drawChanges(draw), faults);
        INFO("seed " << seed << ": " << result.breach << describe(faults));
        CHECK(result.breach.empty());
    }
}

} // namespace

// Guards against waits that come one after the other and add up to more than the time in which an
// acknowledged change must be in force (CONFIG).
TEST_CASE("changes are in force in time under overlapping faults, 7 VMs")
{
    playDays({.vms = 7, .zones = 3, .contactTime = 3s, .applyTime = 2s}, 40);
}

TEST_CASE("changes are in force in time under overlapping faults, 84 VMs")
{
    playDays({}, 40);
}

TEST_CASE("changes are in force in time under overlapping faults, 195 VMs")
{
    playDays({.vms = 195, .zones = 5, .contactTime = 5s, .applyTime = 4s}, 6);
}

// Guards against a VM that relies on a representative that has ended, is new, or has a list in
// which another VM is it (CONFIG).
TEST_CASE("changes are in force in time while VMs leave, join and know older lists of VMs")
{
    const size_t vms = GENERATE(7, 65, 88);
    const bool isSmall = vms < StoreRelayOptions().minVmCount;
    playDays({.vms = vms,
              .zones = 3,
              .contactTime = isSmall ? 3s : 4s,
              .applyTime = isSmall ? 2s : 3s,
              .readsLists = true},
             8, 1, membershipKinds);
}

// By hand: relay-test "[fresh-seeds]".
TEST_CASE("changes are in force in time under overlapping faults, fresh seeds", "[.][fresh-seeds]")
{
    const uint64_t firstSeed = std::random_device()();
    playDays({.vms = 7, .zones = 3, .contactTime = 3s, .applyTime = 2s}, 2000, firstSeed);
    playDays({}, 100, firstSeed);
    playDays({.vms = 195, .zones = 5, .contactTime = 5s, .applyTime = 4s}, 10, firstSeed);
    playDays({.vms = 65, .readsLists = true}, 100, firstSeed, membershipKinds);
    playDays({.vms = 88, .zones = 1, .readsLists = true}, 50, firstSeed, membershipKinds);
    playDays({.vms = 195,
              .zones = 5,
              .contactTime = 5s,
              .applyTime = 4s,
              .readsLists = true,
              .maxListAge = 6s},
             10, firstSeed, membershipKinds);
}

// By hand: relay-test "[measure]". Calls that reach the store, and how late VMs in touch are.
TEST_CASE("store calls and delays of changes", "[.][measure]")
{
    struct Case
    {
        const char *name;
        std::vector<Fault> faults;
    };
    const std::vector<Case> cases{
            {"calm", {}},
            {"store busy for 6 s",
             {{.kind = Fault::Kind::Store, .at = 10s, .length = 6s, .condition = Condition::Busy}}},
            {"store silent for 6 s", {{.kind = Fault::Kind::Store, .at = 10s, .length = 6s}}},
            {"connections silent", {{.kind = Fault::Kind::ConnectionsSilent, .at = 10s}}},
    };
    for (const FleetShape &shape :
         {FleetShape{.vms = 7, .contactTime = 3s, .applyTime = 2s}, FleetShape{},
          FleetShape{.vms = 195, .zones = 5, .contactTime = 5s, .applyTime = 4s}}) {
        for (const Case &each : cases) {
            Fleet fleet(shape);
            Draw draw(1);
            const DayResult result = fleet.play(dayLength, drawChanges(draw), each.faults);
            WARN(shape.vms << " VMs, " << each.name << ": " << result.storeCalls << " calls in "
                           << toSeconds(dayLength) << " s, longest delay "
                           << toSeconds(result.longestDelay) << " s " << result.breach);
        }
    }
}

} // namespace teaseldrift::relay::changesimulation
