#include "fake_targets.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace teaseldrift::bench {

void Timeline::at(Instant when, std::function<void()> action)
{
    m_events.push({.when = when, .sequence = m_nextSequence++, .action = std::move(action)});
}

void Timeline::runUntil(Instant end)
{
    while (!m_events.empty() && m_events.top().when <= end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.when;
        event.action();
    }
    m_now = end;
}

FakeTargets::FakeTargets(Timeline &timeline, TargetOptions options, Listener listener)
    : m_timeline(timeline), m_options(options), m_listener(std::move(listener)),
      m_targets(options.count)
{ }

void FakeTargets::submit(Request &request, AttemptId id, size_t target, uint32_t firstToken)
{
    JobPointer job = std::make_shared<Job>();
    *job = {.request = &request, .id = id, .target = target, .firstToken = firstToken};
    ++request.attempts;
    m_connecting.push_back(job);
    m_timeline.at(m_timeline.now() + m_options.connectTime, [this, job] { accept(job); });
}

void FakeTargets::accept(const JobPointer &job)
{
    std::erase(m_connecting, job);
    if (job->isFinished) {
        return;
    }
    Target &target = m_targets[job->target];
    if (m_timeline.now() < target.downUntil) {
        return notify(job, TargetEvent::ConnectFailed);
    }
    job->isStalled = m_timeline.now() < target.stalledUntil;
    notify(job, TargetEvent::Connected);
    if (target.waiting.size() >= m_options.queue) {
        job->isFinished = true;
        return notify(job, TargetEvent::Rejected);
    }
    target.waiting.push_back(job);
    startWaiting(target);
}

void FakeTargets::startWaiting(Target &target)
{
    while (!target.waiting.empty() && target.running.size() < m_options.slots) {
        const JobPointer job = target.waiting.front();
        target.waiting.pop_front();
        target.running.push_back(job);
        run(job);
    }
}

void FakeTargets::run(const JobPointer &job)
{
    job->isRunning = true;
    ++job->request->runs;
    const bool isGeneration = job->request->routeClass == schema::GENERATION;
    const Duration first = isGeneration ? m_options.prefillTime : m_options.callTime;
    const uint32_t token = job->firstToken;
    m_timeline.at(m_timeline.now() + first, [this, job, token] { generate(job, token); });
}

void FakeTargets::generate(const JobPointer &job, uint32_t token)
{
    if (job->isFinished) {
        return;
    }
    if (token == job->request->tokens) {
        return finish(job);
    }
    notify(job, TargetEvent::Token);
    m_timeline.at(m_timeline.now() + m_options.tokenTime,
                  [this, job, token] { generate(job, token + 1); });
}

void FakeTargets::finish(const JobPointer &job)
{
    job->isFinished = true;
    Target &target = m_targets[job->target];
    std::erase(target.running, job);
    notify(job, TargetEvent::End);
    startWaiting(target);
}

void FakeTargets::notify(const JobPointer &job, TargetEvent event)
{
    if (!job->isStalled || event == TargetEvent::Connected) {
        m_listener(*job->request, job->id, event);
    }
}

void FakeTargets::cancel(const Request &request, AttemptId id)
{
    const auto matches = [&request, id](const JobPointer &job) {
        return job->request == &request && job->id == id;
    };
    for (const JobPointer &job : m_connecting) {
        job->isFinished = job->isFinished || matches(job);
    }
    if (request.routeClass != schema::GENERATION) {
        return;
    }
    for (Target &target : m_targets) {
        for (const JobPointer &job : target.running) {
            job->isFinished = job->isFinished || matches(job);
        }
        std::erase_if(target.running, matches);
        std::erase_if(target.waiting, matches);
        startWaiting(target);
    }
}

void FakeTargets::crash(size_t index, Duration downTime)
{
    Target &target = m_targets[index];
    target.downUntil = m_timeline.now() + downTime;
    std::vector<JobPointer> lost = std::exchange(target.running, {});
    lost.insert(lost.end(), target.waiting.begin(), target.waiting.end());
    target.waiting.clear();
    for (const JobPointer &job : lost) {
        job->isFinished = true;
        notify(job, TargetEvent::ConnectionBroken);
    }
}

void FakeTargets::stall(size_t index, Duration stallTime)
{
    Target &target = m_targets[index];
    target.stalledUntil = m_timeline.now() + stallTime;
    for (const JobPointer &job : target.running) {
        job->isStalled = true;
    }
    for (const JobPointer &job : target.waiting) {
        job->isStalled = true;
    }
}

bool FakeTargets::respondsToProbes(size_t target) const
{
    const Instant now = m_timeline.now();
    return now >= m_targets[target].downUntil && now >= m_targets[target].stalledUntil;
}

size_t FakeTargets::load(size_t target) const
{
    return m_targets[target].running.size() + m_targets[target].waiting.size();
}

} // namespace teaseldrift::bench
