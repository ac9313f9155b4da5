#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift::http {

/// @brief A single-threaded event loop with timers and posted tasks.
///
/// Sockets, clients and servers belong to one loop. Only post() and stop() may be called from other
/// threads.
class EventLoop
{
public:
    /// Identifies a running timer; 0 is never used.
    using TimerId = uint64_t;

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// @brief Runs until stop() is called.
    void run();

    /// @brief Makes run() return after the current iteration. Callable from any thread.
    void stop();

    /// @brief Runs a task on the loop's thread. Callable from any thread.
    void post(std::function<void()> task);

    /// @brief Calls `action` once after `delay`.
    TimerId startTimer(Duration delay, std::function<void()> action);

    /// @brief Cancels a timer; an unknown or finished one is ignored.
    void cancelTimer(TimerId timer);

    /// @brief The monotonic time, which includes the time that the VM is suspended.
    static Instant now();

    /// Implementation; public for the other classes of this package only.
    struct Impl;
    Impl &impl();

private:
    std::unique_ptr<Impl> m_impl;
};

/// @brief While it exists, the event loops of its thread run in simulated time: their clock stands
/// still while there is work, and then advances to the next timer.
///
/// For simulations without sockets; there may be one at a time in a thread.
class SimulatedTime
{
public:
    SimulatedTime();
    ~SimulatedTime();
    SimulatedTime(const SimulatedTime &) = delete;
    SimulatedTime &operator=(const SimulatedTime &) = delete;
};

} // namespace teaseldrift::http
