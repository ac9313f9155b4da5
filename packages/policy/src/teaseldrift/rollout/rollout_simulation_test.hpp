#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "teaseldrift/rollout/rollout_controller.hpp"
#include "teaseldrift/rollout/version_evidence.hpp"
#include "teaseldrift/rollout/version_split.hpp"

namespace teaseldrift {

/// @brief A service on which the VMs of a fleet carry out one rollout, without a network.
///
/// Each VM reports its counters and learns the announcement at intervals, and some of these
/// messages are lost. VMs are suspended and restarted, and the leader is replaced.
class RolloutSimulation
{
public:
    /// A request as the targets see it.
    struct Request
    {
        size_t route = 0;
        bool isNew = false;
        size_t target = 0;
        /// Time since the order.
        Duration sentAt{0};
        /// Part of the service's requests that the version receives: 1 in the last step.
        bool isFullLoad = false;
    };

    struct Options
    {
        size_t vms = 7;
        double requestsPerSecond = 200.0;
        size_t targets = 12;
        Duration duration = 12s;
        uint64_t seed = 1;
        bool hasTroubles = true;
        std::optional<Duration> leaderLostAt;
        /// Probability that a response is a failure.
        std::function<double(const Request &)> failureRate = [](const Request &) { return 0.003; };
        /// Factor of the time that a request takes.
        std::function<double(const Request &)> timeFactor = [](const Request &) { return 1.0; };
        /// Factor of the rate of requests.
        std::function<double(Duration)> load = [](Duration) { return 1.0; };
    };

    struct Result
    {
        RolloutState state = RolloutState::Running;
        std::string reason;
        Duration endedAt{0};
        /// Requests from the order to its end.
        uint64_t requests = 0;
        uint64_t newRequests = 0;
        uint64_t badResponses = 0;
        std::optional<Duration> fiftiethBadAt;
        /// Last request to the new version.
        Duration lastNewAt{0};
        /// Requests at old targets at `completed`.
        uint64_t cutOff = 0;
        size_t avoided = 0;

        /// Requests to the new version beyond the bounds; 0 or less if they hold.
        [[nodiscard]] double excess() const
        {
            const RolloutBounds bounds;
            return static_cast<double>(newRequests)
                   - bounds.exposureShare * static_cast<double>(requests) - bounds.exposureSlack;
        }
        [[nodiscard]] bool isStoppedInTime() const
        {
            return !fiftiethBadAt || lastNewAt <= *fiftiethBadAt + RolloutBounds().rollbackTime;
        }
    };

    explicit RolloutSimulation(Options options) : m_options(std::move(options)) { }

    Result run()
    {
        for (size_t i = 0; i < m_options.vms; ++i) {
            m_vms.push_back(newVm());
        }
        startLeader();
        while (m_time < m_options.duration + observedAfterEnd) {
            m_time += step;
            finishRequests();
            sendRequests();
            exchange();
            lead();
            trouble();
        }
        return m_result;
    }

private:
    static constexpr Duration step = 10ms;
    /// Longer than RolloutBounds::rollbackTime, so that a fault which begins near the end is
    /// judged.
    static constexpr Duration observedAfterEnd = 6s;
    static constexpr Duration exchangeInterval = 300ms;
    static constexpr Duration reportMaxAge = 1s;
    static constexpr double lossRate = 0.3;
    static constexpr uint64_t order = 7;

    struct Vm
    {
        uint64_t incarnation = 0;
        VersionSplit split;
        VersionEvidence evidence;
        Duration exchangeAt{0};
        Duration suspendedUntil{0};
    };

    struct Report
    {
        RolloutCounts counts;
        Duration at{0};
    };

    struct Running
    {
        Request request;
        size_t vm = 0;
        uint64_t incarnation = 0;
    };

    [[nodiscard]] Instant now() const { return Instant(std::chrono::hours(1) + m_time); }

