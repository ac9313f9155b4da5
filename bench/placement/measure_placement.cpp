/// Compares routing policies on a model of engines and prints CSV rows of
/// scenario,policy,metric,value,unit.

#include <atomic>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "oracle_policy.hpp"
#include "simulation.hpp"
#include "teaseldrift/placement/baselines.hpp"

namespace teaseldrift::bench {

namespace {

/// Requests in flight per slot from which every queueing policy considers a target full.
constexpr double inFlightPerSlot = 1.0;
constexpr unsigned workers = 4;

using Engines = std::span<const std::unique_ptr<EngineModel>>;

struct Run
{
    const Site &site;
    const Scenario &scenario;
    std::span<const ModelRequest> requests;
};

struct NamedPolicy
{
    std::string name;
    std::function<std::string(const Run &)> rows;
};

placement::BaselineOptions baselineOptions(const Site &site, bool queueing)
{
    placement::BaselineOptions options{.prefillTokensPerSecond = site.prefillTokensPerSecond};
    if (queueing) {
        options.inFlightPerSlot = inFlightPerSlot;
    }
    return options;
}

template <placement::RoutingPolicy Policy>
NamedPolicy baseline(const std::string &name, bool queueing)
{
    const std::string label = queueing ? name + "+queue" : name;
    return {label, [label, queueing](const Run &run) {
                Simulation<Policy> simulation(
                        run.site, run.scenario, run.requests, queueing,
                        [&run, queueing](uint32_t /*router*/, Engines /*engines*/) {
                            return Policy(baselineOptions(run.site, queueing));
                        });
                return simulation.run().rows(label);
            }};
}

placement::CacheAwareOptions cacheAwareOptions(const Site &site, uint32_t router, bool imports)
{
    return {
            .availabilityZone = "zone-" + std::to_string(router % site.zones),
            .blockTokens = site.blockTokens,
            .trafficShare = 1.0 / site.routers,
            .prefillTokensPerSecond = site.prefillTokensPerSecond,
            .crossZoneRoundTrip = 2 * site.crossZoneDelay,
            .inFlightPerSlot = inFlightPerSlot,
            .importTokensPerSecond = imports ? importTokensPerSecond : 0.0,
            .importOverhead = importOverhead,
            .index = {.capacityBlocks = 1U << 15U},
    };
}

NamedPolicy teaseldriftPolicy(const std::string &name, bool imports)
{
    return {name, [name, imports](const Run &run) {
                Simulation<placement::CacheAwarePolicy> simulation(
                        run.site, run.scenario, run.requests, true,
                        [&run, imports](uint32_t router, Engines /*engines*/) {
                            return placement::CacheAwarePolicy(
                                    cacheAwareOptions(run.site, router, imports));
                        });
                return simulation.run().rows(name);
            }};
}

NamedPolicy oraclePolicy()
{
    return {"oracle", [](const Run &run) {
                Simulation<OraclePolicy> simulation(run.site, run.scenario, run.requests, true,
                                                    [](uint32_t /*router*/, Engines engines) {
                                                        return OraclePolicy(engines,
                                                                            inFlightPerSlot);
                                                    });
                return simulation.run().rows("oracle");
            }};
}

std::vector<NamedPolicy> allPolicies()
{
    std::vector<NamedPolicy> policies;
    for (const bool queueing : {false, true}) {
        policies.push_back(baseline<placement::RoundRobinPolicy>("round_robin", queueing));
        policies.push_back(baseline<placement::LeastLoadedPolicy>("least_loaded", queueing));
        policies.push_back(baseline<placement::FirstBlockHashPolicy>("consistent_hash", queueing));
        policies.push_back(baseline<placement::LongestMatchPolicy>("longest_match", queueing));
    }
    policies.push_back(teaseldriftPolicy("teaseldrift", true));
    policies.push_back(teaseldriftPolicy("teaseldrift-no-import", false));
    policies.push_back(oraclePolicy());
    return policies;
}

struct Task
{
    const Run *run;
    const NamedPolicy *policy;
    std::string rows;
};

void runAll(std::vector<Task> &tasks)
{
    std::atomic<size_t> next = 0;
    std::vector<std::jthread> threads;
    for (unsigned worker = 0; worker < workers; ++worker) {
        threads.emplace_back([&tasks, &next] {
            for (size_t task = next++; task < tasks.size(); task = next++) {
                tasks[task].rows = tasks[task].policy->rows(*tasks[task].run);
            }
        });
    }
}

} // namespace

} // namespace teaseldrift::bench

int main()
{
    using namespace teaseldrift::bench;
    const std::vector<Site> sites{kinlochAndBaird(), cropAcreage()};
    const std::vector<Scenario> scenarios = allScenarios();
    const std::vector<NamedPolicy> policies = allPolicies();
    std::vector<std::vector<ModelRequest>> workloads;
    std::vector<Run> runs;
    workloads.reserve(sites.size() * scenarios.size());
    for (const Site &site : sites) {
        for (const Scenario &scenario : scenarios) {
            workloads.push_back(makeWorkload(site, workloadOf(scenario)));
            runs.push_back({site, scenario, workloads.back()});
        }
    }
    std::vector<Task> tasks;
    for (const Run &run : runs) {
        for (const NamedPolicy &policy : policies) {
            tasks.push_back({&run, &policy, {}});
        }
    }
    runAll(tasks);
    for (const Task &task : tasks) {
        std::cout << task.rows;
    }
    return 0;
}
