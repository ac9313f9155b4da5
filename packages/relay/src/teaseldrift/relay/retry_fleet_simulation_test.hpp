#pragma once

#include <algorithm>
#include <cstdint>
#include <fcntl.h>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "teaseldrift/attempts/request_state_machine.hpp"
#include "teaseldrift/relay/fleet_state.hpp"

namespace teaseldrift::relay::retrysimulation {

/// Length of a step; all windows are counted on this grid.
inline constexpr Duration step = 50ms;

/// Time at which an event happens, in steps, and its duration.
struct Interval
{
    int from = 0;
    int length = 0;

    [[nodiscard]] bool contains(int at) const { return at >= from && at < from + length; }
};

/// A service, its traffic, and when its targets fail.
struct SimulatedService
{
    std::string name;
    double requestsPerSecond = 0.0;
    /// Its requests are resumable streams, which fail after their first event.
    bool streams = false;
    std::vector<Interval> failures;
    /// Traffic outside `busy`, as a fraction.
    double calmFraction = 1.0;
    std::vector<Interval> busy;
};

/// A VM that does not run for a while, and starts with an empty memory.
struct Outage
{
    size_t vm = 0;
    Interval interval;
};

struct Scenario
{
    size_t vms = 7;
    double ratio = 0.2;
    double slack = 54.0;
    Duration window = 10s;
    int steps = 1200;
    std::vector<SimulatedService> services;
    std::vector<Outage> outages;
    /// VM records are missing from the store, as after leases have expired.
    std::vector<Interval> recordsLost;
    /// VMs cannot read the store.
    std::vector<Interval> storeDown;
    uint64_t seed = 1;
};

/// A window of a service in which the retries exceed those that the rule allows.
struct Excess
{
    std::string service;
    int from = 0;
    double retries = 0.0;
    double allowed = 0.0;
};

/// @brief Several VMs that send requests to failing services, and the rule's count of retries.
///
/// Every failed attempt is retried as often as the request's limits and its budget allow.
class FleetSimulation
{
public:
    explicit FleetSimulation(Scenario scenario)
        : m_scenario(std::move(scenario)),
          m_log({.descriptor = ::open("/dev/null", O_WRONLY | O_CLOEXEC)}),
          m_random(m_scenario.seed), m_vms(m_scenario.vms),
          m_requests(m_scenario.services.size(), std::vector<int>(stepCount())),
          m_retries(m_scenario.services.size(), std::vector<int>(stepCount()))
    { }

    void run()
    {
        for (int at = 0; at < m_scenario.steps; ++at) {
            for (size_t vm = 0; vm < m_vms.size(); ++vm) {
                runVm(vm, at);
            }
            for (size_t service = 0; service < m_scenario.services.size(); ++service) {
                sendRequests(service, at);
            }
        }
    }

    /// The window with the largest excess over the rule; empty if every window keeps it.
    [[nodiscard]] std::optional<Excess> worstExcess() const
    {
        std::optional<Excess> worst;
        const int window = static_cast<int>(m_scenario.window / step);
        for (size_t service = 0; service < m_scenario.services.size(); ++service) {
            for (int from = 0; from + window <= m_scenario.steps; ++from) {
                const int requests = std::max({sum(m_requests[service], from, window),
                                               sum(m_requests[service], from - window / 2, window),
                                               sum(m_requests[service], from - window, window)});
                const double retries = sum(m_retries[service], from, window);
                const double allowed = m_scenario.ratio * requests + m_scenario.slack;
                if (retries > allowed
                    && (!worst || retries - allowed > worst->retries - worst->allowed)) {
                    worst = Excess{.service = m_scenario.services[service].name,
                                   .from = from,
                                   .retries = retries,
                                   .allowed = allowed};
                }
            }
        }
        return worst;
    }

    /// Retries at a service from one step to another.
    [[nodiscard]] int retries(size_t service, int from, int length) const
    {
        return sum(m_retries[service], from, length);
    }

private:
    struct Vm
    {
        std::unique_ptr<FleetState> fleet;
        int startedAt = 0;
    };

    [[nodiscard]] size_t stepCount() const { return static_cast<size_t>(m_scenario.steps); }

    [[nodiscard]] static Instant timeOf(int at) { return Instant(100s + at * step); }

    [[nodiscard]] static int sum(const std::vector<int> &counts, int from, int length)
    {
        int total = 0;
        const int end = std::min(static_cast<int>(counts.size()), from + length);
        for (int at = std::max(0, from); at < end; ++at) {
            total += counts[static_cast<size_t>(at)];
        }
        return total;
    }

    [[nodiscard]] static std::string idOf(size_t vm) { return "vm-" + std::to_string(vm); }

    [[nodiscard]] bool isDown(size_t vm, int at) const
    {
        return std::any_of(
                m_scenario.outages.begin(), m_scenario.outages.end(), [&](const Outage &outage) {
                    return outage.vm % m_vms.size() == vm && outage.interval.contains(at);
                });
    }

