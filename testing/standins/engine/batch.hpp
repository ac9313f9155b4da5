#pragma once

#include <functional>
#include <map>
#include <memory>
#include <tuple>
#include <unordered_set>
#include <vector>

#include "standins/engine/generation.hpp"
#include "standins/engine/options.hpp"
#include "teaseldrift/http/event_loop.hpp"

namespace teaseldrift::standins {

/// @brief Continuous batching: slots that decode concurrently, and a queue ordered by priority.
class Batch
{
public:
    using GenerationPtr = std::shared_ptr<Generation>;

    /// @param onToken called after each decoding step of a generation
    /// @param onStart called when a generation is assigned a slot; returns its prefill time
    Batch(http::EventLoop &loop, const EngineOptions &options,
          std::function<Duration(Generation &)> onStart,
          std::function<void(const GenerationPtr &)> onToken);

    /// @brief Queues a generation, and starts it if a slot is free.
    void add(const GenerationPtr &generation);

    /// @brief Ends a generation and assigns its slot to the next in the queue.
    void remove(const GenerationPtr &generation);

    /// @brief While paused, starts no generation and decodes no tokens.
    void setPaused(bool paused);

    /// @brief Stops the output of all running generations permanently while their connections stay
    /// open, as after an undetected connection loss.
    void stallRunning();

    /// @brief Generations whose caller has disconnected.
    [[nodiscard]] std::vector<GenerationPtr> disconnected() const;

    [[nodiscard]] size_t running() const { return m_running.size(); }
    [[nodiscard]] size_t queued() const { return m_queue.size(); }

private:
    struct QueueKey
    {
        int64_t priority = 0;
        uint64_t arrival = 0;

        bool operator<(const QueueKey &other) const
        {
            return std::tie(priority, arrival) < std::tie(other.priority, other.arrival);
        }
    };

    http::EventLoop &m_loop;
    EngineOptions m_options;
    std::function<Duration(Generation &)> m_onStart;
    std::function<void(const GenerationPtr &)> m_onToken;
    std::map<QueueKey, GenerationPtr> m_queue;
    std::unordered_set<GenerationPtr> m_running;
    /// Running generations by the time of their next token, rounded up to 1 ms so that one
    /// timer serves several.
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
