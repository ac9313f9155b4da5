/// Brittle targets behind a fleet, simulated without network: how often they fall over, and how
/// much of what they can serve is used.

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "teaseldrift/usage/concurrency_limiter.hpp"

namespace teaseldrift {

namespace {

/// VMs that send requests to the targets of one service, each of which has an owner of its limit.
class BrittleFleet
{
public:
    struct Options
    {
        size_t vms = 7;
        size_t targets = 3;
        uint32_t slots = 6;
        size_t queue = 24;
        /// Refusals within a second that a target bears.
        size_t refusals = 6;
        double requestsPerSecond = 232.0;
        Duration work = 30ms;
        bool usesPermits = true;
        /// Fraction of the requests that arrive at the first VM; the others share the rest.
        double skew = 0.0;
    };

    explicit BrittleFleet(Options options) : m_options(options)
    {
        for (size_t index = 0; index < options.targets; ++index) {
            m_targets.emplace_back();
            replaceOwner(index);
        }
        // VMs learn at different times that the service is brittle.
        for (size_t vm = 0; vm < options.vms; ++vm) {
            m_learnsAt.push_back(m_now + uniform(30ms, 600ms));
        }
        scheduleArrival();
    }

    void run(Duration duration)
    {
        const Instant end = m_now + duration;
        while (!m_events.empty() && m_events.top().at <= end) {
            const std::function<void()> action = m_events.top().action;
            m_now = m_events.top().at;
            m_events.pop();
            action();
        }
        m_now = end;
    }

    void setLoad(double factor) { m_load = factor; }
    /// Fewer requests may wait at each target.
    void shrinkQueues(size_t queue) { m_options.queue = queue; }
    /// The owner of a target's limit is lost; after a time without one, another has no history.
    void loseOwner(size_t target, Duration gap)
    {
        m_targets[target].ownerFrom = m_now + gap;
        replaceOwner(target);
    }
    /// The target falls, is back after 2 s, and is another incarnation.
    void crash(size_t index) { fall(index); }

    [[nodiscard]] size_t refusals() const { return m_refusals; }
    [[nodiscard]] size_t falls() const { return m_falls; }
    [[nodiscard]] size_t sent() const { return m_sent; }
    [[nodiscard]] size_t served() const { return m_served; }
    /// What the targets that are up could have served since the last call.
    double takeCapacity()
    {
        // The mean of the log-normal work is above its median.
        const double mean = toSeconds(m_options.work) * std::exp(workSpread * workSpread / 2);
        const double up = toSeconds(m_now - m_countedFrom) * static_cast<double>(m_options.targets)
                          - toSeconds(std::exchange(m_downTime, Duration(0)));
        m_countedFrom = m_now;
        return up * m_options.slots / mean;
    }

private:
    static constexpr double workSpread = 0.5;

    struct Event
    {
        Instant at;
        uint64_t number;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::pair(other.at, other.number) < std::pair(at, number);
        }
    };

    struct Request
    {
        size_t vm = 0;
        uint64_t id = 0;
        std::vector<size_t> order;
        size_t next = 0;
        bool waits = false;
    };

    struct Target
    {
        uint64_t incarnation = 0;
        bool isUp = true;
        uint32_t running = 0;
        std::deque<std::function<void()>> waiting;
        std::deque<Instant> refusals;
        std::unique_ptr<ConcurrencyLimiter> owner;
        uint64_t ownership = 0;
        Instant ownerFrom;
        std::map<uint64_t, std::function<void(bool)>> waitingQueries;
    };

    Duration uniform(Duration from, Duration to)
    {
        return Duration(
                std::uniform_int_distribution<Duration::rep>(from.count(), to.count())(m_random));
    }

    /// One way between two VMs, or a VM and a target.
    Duration transit() { return uniform(1ms, 3ms); }

