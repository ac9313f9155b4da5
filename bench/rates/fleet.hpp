#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <string>
#include <vector>

#include "teaseldrift/allowance/tokens.hpp"
#include "teaseldrift/base/time.hpp"

namespace teaseldrift::rates {

using allowance::Limits;
using allowance::MicroTokens;

/// @brief Runs actions in virtual time; actions of the same instant run in the order in which they
/// were added.
class Timeline
{
public:
    [[nodiscard]] Instant now() const { return m_now; }

    void at(Instant when, std::function<void()> event)
    {
        m_events.push({when, m_nextSequence++, std::move(event)});
    }

    void after(Duration delay, std::function<void()> event) { at(m_now + delay, std::move(event)); }

    void run(Instant end)
    {
        while (!m_events.empty() && m_events.top().when <= end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.when;
            event.action();
        }
    }

private:
    struct Event
    {
        Instant when;
        uint64_t sequence;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return when != other.when ? when > other.when : sequence > other.sequence;
        }
    };

    Instant m_now{};
    uint64_t m_nextSequence = 0;
    std::priority_queue<Event> m_events;
};

/// @brief An organisation's limits and traffic.
struct Organisation
{
    std::string name;
    Limits limits;
    /// Tokens used per second, as a fraction of the rate.
    double load = 0.7;
};

/// @brief One request, its cost and its outcome.
struct Request
{
    size_t organisation = 0;
    size_t vm = 0;
    Instant arrival{};
    MicroTokens cost = 0;
    MicroTokens unused = 0;
    Duration length{0};
    bool reached = false;
    bool decided = false;
    bool admitted = false;
    bool admittedIdeally = false;
    /// At its arrival the rate left room for it beside what the policy had admitted before.
    bool fitsRate = false;
    Instant admittedAt{};
};

/// @brief Fleet, traffic and faults of one run.
struct Scenario
{
    std::string name;
    size_t vms = 7;
    size_t zones = 3;
    std::vector<Organisation> organisations;
    Duration length = 300s;
    /// Fraction of the requests that go to the organisation's hot home, which changes every
    /// hotHomePeriod.
    double hotHomeFraction = 0.0;
    Duration hotHomePeriod = 20s;
    /// Fraction of the requests that use a stale entry response and go to any VM.
    double staleEntryFraction = 0.0;
    /// Refusals and admitted tokens count requests that arrive between these times.
    Duration measureFrom = 60s;
    Duration measureTo = 300s;
    /// Time at which a VM crashes, to be replaced under another name; 0 for never.
    Duration loseVmAt{0};
    Duration replaceAfter = 30s;
    Duration listLag = 10s;
    Duration storeDownFrom{0};
    Duration storeDownTo{0};
    /// Time at which one VM restarts, and at which all start to restart within a minute; 0 for
    /// never.
    Duration restartOneAt{0};
    Duration restartAllFrom{0};
    Duration restartTime = 3s;
};

std::vector<Scenario> scenarios();

constexpr Duration crossZoneDelay = 1500us;
constexpr Duration storeDelay = 3ms;
/// Time for which callers use an entry response.
constexpr Duration entryLifetime = 5s;

/// @brief Traffic that a policy needs to coordinate the VMs.
struct Cost
{
    uint64_t messages = 0;
    uint64_t bytes = 0;
    uint64_t storeCalls = 0;
};

/// @brief Simulates VMs and their traffic, and compares a policy's decisions with those of an ideal
/// bucket.
class Fleet
{
public:
    Fleet(Timeline &timeline, const Scenario &scenario);

    Timeline &timeline;
    const Scenario &scenario;
    Cost cost;
    std::vector<Request> requests;
    std::vector<bool> up;
    /// Name of the VM in each slot; a replacement VM gets a new name.
    std::vector<std::string> names;
    /// Whether the VM in each slot is on the platform's list.
    std::vector<bool> listed;
    bool storeDown = false;

    [[nodiscard]] std::string zoneOf(size_t vm) const;
    /// @brief Returns the slots of an organisation's homes among the VMs on the list.
    [[nodiscard]] std::vector<size_t> homesOf(size_t organisation) const;
    [[nodiscard]] Duration delay(size_t from, size_t to) const
    {
        return from % scenario.zones == to % scenario.zones ? Duration(200) : crossZoneDelay;
    }

    void decide(size_t request, bool admitted, Instant at);

    /// @brief Runs the scenario with the given policy.
    template <typename Policy>
    void run(Policy &policy)
    {
        timeline.run(Instant{});
        scheduleFaults([&policy](size_t vm) { policy.crash(vm); },
                       [&policy](size_t vm) { policy.start(vm); },
                       [&policy] { policy.onVmList(); });
        scheduleArrivals([&policy](size_t request) { policy.admit(request); },
                         [&policy](size_t request) { policy.finish(request); });
        timeline.run(Instant{} + scenario.length);
    }

    /// @brief Prints CSV rows `scenario,policy,metric,value,unit` of a finished run.
    void print(const std::string &policy) const;

    /// @brief Share of the measured requests that were refused although the rate left room for them
    /// beside what the policy had admitted before, in percent.
    [[nodiscard]] double refusalsWithinRate() const;

    /// @brief Most tokens over the rate of any organisation, in any window.
    [[nodiscard]] double tokensOverRate() const;

private:
    /// Undivided bucket of an organisation. It is empty at first, as with all policies.
    struct IdealBucket
    {
        MicroTokens level = 0;
        Instant at{};
    };

    std::vector<IdealBucket> m_idealBuckets;
    /// What the rate leaves beside the policy's own admissions.
    std::vector<IdealBucket> m_roomBuckets;
    std::function<void(size_t)> m_finish;

    void refill(IdealBucket &bucket, size_t organisation) const;
    void refund(IdealBucket &bucket, const Request &request) const;
    void arrive(size_t request, const std::function<void(size_t)> &admit);
    [[nodiscard]] bool isMeasured(const Request &request) const;
    size_t selectVm(size_t organisation, Instant when, uint64_t first, double draw) const;
    void scheduleArrivals(const std::function<void(size_t)> &admit,
                          const std::function<void(size_t)> &finish);
    void scheduleFaults(const std::function<void(size_t)> &crash,
                        const std::function<void(size_t)> &start,
                        const std::function<void()> &onVmList);
    [[nodiscard]] MicroTokens tokensOverRate(size_t organisation) const;
};

} // namespace teaseldrift::rates
