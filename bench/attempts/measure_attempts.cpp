/// Measures the outcomes of requests to crashing, overloaded and stalled targets in virtual time.

#include <algorithm>
#include <cmath>
#include <functional>
#include <iomanip>
#include <iostream>
#include <string_view>

#include "clients.hpp"

namespace teaseldrift::bench {

namespace {

constexpr uint64_t seed = 20261203;
constexpr Duration arrivalTime = 60s;
constexpr Duration drainTime = 30s;
constexpr uint32_t streamTokens = 20;

/// Rate of requests, properties of the targets and the faults injected into them.
struct Scenario
{
    std::string_view name;
    double requestsPerSecond = 0;
    TargetOptions targets;
    /// Called once per second of virtual time.
    std::function<void(FakeTargets &, uint32_t second)> injectFaults;
};

struct Totals
{
    double complete = 0;
    double attempts = 0;
    double duplicateRuns = 0;
    double falselyReportedNotRun = 0;
    double streams = 0;
    double completeStreams = 0;
    std::vector<double> completionMs;
};

std::vector<Request> makeRequests(const Scenario &scenario, std::mt19937_64 &random)
{
    std::exponential_distribution<double> gap(scenario.requestsPerSecond);
    std::discrete_distribution<int> kind({0.3, 0.2, 0.5});
    std::vector<Request> requests;
    double seconds = gap(random);
    while (seconds < toSeconds(arrivalTime)) {
        Request request{.index = requests.size()};
        request.routeClass = static_cast<schema::RouteClass>(kind(random));
        request.tokens = request.routeClass == schema::GENERATION ? streamTokens : 1;
        request.started = Instant(Duration(static_cast<Duration::rep>(seconds * 1e6)));
        requests.push_back(request);
        seconds += gap(random);
    }
    return requests;
}

Totals computeTotals(const std::vector<Request> &requests)
{
    Totals totals;
    for (const Request &request : requests) {
        totals.complete += request.isComplete ? 1 : 0;
        totals.attempts += request.attempts;
        const bool isNonIdempotent = request.routeClass == schema::NON_IDEMPOTENT;
        totals.duplicateRuns += isNonIdempotent && request.runs > 1 ? 1 : 0;
        totals.falselyReportedNotRun += request.reportedNotRun && request.runs > 0 ? 1 : 0;
        const bool isStream = request.routeClass == schema::GENERATION;
        totals.streams += isStream ? 1 : 0;
        totals.completeStreams += isStream && request.isComplete ? 1 : 0;
        if (request.isComplete) {
            totals.completionMs.push_back(toSeconds(request.ended - request.started) * 1e3);
        }
    }
    std::sort(totals.completionMs.begin(), totals.completionMs.end());
    return totals;
}

void print(std::string_view scenario, std::string_view policy, const std::vector<Request> &requests)
{
    const Totals totals = computeTotals(requests);
    const double count = static_cast<double>(requests.size());
    const auto row = [&](std::string_view metric, double value, std::string_view unit) {
        std::cout << scenario << ',' << policy << ',' << metric << ',' << std::fixed
                  << std::setprecision(4) << value << ',' << unit << '\n';
    };
    row("completed_fraction", totals.complete / count, "1");
    row("whole_streams_fraction", totals.completeStreams / totals.streams, "1");
    row("amplification", totals.attempts / count, "attempts/request");
    row("doubled_non_idempotent_runs", totals.duplicateRuns, "requests");
    row("wrongly_said_not_run", totals.falselyReportedNotRun, "requests");
    const double rank = std::ceil(0.99 * static_cast<double>(totals.completionMs.size()));
    const double p99 = rank < 1 ? 0 : totals.completionMs[static_cast<size_t>(rank) - 1];
    row("p99_completion_ms", p99, "ms");
}

template <typename Client, typename... Arguments>
void measure(const Scenario &scenario, std::string_view policy, Arguments... arguments)
{
    std::mt19937_64 random(seed);
    std::vector<Request> requests = makeRequests(scenario, random);
    Timeline timeline;
    std::unique_ptr<Client> client;
    FakeTargets targets(timeline, scenario.targets,
                        [&client](Request &request, AttemptId id, TargetEvent event) {
                            client->onEvent(request, id, event);
                        });
    client = std::make_unique<Client>(
            ClientContext{.timeline = timeline, .targets = targets, .random = random},
            arguments...);
    for (Request &request : requests) {
        timeline.at(request.started, [&client, &request] { client->start(request); });
    }
    for (uint32_t second = 0; second < toSeconds(arrivalTime); ++second) {
        timeline.at(Instant(std::chrono::seconds(second)),
                    [&scenario, &targets, second] { scenario.injectFaults(targets, second); });
    }
    timeline.runUntil(Instant(arrivalTime + drainTime));
    print(scenario.name, policy, requests);
}

void run(const Scenario &scenario)
{
    constexpr uint32_t naiveAttempts = 3;
    measure<FixedAttemptsClient>(scenario, "no-retry", 1U);
    measure<FixedAttemptsClient>(scenario, "naive-retry", naiveAttempts);
    measure<StateMachineClient>(scenario, "teaseldrift");
}

} // namespace

} // namespace teaseldrift::bench

int main()
{
    using namespace teaseldrift;
    using namespace teaseldrift::bench;
    const std::vector<Scenario> scenarios{
            {.name = "attempts-target-crash",
             .requestsPerSecond = 80,
             .injectFaults =
                     [](FakeTargets &targets, uint32_t second) {
                         if (second % 5 == 1) {
                             targets.crash((second / 5) % targets.count(), 3s);
                         }
                     }},
            {.name = "attempts-overload-retries",
             .requestsPerSecond = 320,
             .targets = {.queue = 120},
             .injectFaults = [](FakeTargets & /*targets*/, uint32_t /*second*/) {}},
            {.name = "attempts-silent-target",
             .requestsPerSecond = 80,
             .injectFaults =
                     [](FakeTargets &targets, uint32_t second) {
                         if (second % 20 == 5) {
                             targets.stall((second / 20) % targets.count(), 8s);
                         }
                     }},
    };
    for (const Scenario &scenario : scenarios) {
        run(scenario);
    }
    return 0;
}