    void after(Duration delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, ++m_lastEvent, std::move(action)});
    }

    void scheduleArrival()
    {
        const double rate = m_options.requestsPerSecond * m_load;
        const std::chrono::duration<double> gap(
                std::exponential_distribution<double>(rate)(m_random));
        after(std::chrono::duration_cast<Duration>(gap), [this] {
            scheduleArrival();
            const bool isFirst = std::bernoulli_distribution(m_options.skew)(m_random);
            Request request{.vm = isFirst ? 0 : m_random() % m_options.vms, .id = ++m_lastId};
            for (size_t index = 0; index < m_options.targets; ++index) {
                request.order.push_back(index);
            }
            std::shuffle(request.order.begin(), request.order.end(), m_random);
            constexpr size_t tried = 3;
            request.order.resize(std::min(tried, request.order.size()));
            ++m_sent;
            start(request);
        });
    }

    void replaceOwner(size_t index)
    {
        Target &target = m_targets[index];
        for (const std::pair<const uint64_t, std::function<void(bool)>> &query :
             std::exchange(target.waitingQueries, {})) {
            query.second(false);
        }
        ++target.ownership;
        target.owner = std::make_unique<ConcurrencyLimiter>(ConcurrencyLimiterOptions{
                .slots = m_options.slots,
                .bearableRefusals = static_cast<double>(m_options.refusals)});
    }

    void start(Request request)
    {
        const bool isAware = m_options.usesPermits && m_now >= m_learnsAt[request.vm];
        if (!isAware) {
            const size_t target = request.order.front();
            after(transit(), [this, target, request] { arrive(target, request.id, false); });
            return;
        }
        if (request.next == request.order.size()) {
            if (request.waits) {
                return;
            }
            // No target has room at once: waits at the one that was asked first.
            request.waits = true;
            request.next = 0;
            request.order.resize(1);
        }
        const size_t target = request.order[request.next++];
        after(transit(), [this, target, request] { query(target, request); });
    }

    void query(size_t index, const Request &request)
    {
        Target &target = m_targets[index];
        const std::function<void(bool)> decide = [this, index, request](bool isGranted) {
            after(transit(), [this, index, request, isGranted] {
                if (isGranted) {
                    after(transit(), [this, index, request] { arrive(index, request.id, true); });
                } else {
                    start(request);
                }
            });
        };
        if (m_now < target.ownerFrom) {
            decide(false);
            return;
        }
        constexpr Duration longestWait = 100ms;
        const ConcurrencyVerdict verdict
                = target.owner->acquire({.id = request.id,
                                         .maxWait = request.waits ? longestWait : Duration(0),
                                         .term = 2500ms},
                                        m_now);
        if (verdict.outcome != ConcurrencyOutcome::Waiting) {
            decide(verdict.outcome == ConcurrencyOutcome::Granted);
            return;
        }
        target.waitingQueries.emplace(request.id, decide);
        after(longestWait, [this, index] { takeDecisions(index); });
    }

    void takeDecisions(size_t index)
    {
        Target &target = m_targets[index];
        for (const std::pair<uint64_t, ConcurrencyVerdict> &decision :
             target.owner->takeDecisions(m_now)) {
            const std::function<void(bool)> decide = target.waitingQueries.at(decision.first);
            target.waitingQueries.erase(decision.first);
            decide(decision.second.outcome == ConcurrencyOutcome::Granted);
        }
    }

    void release(size_t index, uint64_t id, ConcurrencyFeedback feedback)
    {
        after(2 * transit(), [this, index, id, feedback] {
            m_targets[index].owner->release(id, feedback, m_now);
            takeDecisions(index);
        });
    }

    void arrive(size_t index, uint64_t id, bool hasPermit)
    {
        Target &target = m_targets[index];
        const auto feedback = [&target](bool wasRefused) {
            return ConcurrencyFeedback{.wasRefused = wasRefused,
                                       .running = target.running,
                                       .waiting = static_cast<uint32_t>(target.waiting.size())};
        };
        if (!target.isUp) {
            if (hasPermit) {
                release(index, id, {});
            }
            return;
        }
        if (target.running >= m_options.slots && target.waiting.size() >= m_options.queue) {
            if (hasPermit) {
                release(index, id, feedback(true));
            }
            refuse(index);
            return;
        }
        const uint64_t incarnation = target.incarnation;
        const std::function<void()> work = [this, index, id, hasPermit, incarnation, feedback] {
            ++m_targets[index].running;
            const double factor = std::lognormal_distribution<double>(0.0, workSpread)(m_random);
            const Duration time(static_cast<Duration::rep>(
                    static_cast<double>(m_options.work.count()) * factor));
            after(time, [this, index, id, hasPermit, incarnation, feedback] {
                Target &worker = m_targets[index];
                if (worker.incarnation != incarnation) {
                    return;
                }
                ++m_served;
                if (hasPermit) {
                    release(index, id, feedback(false));
                }
                --worker.running;
                if (!worker.waiting.empty()) {
                    const std::function<void()> next = worker.waiting.front();
                    worker.waiting.pop_front();
                    next();
                }
            });
        };
        if (target.running < m_options.slots) {
            work();
        } else {
            target.waiting.push_back(work);
        }
    }

    void refuse(size_t index)
    {
        ++m_refusals;
        Target &target = m_targets[index];
        target.refusals.push_back(m_now);
        while (target.refusals.front() + 1s <= m_now) {
            target.refusals.pop_front();
        }
        if (target.refusals.size() > m_options.refusals) {
            ++m_falls;
            fall(index);
        }
    }

    void fall(size_t index)
    {
        constexpr Duration downTime = 2s;
        Target &target = m_targets[index];
        ++target.incarnation;
        target.isUp = false;
        target.running = 0;
        target.waiting.clear();
        target.refusals.clear();
        m_downTime += downTime;
        after(downTime, [this, index] {
            m_targets[index].isUp = true;
            // The limit of another incarnation has another owner.
            replaceOwner(index);
        });
    }

    Options m_options;
    Instant m_now{1000s};
    Instant m_countedFrom{1000s};
    double m_load = 1.0;
    std::mt19937_64 m_random{7};
    std::priority_queue<Event> m_events;
    uint64_t m_lastEvent = 0;
    uint64_t m_lastId = 0;
    std::vector<Target> m_targets;
    std::vector<Instant> m_learnsAt;
    size_t m_refusals = 0;
    size_t m_falls = 0;
    size_t m_sent = 0;
    size_t m_served = 0;
    Duration m_downTime{0};
};

} // namespace

