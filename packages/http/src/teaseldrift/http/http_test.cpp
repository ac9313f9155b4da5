#include <thread>

#include <catch2/catch.hpp>

#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/http/server.hpp"

namespace teaseldrift::http {

namespace {

/// An event loop with a server and a client; a timer stops the loop if a test hangs.
struct Fixture
{
    EventLoop loop;
    std::unique_ptr<Server> server;
    Client client{loop, {}};

    explicit Fixture(Server::Handler handler)
        : server(std::make_unique<Server>(loop, ServerOptions{}, std::move(handler)))
    {
        REQUIRE_FALSE(server->listen());
        loop.startTimer(20s, [this] { loop.stop(); });
    }

    [[nodiscard]] Endpoint endpoint() const
    {
        return {.address = "127.0.0.1", .port = server->port()};
    }
};

struct Outcome
{
    int status = 0;
    std::string body;
    CallOutcome end = CallOutcome::NotSent;
    bool ended = false;
};

CallHandlers handlersInto(Outcome &outcome, EventLoop &loop)
{
    return {
            .onHead = [&outcome](const ResponseHead &head) { outcome.status = head.status; },
            .onData = [&outcome](std::string_view data) { outcome.body += data; },
            .onEnd =
                    [&outcome, &loop](CallOutcome end) {
                        outcome.end = end;
                        outcome.ended = true;
                        loop.stop();
                    },
    };
}

} // namespace

TEST_CASE("a complete response arrives")
{
    Fixture fixture([](const std::shared_ptr<Exchange> &exchange) {
        exchange->respond({.status = 201, .body = std::string(exchange->body()) + "!"});
    });
    for (const ConnectionUse use :
         {ConnectionUse::Pooled, ConnectionUse::Pooled, ConnectionUse::Fresh}) {
        Outcome outcome;
        const std::unique_ptr<Call> call = fixture.client.start(
                fixture.endpoint(), {.method = "POST", .path = "/x", .body = "hello"}, use,
                handlersInto(outcome, fixture.loop));
        fixture.loop.run();
        CHECK(outcome.status == 201);
        CHECK(outcome.body == "hello!");
        CHECK(outcome.end == CallOutcome::Complete);
        CHECK(call->maybeSent());
    }
}

TEST_CASE("a stream arrives in pieces, and an aborted one ends as Broken")
{
    const bool aborts = GENERATE(false, true);
    std::shared_ptr<Exchange> held;
    Fixture fixture([&held](const std::shared_ptr<Exchange> &exchange) {
        held = exchange;
        exchange->startStream(200, {{"content-type", "text/event-stream"}});
        exchange->write("one ");
    });
    Outcome outcome;
    CallHandlers handlers = handlersInto(outcome, fixture.loop);
    handlers.onData = [&](std::string_view data) {
        outcome.body += data;
        if (data != "one ") {
            return;
        }
        if (aborts) {
            held->abort();
            return;
        }
        held->write("two");
        held->finish();
    };
    const std::unique_ptr<Call> call
            = fixture.client.start(fixture.endpoint(), {}, ConnectionUse::Pooled, handlers);
    fixture.loop.run();
    REQUIRE(outcome.ended);
    CHECK(outcome.body == (aborts ? "one " : "one two"));
    CHECK(outcome.end == (aborts ? CallOutcome::Broken : CallOutcome::Complete));
}

TEST_CASE("a refused connection ends the call as NotSent")
{
    Fixture fixture([](const std::shared_ptr<Exchange> &) {});
    const Endpoint closed = fixture.endpoint();
    fixture.server->stopAccepting();
    Outcome outcome;
    const std::unique_ptr<Call> call = fixture.client.start(closed, {}, ConnectionUse::Fresh,
                                                            handlersInto(outcome, fixture.loop));
    fixture.loop.run();
    REQUIRE(outcome.ended);
    CHECK(outcome.end == CallOutcome::NotSent);
    CHECK_FALSE(call->maybeSent());
}

TEST_CASE("a connection that was only opened is used by the next call, unless it has been closed")
{
    int requests = 0;
    Fixture fixture([&requests](const std::shared_ptr<Exchange> &exchange) {
        ++requests;
        exchange->respond({.body = "hello"});
    });
    const bool isClosedByServer = GENERATE(false, true);
    Outcome opened;
    const std::unique_ptr<Call> connect
            = fixture.client.connect(fixture.endpoint(), handlersInto(opened, fixture.loop).onEnd);
    fixture.loop.run();
    CHECK(opened.end == CallOutcome::Complete);
    CHECK_FALSE(connect->maybeSent());
    if (isClosedByServer) {
        fixture.server->setRequestTimeout(50ms);
        Outcome second;
        const std::unique_ptr<Call> other = fixture.client.connect(
                fixture.endpoint(), handlersInto(second, fixture.loop).onEnd);
        fixture.loop.run();
        fixture.loop.startTimer(300ms, [&fixture] { fixture.loop.stop(); });
        fixture.loop.run();
    }
    Outcome outcome;
    const std::unique_ptr<Call> call
            = fixture.client.start(fixture.endpoint(), {.path = "/x"}, ConnectionUse::Pooled,
                                   handlersInto(outcome, fixture.loop));
    // An idle connection is written to at once, a new one is not.
    CHECK((isClosedByServer || call->maybeSent()));
    fixture.loop.run();
    CHECK(outcome.end == CallOutcome::Complete);
    CHECK(outcome.body == "hello");
    CHECK(requests == 1);
}

TEST_CASE("opening a connection that is refused ends as NotSent")
{
    Fixture fixture([](const std::shared_ptr<Exchange> &) {});
    const Endpoint endpoint = fixture.endpoint();
    fixture.server->stopAccepting();
    Outcome opened;
    const std::unique_ptr<Call> connect
            = fixture.client.connect(endpoint, handlersInto(opened, fixture.loop).onEnd);
    fixture.loop.run();
    CHECK(opened.ended);
    CHECK(opened.end == CallOutcome::NotSent);
}

TEST_CASE("a cancelled call closes its connection, and the server is notified")
{
    bool gone = false;
    std::unique_ptr<Call> call;
    EventLoop *loop = nullptr;
    std::function<void(std::shared_ptr<Exchange>)> pump;
    Fixture fixture([&](const std::shared_ptr<Exchange> &exchange) {
        exchange->onDisconnected([&gone, &loop] {
            gone = true;
            loop->stop();
        });
        exchange->startStream(200, {});
        exchange->onDrained([exchange = std::weak_ptr<Exchange>(exchange), &loop] {
            loop->startTimer(1ms, [exchange] {
                const std::shared_ptr<Exchange> open = exchange.lock();
                if (open != nullptr) {
                    open->write("x");
                }
            });
        });
        exchange->write("x");
    });
    loop = &fixture.loop;
    call = fixture.client.start(fixture.endpoint(), {}, ConnectionUse::Pooled,
                                {
                                        .onHead = [](const ResponseHead &) {},
                                        .onData = [&call](std::string_view) { call.reset(); },
                                        .onEnd = [](CallOutcome) {},
                                });
    fixture.loop.run();
    CHECK(gone);
    CHECK(fixture.server->openExchanges() == 0);
}

TEST_CASE("a paused call slows the server down")
{
    constexpr size_t total = 16U << 20U;
    size_t written = 0;
    Fixture fixture([&written](const std::shared_ptr<Exchange> &exchange) {
        exchange->startStream(200, {});
        std::weak_ptr<Exchange> weak = exchange;
        exchange->onDrained([weak, &written] {
            const std::shared_ptr<Exchange> open = weak.lock();
            if (written >= total) {
                open->finish();
                return;
            }
            constexpr size_t piece = 65536;
            written += piece;
            open->write(std::string(piece, 'x'));
        });
        exchange->write("x");
    });
    Outcome outcome;
    CallHandlers handlers = handlersInto(outcome, fixture.loop);
    std::unique_ptr<Call> call;
    bool paused = false;
    size_t writtenWhenPaused = 0;
    handlers.onData = [&](std::string_view data) {
        outcome.body += data;
        if (!paused) {
            paused = true;
            call->pause();
            fixture.loop.startTimer(200ms, [&] {
                writtenWhenPaused = written;
                call->resume();
            });
        }
    };
    call = fixture.client.start(fixture.endpoint(), {}, ConnectionUse::Pooled, handlers);
    fixture.loop.run();
    REQUIRE(outcome.end == CallOutcome::Complete);
    CHECK(outcome.body.size() == total + 1);
    CHECK(writtenWhenPaused < total);
}

TEST_CASE("a body over the limit is rejected with the headers of errorHeaders")
{
    EventLoop loop;
    Server server(loop,
                  {.maxBodyBytes = 10,
                   .errorHeaders =
                           [](int status) {
                               return Headers{{"x-result", std::to_string(status)}};
                           }},
                  [](const std::shared_ptr<Exchange> &exchange) { exchange->respond({}); });
    REQUIRE_FALSE(server.listen());
    loop.startTimer(20s, [&loop] { loop.stop(); });
    Client client(loop, {});
    Outcome outcome;
    std::string marker;
    CallHandlers handlers = handlersInto(outcome, loop);
    handlers.onHead = [&](const ResponseHead &head) {
        outcome.status = head.status;
        marker = findHeader(head.headers, "x-result");
    };
    const std::unique_ptr<Call> call = client.start(
            {.address = "127.0.0.1", .port = server.port()},
            {.method = "POST", .body = std::string(11, 'x')}, ConnectionUse::Fresh, handlers);
    loop.run();
    CHECK(outcome.status == 413);
    CHECK(marker == "413");
}

TEST_CASE("timers fire in order and a cancelled one does not")
{
    EventLoop loop;
    std::string order;
    loop.startTimer(20ms, [&] {
        order += "b";
        loop.stop();
    });
    loop.startTimer(1ms, [&] { order += "a"; });
    loop.cancelTimer(loop.startTimer(2ms, [&] { order += "x"; }));
    loop.run();
    CHECK(order == "ab");
}

TEST_CASE("a task posted from another thread runs on the loop")
{
    EventLoop loop;
    const std::thread::id here = std::this_thread::get_id();
    bool sameThread = false;
    std::thread other([&] {
        loop.post([&] {
            sameThread = std::this_thread::get_id() == here;
            loop.stop();
        });
    });
    loop.run();
    other.join();
    CHECK(sameThread);
}

TEST_CASE("endpoints are parsed strictly")
{
    Endpoint endpoint;
    CHECK(parseEndpoint("127.0.0.1:80", endpoint));
    CHECK(endpoint == Endpoint{.address = "127.0.0.1", .port = 80});
    CHECK_FALSE(parseEndpoint("127.0.0.1", endpoint));
    CHECK_FALSE(parseEndpoint("localhost:80", endpoint));
    CHECK_FALSE(parseEndpoint("127.0.0.1:99999", endpoint));
}

} // namespace teaseldrift::http