    /// Records of VMs in the store: those of VMs that run or whose lease has not expired yet.
    [[nodiscard]] std::map<std::string, schema::VmRecord, std::less<>> records(int at) const
    {
        constexpr int lease = 80;
        std::map<std::string, schema::VmRecord, std::less<>> records;
        if (std::any_of(m_scenario.recordsLost.begin(), m_scenario.recordsLost.end(),
                        [at](const Interval &interval) { return interval.contains(at); })) {
            return records;
        }
        for (size_t vm = 0; vm < m_vms.size(); ++vm) {
            bool isLive = false;
            for (int before = 0; before <= lease && !isLive; before += lease / 4) {
                isLive = at >= before && !isDown(vm, at - before);
            }
            if (isLive) {
                records[idOf(vm)].set_vm_id(idOf(vm));
            }
        }
        return records;
    }

    [[nodiscard]] FleetDefinition definition() const
    {
        FleetDefinition definition{.version = 1};
        for (const SimulatedService &service : m_scenario.services) {
            definition.services.push_back({.name = service.name});
            definition.routes.push_back(
                    {.name = service.name,
                     .host = service.name,
                     .prefix = "/",
                     .kind = service.streams ? RouteKind::ResumableStream : RouteKind::Idempotent,
                     .services = {{.service = service.name}}});
        }
        return definition;
    }

    void runVm(size_t number, int at)
    {
        Vm &vm = m_vms[number];
        if (isDown(number, at)) {
            vm.fleet.reset();
            return;
        }
        constexpr int tickInterval = 2;
        constexpr int readInterval = 20;
        constexpr int firstRead = 4;
        if (!vm.fleet) {
            vm.startedAt = at;
            vm.fleet = std::make_unique<FleetState>(
                    FleetOptions{.vmId = idOf(number),
                                 .retryLimits = {.ratio = m_scenario.ratio,
                                                 .slack = m_scenario.slack,
                                                 .window = m_scenario.window}},
                    m_log, timeOf(at));
            vm.fleet->applyDefinition(definition(), {}, timeOf(at));
        }
        const bool isStoreDown
                = std::any_of(m_scenario.storeDown.begin(), m_scenario.storeDown.end(),
                              [at](const Interval &interval) { return interval.contains(at); });
        if ((at - vm.startedAt) % readInterval == firstRead && !isStoreDown) {
            vm.fleet->applyVms(records(at), timeOf(at), timeOf(at));
        }
        if ((at - vm.startedAt) % tickInterval == 0) {
            vm.fleet->tick(timeOf(at));
        }
    }

    void sendRequests(size_t number, int at)
    {
        const SimulatedService &service = m_scenario.services[number];
        const auto contains = [at](const Interval &interval) { return interval.contains(at); };
        const bool isBusy = service.busy.empty()
                            || std::any_of(service.busy.begin(), service.busy.end(), contains);
        const bool fails = std::any_of(service.failures.begin(), service.failures.end(), contains);
        const double expected = service.requestsPerSecond * toSeconds(step)
                                * (isBusy ? 1.0 : service.calmFraction);
        std::poisson_distribution<int> arrivals(std::max(expected, 1e-9));
        std::uniform_int_distribution<size_t> anyVm(0, m_vms.size() - 1);
        for (int left = arrivals(m_random); left > 0; --left) {
            Vm &vm = m_vms[anyVm(m_random)];
            if (vm.fleet) {
                ++m_requests[number][static_cast<size_t>(at)];
                sendRequest(vm, number, at, fails);
            }
        }
    }

    void sendRequest(Vm &vm, size_t number, int at, bool fails)
    {
        const SimulatedService &service = m_scenario.services[number];
        const Instant now = timeOf(at);
        const std::shared_ptr<RetryBudget> budget = vm.fleet->retryBudget(service.name, now);
        RequestStateMachine machine(
                {.routeClass = service.streams ? schema::GENERATION : schema::IDEMPOTENT,
                 .responseMode = service.streams ? ResponseMode::Streamed : ResponseMode::Buffered,
                 .maxAttempts = 5,
                 .targetsResume = false},
                *budget);
        RequestActions actions = machine.start(now);
        while (const StartAttempt *attempt = nextAttempt(actions)) {
            const AttemptId id = attempt->id;
            if (id > 1) {
                ++m_retries[number][static_cast<size_t>(at)];
            }
            machine.targetSelected(id, "target-" + std::to_string(id), now);
            machine.sendStarted(id, now);
            if (!fails) {
                return;
            }
            if (service.streams && machine.deliveredPositions() == 0) {
                machine.responseHeadReceived(id, {}, now);
                machine.eventsReceived(id, {.first = 0, .count = 1}, now);
                actions = machine.attemptFailed(id, now);
            } else {
                actions = machine.responseHeadReceived(id, {.status = 503, .reportsNotRun = true},
                                                       now);
            }
        }
    }

    [[nodiscard]] static const StartAttempt *nextAttempt(const RequestActions &actions)
    {
        for (const RequestAction &action : actions) {
            if (const StartAttempt *start = std::get_if<StartAttempt>(&action)) {
                return start;
            }
        }
        return nullptr;
    }

    Scenario m_scenario;
    telemetry::EventLog m_log;
    std::mt19937_64 m_random;
    std::vector<Vm> m_vms;
    std::vector<std::vector<int>> m_requests;
    std::vector<std::vector<int>> m_retries;
};

} // namespace teaseldrift::relay::retrysimulation
