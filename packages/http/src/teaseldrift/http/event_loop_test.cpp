/// Tests of the order in which an event loop runs timers, posted tasks and reads sockets.

#include <catch2/catch.hpp>

#include "teaseldrift/http/event_loop.hpp"

namespace teaseldrift::http {

// Guards against a process that stands still although it is running: no request is read, and no
// change of the configuration is applied.
TEST_CASE("a timer that is started again with a time in the past does not hold up the event loop")
{
    EventLoop loop;
    const Instant startedAt = EventLoop::now();
    const std::function<void()> restart = [&] {
        const Instant now = EventLoop::now();
        if (now - startedAt < 300ms) {
            loop.startTimer(startedAt - now, restart);
        }
    };
    Instant taskRanAt;
    Instant timerRanAt;
    loop.startTimer(0ms, [&] {
        loop.post([&] { taskRanAt = EventLoop::now(); });
        restart();
    });
    loop.startTimer(20ms, [&] { timerRanAt = EventLoop::now(); });
    loop.startTimer(400ms, [&] { loop.stop(); });
    loop.run();
    CHECK(taskRanAt - startedAt < 100ms);
    CHECK(timerRanAt - startedAt < 120ms);
}

} // namespace teaseldrift::http
