/// Tests of the order in which an event loop runs timers, posted tasks and reads sockets.

#include <thread>

#include <catch2/catch.hpp>

#include "teaseldrift/http/buffered_client.hpp"
#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/http/server.hpp"

namespace teaseldrift::http {

// Guards against a process that stands still although it is running: no request is read, and no
// change of the configuration is applied.
TEST_CASE("a timer that is started again with a time in the past does not hold up the event loop")
{
    EventLoop loop;
    const Instant startedAt = EventLoop::now();
    const std::function<void()> restart = [&] {
        const Instant now = EventLoop::now();
        if (now - startedAt < 1s) {
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
    loop.startTimer(1100ms, [&] { loop.stop(); });
    loop.run();
    CHECK(taskRanAt - startedAt < 500ms);
    CHECK(timerRanAt - startedAt < 500ms);
}

// Guards against calls that fail on a VM that was busy or suspended although the response is there.
TEST_CASE("a response that arrived while the event loop was busy is read before the call times out")
{
    EventLoop serverLoop;
    Server server(serverLoop, {},
                  [](const std::shared_ptr<Exchange> &exchange) { exchange->respond({}); });
    REQUIRE_FALSE(server.listen());
    const Endpoint endpoint{.address = "127.0.0.1", .port = server.port()};
    std::thread serverThread([&] { serverLoop.run(); });
    EventLoop loop;
    Client client(loop, {});
    BufferedClient calls(loop, client);
    int status = 0;
    const auto call = [&](Duration timeout) {
        calls.start(endpoint, {}, timeout, [&](const BufferedResponse &received) {
            status = received.status;
            loop.stop();
        });
    };
    // The second call uses the connection of the first.
    call(10s);
    loop.run();
    CHECK(status == 200);
    status = 0;
    loop.post([&] {
        call(100ms);
        std::this_thread::sleep_for(1s);
    });
    loop.run();
    CHECK(status == 200);
    serverLoop.stop();
    serverThread.join();
}

} // namespace teaseldrift::http
