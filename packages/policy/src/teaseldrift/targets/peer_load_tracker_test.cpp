/// Aggregation of the VMs' in-flight load, and its effect on queue waits.

#include "teaseldrift/targets/peer_load_tracker.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <random>

#include <catch2/catch.hpp>

#include "teaseldrift/targets/target_selector.hpp"

namespace teaseldrift {

namespace {

const Instant start(100s);

InFlightLoadTable tokensAt(uint32_t key, uint32_t tokens)
{
    return {{key, {.backlogTokens = tokens, .requests = 1}}};
}

} // namespace

TEST_CASE("the total for a VM contains all load but its own")
{
    PeerLoadTracker load;
    load.updateVm("a", tokensAt(1, 100), start);
    load.updateVm("b", tokensAt(1, 20), start);
    load.updateZone("far", tokensAt(1, 3), start);
    const InFlightLoadTable own = tokensAt(1, 5000);
    CHECK(load.totalExcludingVm("a", own, start).at(1).backlogTokens == 5023);
    CHECK(load.totalExcludingVm("b", own, start).at(1).backlogTokens == 5103);
    CHECK(load.peerTotal(start).at(1).backlogTokens == 123);
}

TEST_CASE("a zone's total contains no load of other zones, so that none is counted twice")
{
    PeerLoadTracker load;
    load.updateVm("a", tokensAt(1, 100), start);
    load.updateZone("far", tokensAt(1, 3), start);
    const InFlightLoadTable sum = load.zoneTotal(tokensAt(2, 5000), start);
    CHECK(sum.at(1).backlogTokens == 100);
    CHECK(sum.at(2).backlogTokens == 5000);
}

TEST_CASE("a report replaces the VM's previous one and expires")
{
    PeerLoadTracker load({.maxAge = 500ms});
    load.updateVm("a", tokensAt(1, 100), start);
    load.updateVm("a", tokensAt(2, 7), start + 100ms);
    CHECK_FALSE(load.peerTotal(start + 100ms).contains(1));
    CHECK(load.peerTotal(start + 600ms).at(2).requests == 1);
    CHECK(load.peerTotal(start + 601ms).empty());
    load.updateZone("far", tokensAt(1, 3), start);
    CHECK(load.isZoneUpdatedWithin("far", 50ms, start + 49ms));
    CHECK_FALSE(load.isZoneUpdatedWithin("far", 50ms, start + 50ms));
    CHECK_FALSE(load.isZoneUpdatedWithin("other", 50ms, start));
}

namespace {

/// Seven VMs that send prompts to nine engines; each engine prefills one prompt at a time.
class Fleet
{
public:
    explicit Fleet(bool sharesLoad) : m_sharesLoad(sharesLoad)
    {
        for (Vm &vm : m_vms) {
            for (size_t i = 0; i < engineCount; ++i) {
                const TargetEntry entry{.id = idOf(i),
                                        .service = "writer",
                                        .address = "10.0.0.1:" + std::to_string(i + 1),
                                        .slots = 64,
                                        .startedAtMs = 1,
                                        .weights = {{"m", 1}}};
                vm.selector.update(entry, vm.directory.put(entry), start);
            }
        }
    }

    /// Fraction of requests that waited longer than `bound` for the start of prefill.
    double fractionDelayed(Duration bound, double requestsPerSecond, Duration length)
    {
        std::mt19937_64 random(7);
        std::exponential_distribution<double> gap(requestsPerSecond);
        std::lognormal_distribution<double> tokens(7.2, 1.0);
        size_t late = 0;
        size_t all = 0;
        Instant now = start;
        Instant nextShare = start;
        while (now < start + length) {
            now += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)));
            finishUntil(now);
            if (m_sharesLoad && now >= nextShare) {
                share(now);
                nextShare = now + 50ms;
            }
            const size_t vm = random() % m_vms.size();
            const Duration wait = send(vm, static_cast<uint32_t>(tokens(random)) + 100, now);
            late += wait > bound ? 1 : 0;
            ++all;
        }
        return static_cast<double>(late) / static_cast<double>(all);
    }

private:
    static constexpr size_t engineCount = 9;
    static constexpr double tokensPerMs = 100.0;

    struct Vm
    {
        TargetDirectory directory;
        TargetSelector selector;
    };

    struct Prefill
    {
        size_t vm = 0;
        TargetChoice choice;
        Instant finishedAt;
    };

    static std::string idOf(size_t number) { return "e" + std::to_string(number); }

    Duration send(size_t vm, uint32_t tokens, Instant now)
    {
        const std::array<PromptSegment, 1> segments{{{.id = ++m_lastSegment, .tokens = tokens}}};
        std::optional<TargetChoice> choice = m_vms[vm].selector.choose(m_vms[vm].directory,
                                                                       {.service = "writer",
                                                                        .model = "m",
                                                                        .segments = segments,
                                                                        .newestWeights = 1,
                                                                        .seed = m_lastSegment},
                                                                       now);
        REQUIRE(choice);
        m_vms[vm].selector.sent(*choice, now);
        const size_t engine = static_cast<size_t>(choice->id.back() - '0');
        std::deque<Prefill> &queue = m_queues[engine];
        const Instant begins = queue.empty() ? now : std::max(now, queue.back().finishedAt);
        const Duration prefillTime = std::chrono::duration_cast<Duration>(
                std::chrono::duration<double, std::milli>(tokens / tokensPerMs));
        queue.push_back({.vm = vm, .choice = *choice, .finishedAt = begins + prefillTime});
        return begins - now;
    }

    void finishUntil(Instant now)
    {
        for (std::deque<Prefill> &queue : m_queues) {
            while (!queue.empty() && queue.front().finishedAt <= now) {
                const Prefill &finished = queue.front();
                TargetSelector &selector = m_vms[finished.vm].selector;
                selector.prefillFinished(finished.choice, finished.finishedAt);
                selector.ended(finished.choice, true);
                queue.pop_front();
            }
        }
    }

    void share(Instant now)
    {
        std::vector<InFlightLoadTable> reported;
        for (const Vm &vm : m_vms) {
            reported.push_back(vm.selector.inFlightLoad());
        }
        for (size_t i = 0; i < m_vms.size(); ++i) {
            PeerLoadTracker load;
            for (size_t other = 0; other < m_vms.size(); ++other) {
                if (other != i) {
                    load.updateVm(std::to_string(other), reported[other], now);
                }
            }
            m_vms[i].selector.setPeerLoad(load.peerTotal(now), now);
        }
    }

    bool m_sharesLoad = false;
    std::array<Vm, 7> m_vms;
    std::array<std::deque<Prefill>, engineCount> m_queues;
    uint64_t m_lastSegment = 0;
};

} // namespace

TEST_CASE(
        "load pattern, each VM sends a small fraction: shared load keeps waits within an objective")
{
    // Half of the prefill capacity of nine engines; 99 of 100 requests must meet the objective.
    constexpr double requestsPerSecond = 195.0;
    constexpr Duration objective = 200ms;
    constexpr double allowedFraction = 0.01;
    CHECK(Fleet(true).fractionDelayed(objective, requestsPerSecond, 30s) < allowedFraction);
    // Without shared load the same requests miss the objective, so the check above can fail.
    CHECK(Fleet(false).fractionDelayed(objective, requestsPerSecond, 30s) > allowedFraction);
}

} // namespace teaseldrift
