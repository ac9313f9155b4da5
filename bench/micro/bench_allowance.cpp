/// Cost of one decision and of a VM's allowances, by number of organisations and of VMs.

#include <cstdint>
#include <malloc.h>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "teaseldrift/allowance/allowance_book.hpp"

namespace {

using namespace teaseldrift;
using namespace teaseldrift::allowance;

constexpr MicroTokens cost = 100 * microTokensPerToken;

std::string organisationName(size_t number)
{
    return "organisation-" + std::to_string(number);
}

std::vector<homes::VmView> fleet(size_t vms)
{
    std::vector<homes::VmView> list;
    for (size_t i = 0; i < vms; ++i) {
        list.push_back({.id = "vm-" + std::to_string(i),
                        .availabilityZone = "zone-" + std::to_string(i % 25)});
    }
    return list;
}

/// Alone on the list, so that it holds whole buckets without any message.
AllowanceBook standingBook(size_t organisations, Instant &now)
{
    AllowanceBook book({.vm = "vm-0", .incarnation = 1});
    book.setVms(fleet(1), now);
    for (size_t i = 0; i < organisations; ++i) {
        book.configure(organisationName(i), limitsFromTokens(1e6, 1e9), now);
    }
    for (int step = 0; step < 3; ++step) {
        now += 1s;
        book.tick(now);
        Actions actions = book.takeActions();
        for (const RecordRead &read : actions.reads) {
            book.onRead(read.organisation, {}, now);
        }
        actions = book.takeActions();
        for (const RecordWrite &write : actions.writes) {
            book.onWrite(write.organisation, RecordWriteOutcome::Written, now);
        }
    }
    now += 1000s;
    return book;
}

/// A decision from the local level.
void admit(benchmark::State &state)
{
    const size_t organisations = static_cast<size_t>(state.range(0));
    Instant now{};
    AllowanceBook book = standingBook(organisations, now);
    std::vector<std::string> names;
    for (size_t i = 0; i < organisations; ++i) {
        names.push_back(organisationName(i));
    }
    size_t next = 0;
    size_t refused = 0;
    for (auto _ : state) {
        now += 1ms;
        const Decision decision = book.admit(names[next], cost, now);
        refused += decision.verdict == Verdict::Admitted ? 0 : 1;
        next = (next + 1) % organisations;
    }
    state.counters["refused"] = static_cast<double>(refused);
}
BENCHMARK(admit)->Arg(5)->Arg(50)->Arg(1400);

/// A tick over all organisations, most of which have nothing to do.
void tick(benchmark::State &state)
{
    Instant now{};
    AllowanceBook book = standingBook(static_cast<size_t>(state.range(0)), now);
    for (auto _ : state) {
        now += 10ms;
        book.tick(now);
        benchmark::DoNotOptimize(book.takeActions());
    }
}
BENCHMARK(tick)->Arg(5)->Arg(50)->Arg(1400);

/// A new view of the platform's list for all organisations.
void list(benchmark::State &state)
{
    Instant now{};
    AllowanceBook book = standingBook(static_cast<size_t>(state.range(0)), now);
    std::vector<homes::VmView> vms = fleet(static_cast<size_t>(state.range(1)));
    for (auto _ : state) {
        now += 1s;
        vms.back().leaving = !vms.back().leaving;
        book.setVms(vms, now);
    }
}
BENCHMARK(list)
        ->Args({5, 6})
        ->Args({5, 1200})
        ->Args({1400, 6})
        ->Args({1400, 1200})
        ->Unit(benchmark::kMicrosecond);

/// Memory of a book: `bytes_per_organisation` is the difference that organisations make.
void memory(benchmark::State &state)
{
    const size_t organisations = static_cast<size_t>(state.range(0));
    const std::vector<homes::VmView> vms = fleet(static_cast<size_t>(state.range(1)));
    double bytes = 0.0;
    for (auto _ : state) {
        Instant now{};
        AllowanceBook book({.vm = "vm-0", .incarnation = 1});
        book.setVms(vms, now);
        const size_t before = mallinfo2().uordblks;
        for (size_t i = 0; i < organisations; ++i) {
            book.configure(organisationName(i), limitsFromTokens(1e6, 1e9), now);
        }
        bytes = static_cast<double>(mallinfo2().uordblks - before);
    }
    state.counters["bytes_per_organisation"] = bytes / static_cast<double>(organisations);
}
BENCHMARK(memory)->Args({5, 6})->Args({1400, 6})->Args({1400, 1200})->Iterations(3);

} // namespace

BENCHMARK_MAIN();
