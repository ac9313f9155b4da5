#include "teaseldrift/router/target_poller.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/router/load_report.hpp"
#include "teaseldrift/router/target_pool.hpp"

namespace teaseldrift::router {

namespace {

/// Largest load report or health response.
constexpr size_t maxReportBytes = 64U << 10U;

struct PendingPoll
{
    std::unique_ptr<http::Call> call;
    std::string body;
    http::EventLoop::TimerId timer = 0;
    bool isEngine = true;
};

} // namespace

struct TargetPoller::Impl
{
    http::EventLoop &loop;
    TargetPool &targets;
    TargetPollerOptions options;
    http::Client client;
    std::map<std::string, PendingPoll> pendingPolls;
    /// Problem of each engine's last response, if it had one.
    std::map<std::string, std::string_view> problems;
    std::deque<TargetAddress> round;
    Instant roundStartedAt{};
    http::EventLoop::TimerId timer = 0;

    Impl(http::EventLoop &eventLoop, TargetPool &pool, TargetPollerOptions pollerOptions)
        : loop(eventLoop), targets(pool), options(std::move(pollerOptions)),
          client(eventLoop, {.connectTimeout = options.timeout,
                             .ioTimeout = options.timeout,
                             .keepAlive = 30s})
    { }

    void pollNext();
    void startRound();
    void poll(const TargetAddress &target);
    void finish(const std::string &target, HealthObservation observation);
    void reportInvalid(const std::string &target, std::string_view problem);
};

void TargetPoller::Impl::startRound()
{
    const Instant now = http::EventLoop::now();
    if (!round.empty() || now - roundStartedAt < options.interval) {
        return;
    }
    roundStartedAt = now;
    for (TargetAddress &address : targets.addresses()) {
        if (address.isEngine) {
            round.push_back(std::move(address));
        }
    }
    std::erase_if(problems, [this](const std::pair<const std::string, std::string_view> &problem) {
        return std::none_of(round.begin(), round.end(), [&problem](const TargetAddress &target) {
            return target.id == problem.first;
        });
    });
}

void TargetPoller::Impl::pollNext()
{
    timer = loop.startTimer(options.spacing, [this] { pollNext(); });
    for (TargetAddress &probe : targets.takeProbes()) {
        round.push_front(std::move(probe));
    }
    startRound();
    if (round.empty()) {
        return;
    }
    const TargetAddress next = std::move(round.front());
    round.pop_front();
    if (!pendingPolls.contains(next.id)) {
        poll(next);
    }
}

void TargetPoller::Impl::poll(const TargetAddress &target)
{
    const std::string id = target.id;
    PendingPoll &pendingPoll = pendingPolls[id];
    pendingPoll.isEngine = target.isEngine;
    pendingPoll.timer = loop.startTimer(options.timeout,
                                        [this, id] { finish(id, HealthObservation::TimedOut); });
    pendingPoll.call = client.start(
            target.endpoint,
            {.path = target.isEngine ? "/load" : "/healthz", .maxResponseBytes = maxReportBytes},
            http::ConnectionUse::Pooled,
            {
                    .onHead = [](const http::ResponseHead &) {},
                    .onData = [this, id](std::string_view data) { pendingPolls[id].body += data; },
                    .onEnd =
                            [this, id](http::CallOutcome end) {
                                switch (end) {
                                case http::CallOutcome::Complete:
                                    finish(id, HealthObservation::Responded);
                                    return;
                                case http::CallOutcome::NotSent:
                                    finish(id, HealthObservation::ConnectFailed);
                                    return;
                                case http::CallOutcome::Broken:
                                    finish(id, HealthObservation::ConnectionBroken);
                                    return;
                                }
                            },
            });
}

void TargetPoller::Impl::finish(const std::string &target, HealthObservation observation)
{
    const auto found = pendingPolls.find(target);
    if (found == pendingPolls.end()) {
        return;
    }
    const PendingPoll pendingPoll = std::move(found->second);
    pendingPolls.erase(found);
    loop.cancelTimer(pendingPoll.timer);
    TargetLoad report;
    const bool isResponse = observation == HealthObservation::Responded && pendingPoll.isEngine;
    const bool isReport
            = isResponse && parseLoadReport(pendingPoll.body, http::EventLoop::now(), report);
    if (isResponse && !isReport) {
        reportInvalid(target, "unreadable");
    } else if (isReport && report.hasInvalidLimit) {
        reportInvalid(target, "limit");
    } else if (isReport) {
        problems.erase(target);
    }
    if (isReport) {
        targets.report(target, report);
        if (options.onReport) {
            options.onReport(target, report);
        }
        return;
    }
    targets.reportObservation(target, observation);
}

void TargetPoller::Impl::reportInvalid(const std::string &target, std::string_view problem)
{
    const bool isRepeated = std::exchange(problems[target], problem) == problem;
    if (options.onInvalidReport) {
        options.onInvalidReport({.target = target, .problem = problem, .isRepeated = isRepeated});
    }
}

TargetPoller::TargetPoller(http::EventLoop &loop, TargetPool &targets, TargetPollerOptions options)
    : m_impl(std::make_unique<Impl>(loop, targets, std::move(options)))
{
    m_impl->pollNext();
}

TargetPoller::~TargetPoller()
{
    m_impl->loop.cancelTimer(m_impl->timer);
    for (auto it = m_impl->pendingPolls.begin(); it != m_impl->pendingPolls.end(); ++it) {
        m_impl->loop.cancelTimer(it->second.timer);
    }
}

} // namespace teaseldrift::router