    double random() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_random); }
    size_t index(size_t count)
    {
        return std::uniform_int_distribution<size_t>(0, count - 1)(m_random);
    }

    std::unique_ptr<Vm> newVm()
    {
        std::unique_ptr<Vm> vm = std::make_unique<Vm>(
                Vm{.incarnation = ++m_incarnations,
                   .split = VersionSplit({.seed = m_options.seed * 100000 + m_incarnations}),
                   .evidence = VersionEvidence()});
        vm->split.setOrder({.service = "chat", .version = "v2", .number = order});
        vm->evidence.reset(order);
        vm->exchangeAt = m_time + std::chrono::duration_cast<Duration>(exchangeInterval * random());
        return vm;
    }

    [[nodiscard]] uint32_t keyOf(size_t target) const { return static_cast<uint32_t>(target + 1); }

    void startLeader()
    {
        const std::optional<AnnouncedRollout> last = m_announced;
        m_leader = std::make_unique<RolloutController>(RolloutControllerOptions{}, order,
                                                       Instant(std::chrono::hours(1)),
                                                       m_options.duration);
        ++m_fencing;
        if (last) {
            m_leader->resume(last->announcement);
        }
        m_announced.reset();
    }

    void sendRequests()
    {
        m_due += m_options.requestsPerSecond * m_options.load(m_time) * toSeconds(step);
        for (; m_due >= 1.0; m_due -= 1.0) {
            const size_t at = index(m_vms.size());
            Vm &vm = *m_vms[at];
            if (vm.suspendedUntil <= m_time) {
                send(at, vm);
            }
        }
    }

    void send(size_t at, Vm &vm)
    {
        const double draw = random();
        Request request{.route = draw < 0.6 ? 0U : draw < 0.9 ? 1U : 2U, .sentAt = m_time};
        const VersionRule rule
                = vm.split.next("chat", "route-" + std::to_string(request.route), now());
        request.isNew = rule.kind == VersionRule::Kind::Require;
        std::vector<size_t> allowed;
        for (size_t i = 0; i < m_options.targets; ++i) {
            if (rule.allows(request.isNew ? "v2" : "v1", keyOf(i))) {
                allowed.push_back(i);
            }
        }
        request.target = allowed[index(allowed.size())];
        request.isFullLoad = rule.targets.empty() && request.isNew;
        vm.evidence.sent(request.isNew);
        if (m_time <= m_options.duration) {
            ++m_result.requests;
            m_result.newRequests += request.isNew ? 1 : 0;
        }
        if (request.isNew) {
            m_result.lastNewAt = m_time;
        }
        static constexpr std::array<double, 3> meanMs{80.0, 160.0, 300.0};
        std::gamma_distribution<double> time(4.0, meanMs[request.route] / 4.0);
        const Duration lasts
                = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(
                        time(m_random) * m_options.timeFactor(request)));
        m_running.emplace(m_time + lasts,
                          Running{.request = request, .vm = at, .incarnation = vm.incarnation});
    }

    void finishRequests()
    {
        while (!m_running.empty() && m_running.begin()->first <= m_time) {
            const Duration time
                    = m_running.begin()->first - m_running.begin()->second.request.sentAt;
            const Running ended = m_running.begin()->second;
            m_running.erase(m_running.begin());
            const Request &request = ended.request;
            const bool isFailure = random() < m_options.failureRate(request);
            if (request.isNew && (isFailure || m_options.timeFactor(request) > 2.0)
                && ++m_result.badResponses == 50) {
                m_result.fiftiethBadAt = m_time;
            }
            Vm &vm = *m_vms[ended.vm];
            if (vm.incarnation == ended.incarnation) {
                vm.evidence.finished(request.isNew);
                vm.evidence.responded("route-" + std::to_string(request.route),
                                      request.isNew ? keyOf(request.target)
                                                    : EvidenceKey::oldVersion,
                                      isFailure, time, now());
            }
        }
    }

    void exchange()
    {
        for (size_t i = 0; i < m_vms.size(); ++i) {
            Vm &vm = *m_vms[i];
            if (vm.suspendedUntil > m_time || vm.exchangeAt > m_time) {
                continue;
            }
            vm.exchangeAt += exchangeInterval;
            if (m_options.hasTroubles && random() < lossRate) {
                continue;
            }
            RolloutCounts counts = vm.evidence.counts();
            if (const AnnouncedRollout *announced = vm.split.find("chat")) {
                counts.fencing = announced->announcement.fencing;
                counts.sequence = announced->announcement.sequence;
            }
            m_reports[i] = {.counts = counts, .at = m_time};
            if (m_relayed) {
                vm.split.apply(m_relayed->announcement, m_relayed->announcedAt);
            }
        }
        // The announcement takes one more exchange to the VM that relays it.
        if (m_time >= m_relayAt) {
            m_relayAt = m_time + exchangeInterval;
            m_relayed = m_announced ? m_announced : m_relayed;
        }
    }

    void lead()
    {
        if (m_options.leaderLostAt && !m_isLeaderReplaced && m_time >= *m_options.leaderLostAt) {
            // The lease must expire before another VM leads.
            constexpr Duration leaseTime = 3s;
            m_isLeaderReplaced = m_time >= *m_options.leaderLostAt + leaseTime;
            if (m_isLeaderReplaced) {
                const AnnouncedRollout last = *m_relayed;
                m_announced = last;
                startLeader();
            }
            return;
        }
        RolloutCounts counts{.order = order,
                             .fencing = std::numeric_limits<uint64_t>::max(),
                             .sequence = std::numeric_limits<uint64_t>::max()};
        for (const std::pair<const size_t, Report> &report : m_reports) {
            if (m_time - report.second.at <= reportMaxAge) {
                counts += report.second.counts;
            }
        }
        std::vector<uint32_t> targets;
        for (size_t i = 0; i < m_options.targets; ++i) {
            targets.push_back(keyOf(i));
        }
        const RolloutState before = m_leader->decision().state;
        const RolloutDecision &decision = m_leader->update(
                {.counts = counts, .vms = m_options.vms, .newTargets = targets}, now());
        announce(decision);
        if (before == RolloutState::Running && decision.state != before) {
            m_result.state = decision.state;
            m_result.reason = decision.reason;
            m_result.endedAt = m_time;
            for (const std::pair<const Duration, Running> &running : m_running) {
                m_result.cutOff += running.second.request.isNew ? 0 : 1;
            }
        }
        m_result.avoided = std::max(m_result.avoided, decision.avoided.size());
    }

    void announce(const RolloutDecision &decision)
    {
        RolloutAnnouncement next{.order = {.service = "chat", .version = "v2", .number = order},
                                 .state = decision.state,
                                 .share = decision.share,
                                 .targets = decision.targets,
                                 .avoided = decision.avoided,
                                 .fullFrom = decision.fullFrom,
                                 .fencing = m_fencing,
                                 .sequence = m_sequence};
        if (!m_announced || !next.hasSameContent(m_announced->announcement)) {
            next.sequence = ++m_sequence;
            m_leader->announced(m_fencing, m_sequence);
        }
        m_announced = {.announcement = next, .announcedAt = now()};
    }

    void trouble()
    {
        constexpr double suspensionsPerSecond = 0.05;
        constexpr double restartsPerSecond = 0.02;
        if (!m_options.hasTroubles) {
            return;
        }
        const double vms = static_cast<double>(m_vms.size());
        if (random() < suspensionsPerSecond * vms * toSeconds(step)) {
            m_vms[index(m_vms.size())]->suspendedUntil = m_time + 2s;
        }
        if (random() < restartsPerSecond * vms * toSeconds(step)) {
            m_vms[index(m_vms.size())] = newVm();
        }
    }

    Options m_options;
    std::mt19937_64 m_random{m_options.seed};
    std::vector<std::unique_ptr<Vm>> m_vms;
    std::map<size_t, Report> m_reports;
    std::multimap<Duration, Running> m_running;
    std::unique_ptr<RolloutController> m_leader;
    std::optional<AnnouncedRollout> m_announced;
    std::optional<AnnouncedRollout> m_relayed;
    Duration m_relayAt{0};
    Duration m_time{0};
    double m_due = 0.0;
    uint64_t m_incarnations = 0;
    uint64_t m_fencing = 0;
    uint64_t m_sequence = 0;
    bool m_isLeaderReplaced = false;
    Result m_result;
};

} // namespace teaseldrift
