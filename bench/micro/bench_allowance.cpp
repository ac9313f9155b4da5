/// Measures admission decisions and the time and memory that a VM's allowances take, by number of
/// organisations and of VMs.

#include <cstdint>
#include <malloc.h>
#include <optional>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "teaseldrift/allowance/allowance_manager.hpp"

namespace {

using namespace teaseldrift;
using namespace teaseldrift::allowance;

constexpr MicroTokens cost = 100 * microTokensPerToken;

std::string organisationName(size_t number)
{
    return "organisation-" + std::to_string(number);
}

std::vector<homes::VmView> makeVmList(size_t vms)
{
    std::vector<homes::VmView> list;
    for (size_t i = 0; i < vms; ++i) {
        list.push_back({.id = "vm-" + std::to_string(i),
                        .availabilityZone = "zone-" + std::to_string(i % 25)});
    }
    return list;
}

/// Creates the manager of the only VM on the list. It holds every organisation's whole bucket, so
/// that a decision needs no message.
AllowanceManager makeActiveManager(size_t organisations, Instant &now)
{
    AllowanceManager manager({.vm = "vm-0", .incarnation = 1});
    manager.setVms(makeVmList(1), now);
    for (size_t i = 0; i < organisations; ++i) {
        manager.configure(organisationName(i), limitsFromTokens(1e6, 1e9), now);
    }
    for (int step = 0; step < 3; ++step) {
        now += 1s;
        manager.tick(now);
        Actions actions = manager.takeActions();
        for (const RecordRead &read : actions.reads) {
            manager.onRead(read.organisation, {}, now);
        }
        actions = manager.takeActions();
        for (const RecordWrite &write : actions.writes) {
            manager.onWrite(write.organisation, RecordWriteOutcome::Written, now);
        }
    }
    now += 1000s;
    return manager;
}

/// Measures a decision that the local token level allows.
void admit(benchmark::State &state)
{
    const size_t organisations = static_cast<size_t>(state.range(0));
    Instant now{};
    AllowanceManager manager = makeActiveManager(organisations, now);
    std::vector<std::string> names;
    for (size_t i = 0; i < organisations; ++i) {
        names.push_back(organisationName(i));
    }
    size_t next = 0;
    size_t refused = 0;
    for (auto _ : state) {
        now += 1ms;
        const Decision decision = manager.admit(names[next], cost, now);
        refused += decision.verdict == Verdict::Admitted ? 0 : 1;
        next = next + 1 < organisations ? next + 1 : 0;
    }
    state.counters["refused"] = static_cast<double>(refused);
}
BENCHMARK(admit)->Arg(5)->Arg(50)->Arg(1400);

/// Three homes that exchange messages without delay, and a store in memory.
class Homes
{
public:
    Homes()
    {
        const std::vector<homes::VmView> vms = makeVmList(3);
        for (const homes::VmView &vm : vms) {
            m_managers.emplace_back(
                    ProcessIdentity{.vm = vm.id, .incarnation = m_managers.size() + 1});
            m_managers.back().setVms(vms, m_now);
            m_managers.back().configure("organisation", limitsFromTokens(1e6, 1e7), m_now);
        }
        for (int step = 0; step < 100; ++step) {
            advance(200ms);
        }
    }

    void advance(Duration time)
    {
        m_now += time;
        for (size_t i = 0; i < m_managers.size(); ++i) {
            m_managers[i].tick(m_now);
            exchange(i);
        }
    }

    /// @brief Admits a request that costs more than the home's own share.
    /// @return number of messages sent to gather the tokens
    size_t gather(size_t home)
    {
        m_messages = 0;
        const MicroTokens gatherTokens = 5'000'000 * microTokensPerToken;
        m_managers[home].admit("organisation", gatherTokens, m_now);
        exchange(home);
        return m_messages;
    }

private:
    std::vector<AllowanceManager> m_managers;
    std::optional<schema::DivisionRecord> m_record;
    uint64_t m_revision = 0;
    size_t m_messages = 0;
    Instant m_now{};

    void exchange(size_t from)
    {
        const Actions actions = m_managers[from].takeActions();
        for (const RecordRead &read : actions.reads) {
            m_managers[from].onRead(read.organisation, {.record = m_record, .revision = m_revision},
                                    m_now);
        }
        for (const RecordWrite &write : actions.writes) {
            m_record = write.record;
            ++m_revision;
            m_managers[from].onWrite(write.organisation, RecordWriteOutcome::Written, m_now);
        }
        const std::string sender = "vm-" + std::to_string(from);
        for (const OutgoingMessage &outgoing : actions.messages) {
            ++m_messages;
            const size_t to = std::stoul(outgoing.vm.substr(3));
            m_managers[to].onMessage(sender, outgoing.message, m_now);
            exchange(to);
        }
        if (!actions.reads.empty() || !actions.writes.empty()) {
            exchange(from);
        }
    }
};

/// Measures a decision that needs tokens of the other homes.
void gather(benchmark::State &state)
{
    Homes homes;
    size_t home = 0;
    double messages = 0.0;
    double gathers = 0.0;
    for (auto _ : state) {
        homes.advance(10s);
        messages += static_cast<double>(homes.gather(home));
        gathers += 1.0;
        home = home < 2 ? home + 1 : 0;
    }
    state.counters["messages_per_gather"] = messages / gathers;
}
BENCHMARK(gather);

/// Measures a tick over all organisations, most of which are idle.
void tick(benchmark::State &state)
{
    Instant now{};
    AllowanceManager manager = makeActiveManager(static_cast<size_t>(state.range(0)), now);
    for (auto _ : state) {
        now += 10ms;
        manager.tick(now);
        benchmark::DoNotOptimize(manager.takeActions());
    }
}
BENCHMARK(tick)->Arg(5)->Arg(50)->Arg(1400);

/// Measures the update of all organisations after a change of the platform's VM list.
void list(benchmark::State &state)
{
    Instant now{};
    AllowanceManager manager = makeActiveManager(static_cast<size_t>(state.range(0)), now);
    std::vector<homes::VmView> vms = makeVmList(static_cast<size_t>(state.range(1)));
    for (auto _ : state) {
        now += 1s;
        vms.back().leaving = !vms.back().leaving;
        manager.setVms(vms, now);
    }
}
BENCHMARK(list)
        ->Args({5, 6})
        ->Args({5, 1200})
        ->Args({1400, 6})
        ->Args({1400, 1200})
        ->Unit(benchmark::kMicrosecond);

/// Measures the memory of a manager; `bytes_per_organisation` leaves out the part that does not
/// grow with the number of organisations.
void memory(benchmark::State &state)
{
    const size_t organisations = static_cast<size_t>(state.range(0));
    const std::vector<homes::VmView> vms = makeVmList(static_cast<size_t>(state.range(1)));
    double bytes = 0.0;
    for (auto _ : state) {
        Instant now{};
        AllowanceManager manager({.vm = "vm-0", .incarnation = 1});
        manager.setVms(vms, now);
        const size_t before = mallinfo2().uordblks;
        for (size_t i = 0; i < organisations; ++i) {
            manager.configure(organisationName(i), limitsFromTokens(1e6, 1e9), now);
        }
        bytes = static_cast<double>(mallinfo2().uordblks - before);
    }
    state.counters["bytes_per_organisation"] = bytes / static_cast<double>(organisations);
}
BENCHMARK(memory)->Args({5, 6})->Args({1400, 6})->Args({1400, 1200})->Iterations(3);

} // namespace

BENCHMARK_MAIN();
