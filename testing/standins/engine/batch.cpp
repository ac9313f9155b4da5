#include "standins/engine/batch.hpp"

#include <algorithm>

namespace teaseldrift::standins {

Batch::Batch(http::EventLoop &loop, const EngineOptions &options,
             std::function<Duration(Generation &)> onStart,
             std::function<void(const GenerationPtr &)> onToken)
    : m_loop(loop), m_options(options), m_onStart(std::move(onStart)), m_onToken(std::move(onToken))
{ }

void Batch::add(const GenerationPtr &generation)
{
    m_queue[{.priority = generation->request.priority, .arrival = ++m_arrivals}] = generation;
    startQueued();
}

void Batch::remove(const GenerationPtr &generation)
{
    if (generation->state == Generation::State::Queued) {
        std::erase_if(m_queue,
                      [&generation](const std::pair<const QueueKey, GenerationPtr> &entry) {
                          return entry.second == generation;
                      });
    }
    generation->state = Generation::State::Ended;
    m_running.erase(generation);
    startQueued();
}

void Batch::setPaused(bool paused)
{
    m_paused = paused;
    startQueued();
    armTimer();
}

void Batch::stallRunning()
{
    for (const GenerationPtr &generation : m_running) {
        generation->stalled = true;
    }
}

std::vector<Batch::GenerationPtr> Batch::disconnected() const
{
    std::vector<GenerationPtr> disconnected;
    for (auto it = m_queue.begin(); it != m_queue.end(); ++it) {
        if (it->second->exchange->isCallerDisconnected()) {
            disconnected.push_back(it->second);
        }
    }
    for (const GenerationPtr &generation : m_running) {
        if (generation->exchange->isCallerDisconnected()) {
            disconnected.push_back(generation);
        }
    }
    return disconnected;
}

void Batch::startQueued()
{
    while (!m_paused && !m_queue.empty() && m_running.size() < m_options.slots) {
        const GenerationPtr generation = m_queue.begin()->second;
        m_queue.erase(m_queue.begin());
        generation->state = Generation::State::Running;
        m_running.insert(generation);
        const Duration prefill = m_onStart(*generation);
        if (prefill == Duration::zero() && m_options.tokenMs == 0) {
            advance(generation);
        } else {
            generation->due = http::EventLoop::now() + prefill;
            schedule(generation);
        }
    }
}

void Batch::schedule(const GenerationPtr &generation)
{
    generation->due += std::chrono::milliseconds(m_options.tokenMs);
    const std::chrono::milliseconds grid
            = std::chrono::ceil<std::chrono::milliseconds>(generation->due.time_since_epoch());
    m_due[Instant(grid)].push_back(generation);
    armTimer();
}

void Batch::armTimer()
{
    if (m_paused || m_due.empty() || m_due.begin()->first >= m_timerAt) {
        return;
    }
    m_timerAt = m_due.begin()->first;
    const Duration delay = std::max(Duration::zero(), m_timerAt - http::EventLoop::now());
    m_loop.startTimer(delay, [this] { step(); });
}

void Batch::step()
{
    m_timerAt = Instant::max();
    while (!m_paused && !m_due.empty() && m_due.begin()->first <= http::EventLoop::now()) {
        const std::vector<GenerationPtr> due = std::move(m_due.begin()->second);
        m_due.erase(m_due.begin());
        for (const GenerationPtr &generation : due) {
            advance(generation);
        }
    }
    armTimer();
}

void Batch::advance(const GenerationPtr &generation)
{
    if (generation->state != Generation::State::Running || generation->stalled) {
        return;
    }
    do {
        generation->advance();
    } while (m_options.tokenMs == 0 && !generation->isComplete());
    m_onToken(generation);
    if (generation->state == Generation::State::Running) {
        schedule(generation);
    }
}

} // namespace teaseldrift::standins