// Shows the fault that the limits guard against: a simulation in which nothing falls proves
// nothing.
TEST_CASE("brittle fleet: without permits, targets near their capacity fall over again and again")
{
    BrittleFleet fleet({.vms = 7, .work = 50ms, .usesPermits = false});
    fleet.run(3s);
    fleet.shrinkQueues(6);
    fleet.setLoad(1.7);
    fleet.run(10s);
    CHECK(fleet.falls() > 2);
}

// Guards against VMs that each send one request too many (LIMIT), and against a fleet that sends
// too little to brittle targets.
TEST_CASE("brittle fleet: demand above the capacity")
{
    const size_t vms = GENERATE(7, 84, 195);
    const size_t refusals = GENERATE(1, 6, 20);
    const double skew = GENERATE(0.0, 0.8);
    BrittleFleet fleet({.vms = vms, .refusals = refusals, .work = 50ms, .skew = skew});
    fleet.run(3s);
    fleet.shrinkQueues(6);
    fleet.run(2s);
    fleet.setLoad(GENERATE(1.7, 5.0));
    fleet.run(2s);
    const size_t served = fleet.served();
    static_cast<void>(fleet.takeCapacity());
    fleet.run(20s);
    CHECK(fleet.falls() == 0);
    CHECK(static_cast<double>(fleet.served() - served) >= 0.8 * fleet.takeCapacity());
}

// Guards against a limit that is higher than what the target takes when nothing may wait.
TEST_CASE("brittle fleet: no request may wait at the targets any more")
{
    const size_t vms = GENERATE(7, 84);
    BrittleFleet fleet({.vms = vms, .refusals = 4, .work = 50ms});
    fleet.setLoad(1.7);
    fleet.run(3s);
    fleet.shrinkQueues(0);
    fleet.run(2s);
    const size_t served = fleet.served();
    static_cast<void>(fleet.takeCapacity());
    fleet.run(20s);
    CHECK(fleet.falls() <= 2);
    CHECK(static_cast<double>(fleet.served() - served) >= 0.8 * fleet.takeCapacity());
}

// Guards against the load of a target that has fallen, and against all VMs meeting the one that
// returns.
TEST_CASE("brittle fleet: a target crashes while the others are near their capacity")
{
    const size_t vms = GENERATE(7, 84, 195);
    BrittleFleet fleet({.vms = vms, .refusals = 3, .work = 50ms});
    fleet.run(3s);
    fleet.shrinkQueues(6);
    fleet.run(2s);
    for (size_t target = 0; target < 3; ++target) {
        fleet.crash(target);
        fleet.run(3s);
    }
    CHECK(fleet.falls() == 0);
}

// Guards against an owner without a history that grants as much as is at the target already.
TEST_CASE("brittle fleet: owners of limits are lost in series")
{
    const size_t vms = GENERATE(7, 84, 195);
    const Duration gap = GENERATE(0ms, 4000ms);
    BrittleFleet fleet({.vms = vms, .refusals = 3, .work = 50ms});
    fleet.setLoad(1.7);
    fleet.run(3s);
    fleet.shrinkQueues(6);
    for (size_t step = 0; step < 9; ++step) {
        fleet.loseOwner(step % 3, gap);
        fleet.run(700ms);
    }
    CHECK(fleet.falls() <= 2);
}

// Many engines with few requests each: the limits must not cost them.
TEST_CASE("brittle fleet: 56 targets are used below their capacity")
{
    const size_t vms = GENERATE(84, 195);
    BrittleFleet fleet({.vms = vms,
                        .targets = 56,
                        .slots = 32,
                        .queue = 96,
                        .requestsPerSecond = 664.0,
                        .work = 300ms});
    fleet.run(3s);
    fleet.shrinkQueues(24);
    const size_t sent = fleet.sent();
    const size_t served = fleet.served();
    fleet.run(10s);
    CHECK(fleet.falls() == 0);
    CHECK(static_cast<double>(fleet.served() - served)
          >= 0.98 * static_cast<double>(fleet.sent() - sent));
}

} // namespace teaseldrift
