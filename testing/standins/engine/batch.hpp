#pragma once

#include <functional>
#include <map>
#include <memory>
#include <unordered_set>
#include <vector>

#include "standins/engine/generation.hpp"
#include "standins/engine/options.hpp"
#include "teaseldrift/http/event_loop.hpp"

namespace teaseldrift::standins {

/// @brief Continuous batching: slots that decode side by side, and a queue ordered by priority.
class Batch
{
public:
    using GenerationPtr = std::shared_ptr<Generation>;

    /// @param onToken called after each step of an answer
    /// @param onStart called when an answer gets its slot; returns its prefill time
    Batch(http::EventLoop &loop, const EngineOptions &options,
          std::function<Duration(Generation &)> onStart,
          std::function<void(const GenerationPtr &)> onToken);

    /// @brief Queues an answer, and starts it if a slot is free.
    void add(const GenerationPtr &generation);

    /// @brief Ends an answer and gives its slot to the next.
    void remove(const GenerationPtr &generation);

    /// @brief Generates nothing until it is called again with false.
    void setPaused(bool paused);

    /// @brief Lets all answers in slots fall silent for good, as on connections that were lost.
    void freezeRunning();

    /// @brief Answers whose caller has gone.
    [[nodiscard]] std::vector<GenerationPtr> abandoned() const;

    [[nodiscard]] size_t running() const { return m_running.size(); }
    [[nodiscard]] size_t queued() const { return m_queue.size(); }

private:
    struct QueueKey
    {
        int64_t priority = 0;
        uint64_t arrival = 0;
        auto operator<=>(const QueueKey &) const = default;
    };

    http::EventLoop &m_loop;
    EngineOptions m_options;
    std::function<Duration(Generation &)> m_onStart;
    std::function<void(const GenerationPtr &)> m_onToken;
    std::map<QueueKey, GenerationPtr> m_queue;
    std::unordered_set<GenerationPtr> m_running;
    /// Answers by the time of their next token, on a grid so that steps are shared.
    std::map<Instant, std::vector<GenerationPtr>> m_due;
    Instant m_timerAt = Instant::max();
    uint64_t m_arrivals = 0;
    bool m_paused = false;

    void startQueued();
    void schedule(const GenerationPtr &generation);
    void armTimer();
    void step();
    void advance(const GenerationPtr &generation);
};

} // namespace teaseldrift::standins
