#include "teaseldrift/http/event_loop.hpp"

#include <algorithm>
#include <csignal>
#include <ctime>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>

#include "native.hpp"

namespace teaseldrift::http {

namespace {

constexpr int32_t longestWaitMs = 1000;

/// The receiver only wakes the loop up; the messages themselves wait in `posted`.
void onWakeUp(h2o_multithread_receiver_t * /*receiver*/, h2o_linklist_t * /*messages*/) { }

/// @return whether any message was handled
bool runPosted(EventLoop::Native &native)
{
    std::vector<std::function<void()>> messages;
    {
        const std::lock_guard<std::mutex> lock(native.mutex);
        messages.swap(native.posted);
    }
    for (const std::function<void()> &message : messages) {
        message();
    }
    return !messages.empty();
}

int32_t waitFor(const EventLoop::Native &native)
{
    if (native.timers.empty()) {
        return longestWaitMs;
    }
    const Duration left = native.timers.begin()->first - EventLoop::now();
    if (left <= Duration::zero()) {
        return 0;
    }
    return static_cast<int32_t>(std::min<uint64_t>(toMilliseconds(left), longestWaitMs));
}

/// @return whether any timer was due
bool fireTimers(EventLoop::Native &native)
{
    bool fired = false;
    const Instant now = EventLoop::now();
    while (!native.timers.empty() && native.timers.begin()->first <= now) {
        const EventLoop::Native::Timer timer = native.timers.begin()->second;
        native.timers.erase(native.timers.begin());
        native.timersById.erase(timer.id);
        timer.action();
        fired = true;
    }
    return fired;
}

} // namespace

void boundSilence(int descriptor, Duration silence)
{
    const int on = 1;
    const unsigned int bound = static_cast<unsigned int>(toMilliseconds(silence));
    // Keep-alive probes have a grain of a second.
    const int probeSeconds = 1;
    const int probes = std::max(1, static_cast<int>(toSeconds(silence)));
    ::setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &probeSeconds, sizeof(probeSeconds));
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &probeSeconds, sizeof(probeSeconds));
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &bound, sizeof(bound));
}

EventLoop::EventLoop() : m_native(std::make_unique<Native>())
{
    m_native->loop = h2o_evloop_create();
    m_native->queue = h2o_multithread_create_queue(m_native->loop);
    // A write to a closed connection is reported by its error code, not by a signal.
    std::signal(SIGPIPE, SIG_IGN);
    h2o_multithread_register_receiver(m_native->queue, &m_native->receiver, onWakeUp);
    h2o_multithread_register_receiver(m_native->queue, &m_native->resolver,
                                      h2o_hostinfo_getaddr_receiver);
}

EventLoop::~EventLoop()
{
    h2o_multithread_unregister_receiver(m_native->queue, &m_native->receiver);
    h2o_multithread_unregister_receiver(m_native->queue, &m_native->resolver);
    h2o_multithread_destroy_queue(m_native->queue);
}

void EventLoop::run()
{
    // Writes made outside h2o_evloop_run() complete in its next run, which must not wait then.
    bool mayWait = false;
    m_native->thread = std::this_thread::get_id();
    while (!m_native->stopped) {
        h2o_evloop_run(m_native->loop, mayWait ? waitFor(*m_native) : 0);
        const bool handledMessages = runPosted(*m_native);
        const bool firedTimers = fireTimers(*m_native);
        // Finishes writes that went out at once. Otherwise h2o polls their sockets for writing, and
        // asserts if more than 256 of them are ready at the same time.
        h2o_timeout__do_post_callback(m_native->loop);
        mayWait = !handledMessages && !firedTimers;
    }
    m_native->stopped = false;
    m_native->thread = std::thread::id();
}

void EventLoop::stop()
{
    m_native->stopped = true;
    h2o_multithread_send_message(&m_native->receiver, nullptr);
}

void EventLoop::post(std::function<void()> message)
{
    {
        const std::lock_guard<std::mutex> lock(m_native->mutex);
        m_native->posted.push_back(std::move(message));
    }
    // The loop's own thread looks at the messages before it waits again.
    if (std::this_thread::get_id() != m_native->thread.load()) {
        h2o_multithread_send_message(&m_native->receiver, nullptr);
    }
}

EventLoop::TimerId EventLoop::startTimer(Duration delay, std::function<void()> action)
{
    const TimerId id = ++m_native->lastTimer;
    m_native->timersById[id] = m_native->timers.insert(
            {now() + delay, Native::Timer{.id = id, .action = std::move(action)}});
    return id;
}

void EventLoop::cancelTimer(TimerId timer)
{
    const auto found = m_native->timersById.find(timer);
    if (found == m_native->timersById.end()) {
        return;
    }
    m_native->timers.erase(found->second);
    m_native->timersById.erase(found);
}

Instant EventLoop::now()
{
    // Counts while the VM is suspended, so that no bound of time is stretched by a pause.
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                        + std::chrono::nanoseconds(time.tv_nsec)));
}

EventLoop::Native &EventLoop::native()
{
    return *m_native;
}

} // namespace teaseldrift::http
