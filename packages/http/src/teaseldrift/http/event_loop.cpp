#include "teaseldrift/http/event_loop.hpp"

#include <algorithm>
#include <csignal>
#include <ctime>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <utility>

#include "event_loop_impl.hpp"

namespace teaseldrift::http {

namespace {

constexpr int32_t maxWaitMs = 1000;

/// Time of the thread's SimulatedTime, if there is one.
thread_local std::optional<Instant> simulatedNow;

/// The receiver only wakes the loop up; the tasks are queued in `postedTasks`.
void onWakeUp(h2o_multithread_receiver_t * /*receiver*/, h2o_linklist_t * /*messages*/) { }

/// @return whether any task was run
bool runPostedTasks(EventLoop::Impl &impl)
{
    std::vector<std::function<void()>> tasks;
    {
        const std::lock_guard<std::mutex> lock(impl.mutex);
        tasks.swap(impl.postedTasks);
    }
    for (const std::function<void()> &task : tasks) {
        task();
    }
    return !tasks.empty();
}

/// Advances simulated time to the next timer.
void advanceSimulatedTime(const EventLoop::Impl &impl)
{
    if (!impl.timers.empty()) {
        simulatedNow = std::max(*simulatedNow, impl.timers.begin()->first);
    }
}

int32_t pollTimeoutMs(const EventLoop::Impl &impl)
{
    if (impl.timers.empty()) {
        return maxWaitMs;
    }
    const Duration left = impl.timers.begin()->first - EventLoop::now();
    if (left <= Duration::zero()) {
        return 0;
    }
    return static_cast<int32_t>(std::min<uint64_t>(toMilliseconds(left), maxWaitMs));
}

/// Timers that are later than this are fired only after the sockets were polled: what has arrived
/// meanwhile may be what they wait for.
constexpr Duration timerTolerance = 20ms;

/// Timers that are started meanwhile wait for the next call, so that sockets are polled before.
/// @param polledAt when polling of the sockets began
/// @return whether any timer was due
bool fireTimers(EventLoop::Impl &impl, Instant polledAt)
{
    const Instant limit = std::max(polledAt, EventLoop::now());
    const Instant lateLimit = limit - timerTolerance;
    const EventLoop::TimerId lastTimer = impl.lastTimer;
    const auto isReady = [&](const std::pair<const Instant, EventLoop::Impl::Timer> &entry) {
        return entry.second.id <= lastTimer
               && (entry.first <= polledAt || entry.first >= lateLimit);
    };
    bool wasDue = false;
    while (true) {
        const auto end = impl.timers.upper_bound(limit);
        const auto next = std::find_if(impl.timers.begin(), end, isReady);
        wasDue = wasDue || impl.timers.begin() != end;
        if (next == end) {
            return wasDue;
        }
        const EventLoop::Impl::Timer timer = next->second;
        impl.timers.erase(next);
        impl.timersById.erase(timer.id);
        timer.action();
    }
}

} // namespace

void setAckTimeout(int descriptor, Duration ackTimeout, std::chrono::seconds idle)
{
    const int on = 1;
    const unsigned int bound = static_cast<unsigned int>(toMilliseconds(ackTimeout));
    const int idleSeconds = static_cast<int>(idle.count());
    const int intervalSeconds = 1;
    const int probes = std::max(1, static_cast<int>(toSeconds(ackTimeout)));
    ::setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &idleSeconds, sizeof(idleSeconds));
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &intervalSeconds, sizeof(intervalSeconds));
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &bound, sizeof(bound));
}

EventLoop::EventLoop() : m_impl(std::make_unique<Impl>())
{
    m_impl->loop = h2o_evloop_create();
    m_impl->queue = h2o_multithread_create_queue(m_impl->loop);
    // Writes to a closed connection are to fail with an error code instead of raising SIGPIPE.
    std::signal(SIGPIPE, SIG_IGN);
    h2o_multithread_register_receiver(m_impl->queue, &m_impl->receiver, onWakeUp);
    h2o_multithread_register_receiver(m_impl->queue, &m_impl->resolver,
                                      h2o_hostinfo_getaddr_receiver);
}

EventLoop::~EventLoop()
{
    {
        // What posted tasks own may still cancel timers.
        const std::vector<std::function<void()>> posted = std::exchange(m_impl->postedTasks, {});
    }
    h2o_multithread_unregister_receiver(m_impl->queue, &m_impl->receiver);
    h2o_multithread_unregister_receiver(m_impl->queue, &m_impl->resolver);
    h2o_multithread_destroy_queue(m_impl->queue);
}

void EventLoop::run()
{
    // Writes made outside h2o_evloop_run() complete in its next run, which must then not block.
    bool mayWait = false;
    m_impl->thread = std::this_thread::get_id();
    while (!m_impl->stopped) {
        if (mayWait && simulatedNow) {
            advanceSimulatedTime(*m_impl);
            mayWait = false;
        }
        const Instant polledAt = now();
        h2o_evloop_run(m_impl->loop, mayWait ? pollTimeoutMs(*m_impl) : 0);
        const bool ranTasks = runPostedTasks(*m_impl);
        const bool firedTimers = fireTimers(*m_impl, polledAt);
        // Completes writes that were sent immediately. Otherwise h2o polls their sockets for
        // writability, and an assertion fails if more than 256 of them are ready at once.
        h2o_timeout__do_post_callback(m_impl->loop);
        if (m_impl->afterTurn) {
            m_impl->afterTurn();
        }
        mayWait = !ranTasks && !firedTimers;
    }
    m_impl->stopped = false;
    m_impl->thread = std::thread::id();
}

void EventLoop::stop()
{
    m_impl->stopped = true;
    h2o_multithread_send_message(&m_impl->receiver, nullptr);
}

void EventLoop::post(std::function<void()> task)
{
    {
        const std::lock_guard<std::mutex> lock(m_impl->mutex);
        m_impl->postedTasks.push_back(std::move(task));
    }
    // The loop's own thread runs the posted tasks before it blocks again.
    if (std::this_thread::get_id() != m_impl->thread.load()) {
        h2o_multithread_send_message(&m_impl->receiver, nullptr);
    }
}

EventLoop::TimerId EventLoop::startTimer(Duration delay, std::function<void()> action)
{
    const TimerId id = ++m_impl->lastTimer;
    m_impl->timersById[id] = m_impl->timers.insert(
            {now() + delay, Impl::Timer{.id = id, .action = std::move(action)}});
    return id;
}

void EventLoop::cancelTimer(TimerId timer)
{
    const auto found = m_impl->timersById.find(timer);
    if (found == m_impl->timersById.end()) {
        return;
    }
    m_impl->timers.erase(found->second);
    m_impl->timersById.erase(found);
}

Instant EventLoop::now()
{
    if (simulatedNow) {
        return *simulatedNow;
    }
    // CLOCK_BOOTTIME also counts while the VM is suspended, so that a suspension does not extend
    // time limits.
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                        + std::chrono::nanoseconds(time.tv_nsec)));
}

EventLoop::Impl &EventLoop::impl()
{
    return *m_impl;
}

SimulatedTime::SimulatedTime()
{
    simulatedNow = EventLoop::now();
}

SimulatedTime::~SimulatedTime()
{
    simulatedNow.reset();
}

} // namespace teaseldrift::http
