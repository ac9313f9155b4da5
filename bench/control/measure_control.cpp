/// Measures store calls, messages and bytes between VMs, and times until changes are accepted, by
/// number of VMs.

#include <algorithm>
#include <array>
#include <iostream>
#include <string>
#include <vector>

#include "sync_fixture.hpp"

namespace {

using namespace teaseldrift;
using teaseldrift::testing::SyncFixture;
using teaseldrift::testing::SyncVm;
using teaseldrift::testing::Traffic;

constexpr uint64_t seed = 20261203;
constexpr Duration settlingTime = 5s;
constexpr Duration measuredTime = 60s;
constexpr Duration step = 50ms;

struct Policy
{
    std::string name;
    SyncOptions options;
};

/// Traffic and times of one run.
struct RunResult
{
    Traffic traffic;
    Duration length{};
    /// Time without a current configuration, summed over all VMs.
    Duration notCurrent{};
    std::vector<Duration> acceptTimes;
};

void print(const std::string &scenario, const Policy &policy, const char *metric, double value,
           const char *unit)
{
    std::cout << scenario << "," << policy.name << "," << metric << "," << value << "," << unit
              << "\n";
}

void report(const std::string &scenario, const Policy &policy, size_t vms, RunResult run)
{
    constexpr double millisecondsPerSecond = 1000.0;
    const double seconds = toSeconds(run.length);
    const double vmSeconds = seconds * static_cast<double>(vms);
    const Traffic &traffic = run.traffic;
    print(scenario, policy, "store_calls", static_cast<double>(traffic.storeCalls) / seconds,
          "1/s");
    print(scenario, policy, "messages_per_vm", static_cast<double>(traffic.messages) / vmSeconds,
          "1/s");
    print(scenario, policy, "bytes_per_vm", static_cast<double>(traffic.bytes) / vmSeconds, "B/s");
    print(scenario, policy, "not_current_share", toSeconds(run.notCurrent) / vmSeconds, "1");
    if (!run.acceptTimes.empty()) {
        std::sort(run.acceptTimes.begin(), run.acceptTimes.end());
        const Duration median = run.acceptTimes[run.acceptTimes.size() / 2];
        print(scenario, policy, "accept_p50", toSeconds(median) * millisecondsPerSecond, "ms");
        print(scenario, policy, "accept_max",
              toSeconds(run.acceptTimes.back()) * millisecondsPerSecond, "ms");
    }
}

/// Runs the fleet for `length` and calls `beforeStep` before each step.
template <typename BeforeStep>
RunResult measure(SyncFixture &fleet, Duration length, BeforeStep beforeStep)
{
    fleet.traffic = {};
    RunResult run{.length = length};
    for (Duration passed{}; passed < length; passed += step) {
        beforeStep(passed);
        fleet.run(step);
        for (const SyncVm &vm : fleet.vms) {
            run.notCurrent += vm.sync->isCurrent(fleet.now()) ? Duration::zero() : step;
        }
    }
    run.traffic = fleet.traffic;
    for (const testing::PendingChange &change : fleet.changes) {
        if (change.acceptedAt.has_value()) {
            run.acceptTimes.push_back(*change.acceptedAt - change.writtenAt);
        }
    }
    return run;
}

bool isFullSecond(Duration passed)
{
    return passed % 1s == Duration::zero();
}

void measureSize(const Policy &policy, size_t vms)
{
    const std::string suffix = "-" + std::to_string(vms) + "vms";
    const auto start = [&policy, vms] {
        std::unique_ptr<SyncFixture> fleet
                = std::make_unique<SyncFixture>(vms, seed, policy.options);
        fleet->run(settlingTime);
        return fleet;
    };
    const std::unique_ptr<SyncFixture> idle = start();
    report("control-rest" + suffix, policy, vms, measure(*idle, measuredTime, [](Duration) {}));

    const std::unique_ptr<SyncFixture> changing = start();
    report("control-change-each-second" + suffix, policy, vms,
           measure(*changing, measuredTime, [&changing](Duration passed) {
               if (isFullSecond(passed) && passed + 1s < measuredTime) {
                   changing->change("organisation/a", false);
               }
           }));

    const std::unique_ptr<SyncFixture> restarting = start();
    report("control-all-restart" + suffix, policy, vms,
           measure(*restarting, settlingTime, [&restarting, vms](Duration passed) {
               for (size_t i = 0; passed == Duration::zero() && i < vms; ++i) {
                   restarting->restart(i);
               }
           }));

    const std::unique_ptr<SyncFixture> storeless = start();
    storeless->storeDown = true;
    report("control-store-down" + suffix, policy, vms,
           measure(*storeless, measuredTime, [](Duration) {}));

    const std::unique_ptr<SyncFixture> isolated = start();
    report("control-one-vm-cut-off" + suffix, policy, vms,
           measure(*isolated, settlingTime + settlingTime, [&isolated](Duration passed) {
               isolated->vms.back().isIsolated = true;
               if (passed == 1s) {
                   isolated->change("organisation/a", false);
               }
           }));
}

} // namespace

int main()
{
    constexpr std::array<size_t, 5> sizes{6, 7, 12, 24, 133};
    for (const size_t vms : sizes) {
        measureSize({.name = "teaseldrift"}, vms);
        // Every VM is a reader: it watches the store and confirms with it.
        measureSize({.name = "all-read-store", .options = {.readerCount = vms}}, vms);
    }
    return 0;
}
