#pragma once

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

extern "C" {
#include <h2o.h>
#include <h2o/http1client.h>
}

#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/http/message.hpp"

namespace teaseldrift::http {

struct EventLoop::Impl
{
    struct Timer
    {
        TimerId id;
        std::function<void()> action;
    };

    h2o_evloop_t *loop = nullptr;
    h2o_multithread_queue_t *queue = nullptr;
    h2o_multithread_receiver_t receiver{};
    h2o_multithread_receiver_t resolver{};
    std::mutex mutex;
    std::vector<std::function<void()>> postedTasks;
    std::atomic<bool> stopped = false;
    /// Thread that executes run().
    std::atomic<std::thread::id> thread;
    std::multimap<Instant, Timer> timers;
    std::map<TimerId, std::multimap<Instant, Timer>::iterator> timersById;
    TimerId lastTimer = 0;
    /// Runs after each iteration; see ConnectionLimiter.
    std::function<void()> afterTurn;
    /// Holds what a connection of the client reads at once, while its parser runs.
    std::array<char, 64U << 10U> readBuffer{};
};

/// @brief Converts a view to h2o's vector.
inline h2o_iovec_t toIovec(std::string_view text)
{
    return h2o_iovec_init(text.data(), text.size());
}

/// @brief Converts h2o's vector to a view.
inline std::string_view toView(h2o_iovec_t vector)
{
    return {vector.base, vector.len};
}

/// @brief Copies h2o's headers.
inline Headers toHeaders(const h2o_header_t *headers, size_t count)
{
    Headers copied;
    copied.reserve(count);
    for (size_t i = 0; i < count; ++i) {
        copied.push_back(
                {std::string(toView(*headers[i].name)), std::string(toView(headers[i].value))});
    }
    return copied;
}

/// @brief Converts a duration to milliseconds, rounded up.
inline uint64_t toMilliseconds(Duration duration)
{
    return static_cast<uint64_t>(std::chrono::ceil<std::chrono::milliseconds>(duration).count());
}

/// @brief Makes the kernel close a connection whose peer acknowledges nothing for `ackTimeout`.
/// @param idle silence after which the kernel probes the connection
void setAckTimeout(int descriptor, Duration ackTimeout, std::chrono::seconds idle);

} // namespace teaseldrift::http
