#include "fake_targets.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace teaseldrift::bench {

void Timeline::at(Instant when, std::function<void()> action)
{
    m_events.push({.when = when, .order = m_order++, .action = std::move(action)});
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
    if (job->isOver) {
        return;
    }
    Target &target = m_targets[job->target];
    if (m_timeline.now() < target.upAt) {
        return tell(job, TargetEvent::ConnectFailed);
    }
    job->isSilent = m_timeline.now() < target.audibleAt;
    tell(job, TargetEvent::Connected);
    if (target.waiting.size() >= m_options.queue) {
        job->isOver = true;
        return tell(job, TargetEvent::Refused);
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
    if (job->isOver) {
        return;
    }
    if (token == job->request->tokens) {
        return finish(job);
    }
    tell(job, TargetEvent::Token);
    m_timeline.at(m_timeline.now() + m_options.tokenTime,
                  [this, job, token] { generate(job, token + 1); });
}

void FakeTargets::finish(const JobPointer &job)
{
    job->isOver = true;
    Target &target = m_targets[job->target];
    std::erase(target.running, job);
    tell(job, TargetEvent::End);
    startWaiting(target);
}

void FakeTargets::tell(const JobPointer &job, TargetEvent event)
{
    if (!job->isSilent || event == TargetEvent::Connected) {
        m_listener(*job->request, job->id, event);
    }
}

void FakeTargets::cancel(const Request &request, AttemptId id)
{
    const auto isIt = [&request, id](const JobPointer &job) {
        return job->request == &request && job->id == id;
    };
    for (const JobPointer &job : m_connecting) {
        job->isOver = job->isOver || isIt(job);
    }
    if (request.routeClass != schema::GENERATION) {
        return;
    }
    for (Target &target : m_targets) {
        for (const JobPointer &job : target.running) {
            job->isOver = job->isOver || isIt(job);
        }
        std::erase_if(target.running, isIt);
        std::erase_if(target.waiting, isIt);
        startWaiting(target);
    }
}

void FakeTargets::crash(size_t index, Duration downTime)
{
    Target &target = m_targets[index];
    target.upAt = m_timeline.now() + downTime;
    std::vector<JobPointer> lost = std::exchange(target.running, {});
    lost.insert(lost.end(), target.waiting.begin(), target.waiting.end());
    target.waiting.clear();
    for (const JobPointer &job : lost) {
        job->isOver = true;
        tell(job, TargetEvent::Broken);
    }
}

void FakeTargets::fallSilent(size_t index, Duration silentTime)
{
    Target &target = m_targets[index];
    target.audibleAt = m_timeline.now() + silentTime;
    for (const JobPointer &job : target.running) {
        job->isSilent = true;
    }
    for (const JobPointer &job : target.waiting) {
        job->isSilent = true;
    }
}

bool FakeTargets::isWell(size_t target) const
{
    const Instant now = m_timeline.now();
    return now >= m_targets[target].upAt && now >= m_targets[target].audibleAt;
}

size_t FakeTargets::load(size_t target) const
{
    return m_targets[target].running.size() + m_targets[target].waiting.size();
}

} // namespace teaseldrift::bench
