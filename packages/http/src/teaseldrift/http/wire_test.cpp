/// Tests of malformed and unusual messages of targets and callers, at the level of bytes.

#include <array>
#include <thread>

#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "scripted_target.hpp"
#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/http/server.hpp"

namespace teaseldrift::http {

namespace {

using testing::CloseMode;
using testing::loopback;
using testing::ScriptedTarget;

struct ReceivedResponse
{
    int status = 0;
    std::string id;
    std::string body;
    CallOutcome end = CallOutcome::NotSent;
};

ReceivedResponse sendRequest(EventLoop &loop, Client &client, const Endpoint &endpoint,
                             const std::string &id)
{
    ReceivedResponse received;
    const std::unique_ptr<Call> call
            = client.start(endpoint, {.headers = {{"x-id", id}}}, ConnectionUse::Pooled,
                           {.matchesRequest =
                                    [id](const ResponseHead &head) {
                                        const std::string_view answered
                                                = findHeader(head.headers, "x-id");
                                        return answered.empty() || answered == id;
                                    },
                            .onHead =
                                    [&received](const ResponseHead &head) {
                                        received.status = head.status;
                                        received.id = findHeader(head.headers, "x-id");
                                    },
                            .onData = [&received](std::string_view data) { received.body += data; },
                            .onEnd =
                                    [&received, &loop](CallOutcome end) {
                                        received.end = end;
                                        loop.stop();
                                    }});
    const EventLoop::TimerId watchdog = loop.startTimer(10s, [&loop] { loop.stop(); });
    loop.run();
    loop.cancelTimer(watchdog);
    return received;
}

ReceivedResponse sendSingleRequest(std::vector<std::string> responses, CloseMode closeMode)
{
    EventLoop loop;
    Client client(loop, {});
    const ScriptedTarget target(std::move(responses), closeMode);
    return sendRequest(loop, client, target.endpoint(), "1");
}

constexpr const char *okHead = "HTTP/1.1 200 OK\r\n";

} // namespace

TEST_CASE("a response without a length ends with its connection")
{
    const ReceivedResponse received
            = sendSingleRequest({std::string(okHead) + "\r\nhello"}, CloseMode::Close);
    CHECK(received.end == CallOutcome::Complete);
    CHECK(received.body == "hello");
}

TEST_CASE("a response without a length is incomplete if its connection is reset")
{
    const ReceivedResponse received
            = sendSingleRequest({std::string(okHead) + "\r\nhello"}, CloseMode::Reset);
    CHECK(received.status == 200);
    CHECK(received.end == CallOutcome::Broken);
}

TEST_CASE("a truncated response is incomplete")
{
    CHECK(sendSingleRequest({std::string(okHead) + "content-length: 10\r\n\r\nhello"},
                            CloseMode::Close)
                  .end
          == CallOutcome::Broken);
    CHECK(sendSingleRequest(
                  {std::string(okHead) + "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n"},
                  CloseMode::Close)
                  .end
          == CallOutcome::Broken);
}

TEST_CASE("bytes that are not a valid response end the call as Broken")
{
    CHECK(sendSingleRequest({"nonsense\r\n\r\n"}, CloseMode::Close).end == CallOutcome::Broken);
    CHECK(sendSingleRequest({std::string(okHead) + "content-length: -5\r\n\r\n"}, CloseMode::Close)
                  .end
          == CallOutcome::Broken);
    CHECK(sendSingleRequest({std::string(okHead) + "transfer-encoding: chunked\r\n\r\nzz\r\n"},
                            CloseMode::Close)
                  .end
          == CallOutcome::Broken);
    CHECK(sendSingleRequest(
                  {std::string(okHead) + "content-length: 2\r\ncontent-length: 5\r\n\r\nhello"},
                  CloseMode::Close)
                  .end
          == CallOutcome::Broken);
}

// Guards against targets that send bytes without end until their connection is closed.
TEST_CASE("a response head, a chunk size or a trailer without an end ends the call as Broken")
{
    const std::string chunked = std::string(okHead) + "transfer-encoding: chunked\r\n\r\n";
    const std::string endless(1U << 20U, '0');
    const std::string unfinished
            = GENERATE_COPY(okHead + std::string("x: ") + endless, chunked + endless,
                            chunked + "5;" + endless, chunked + "0\r\nx: " + endless);
    const Instant startedAt = EventLoop::now();
    CHECK(sendSingleRequest({unfinished}, CloseMode::Keep).end == CallOutcome::Broken);
    CHECK(EventLoop::now() - startedAt < 5s);
}

TEST_CASE("a response body larger than the request allows ends the call as Broken")
{
    constexpr size_t limit = 64U << 10U;
    const ScriptedTarget target({okHead + std::string("\r\n") + std::string(1U << 20U, 'x')},
                                CloseMode::Keep);
    EventLoop loop;
    Client client(loop, {});
    size_t received = 0;
    CallOutcome end = CallOutcome::NotSent;
    const std::unique_ptr<Call> call = client.start(
            target.endpoint(), {.maxResponseBytes = limit}, ConnectionUse::Pooled,
            {.onHead = [](const ResponseHead &) {},
             .onData = [&received](std::string_view data) { received += data.size(); },
             .onEnd =
                     [&](CallOutcome outcome) {
                         end = outcome;
                         loop.stop();
                     }});
    loop.startTimer(5s, [&loop] { loop.stop(); });
    loop.run();
    CHECK(end == CallOutcome::Broken);
    CHECK(received <= limit);
}

TEST_CASE("interim responses are skipped")
{
    const ReceivedResponse received
            = sendSingleRequest({std::string("HTTP/1.1 100 Continue\r\n\r\n") + okHead
                                 + "content-length: 5\r\n\r\nhello"},
                                CloseMode::Keep);
    CHECK(received.status == 200);
    CHECK(received.body == "hello");
}

TEST_CASE("a stray response before the matching one is discarded")
{
    const std::string stray = std::string(okHead) + "x-id: 0\r\ncontent-length: 5\r\n\r\nstray";
    const std::string right = std::string(okHead) + "x-id: 1\r\ncontent-length: 5\r\n\r\nright";
    const ReceivedResponse received = sendSingleRequest({stray + right}, CloseMode::Keep);
    CHECK(received.end == CallOutcome::Complete);
    CHECK(received.id == "1");
    CHECK(received.body == "right");
}

TEST_CASE("a connection with bytes after its response is not reused")
{
    EventLoop loop;
    Client client(loop, {});
    const std::string response = std::string(okHead) + "content-length: 5\r\n\r\nhello";
    const ScriptedTarget target({response + response}, CloseMode::Keep);
    CHECK(sendRequest(loop, client, target.endpoint(), "1").body == "hello");
    // The second call needs a new connection, which the target does not accept, so that no stale
    // response is returned.
    Client clientWithTimeout(loop, {.ioTimeout = 200ms});
    CHECK(sendRequest(loop, clientWithTimeout, target.endpoint(), "2").body.empty());
}

namespace {

/// Sends bytes to a strict server and returns everything received.
std::string exchangeBytes(const std::string &request, const Server::Handler &handler)
{
    EventLoop loop;
    Server server(loop, {.isStrict = true}, handler);
    REQUIRE_FALSE(server.listen());
    std::string response;
    std::thread caller([&] {
        const int connection = ::socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in address = loopback(server.port());
        REQUIRE(::connect(connection, reinterpret_cast<const sockaddr *>(&address), sizeof(address))
                == 0);
        ::send(connection, request.data(), request.size(), MSG_NOSIGNAL);
        const timeval receiveTimeout{.tv_sec = 0, .tv_usec = 500000};
        ::setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout, sizeof(receiveTimeout));
        std::array<char, 4096> buffer{};
        ssize_t size = 0;
        while ((size = ::recv(connection, buffer.data(), buffer.size(), 0)) > 0) {
            response.append(buffer.data(), static_cast<size_t>(size));
        }
        ::close(connection);
        loop.stop();
    });
    loop.run();
    caller.join();
    return response;
}

/// Counts the requests that reach the handler.
std::string exchangeBytes(const std::string &request, int &handled)
{
    return exchangeBytes(request, [&handled](const std::shared_ptr<Exchange> &exchange) {
        ++handled;
        exchange->respond({.body = "ok"});
    });
}

} // namespace

TEST_CASE("an aborted stream ends by closing the connection, without further bytes")
{
    const std::string response = exchangeBytes("GET / HTTP/1.1\r\nhost: a\r\n\r\n",
                                               [](const std::shared_ptr<Exchange> &exchange) {
                                                   exchange->startStream(200, {});
                                                   exchange->write("hello");
                                                   exchange->abortAfterWrites();
                                               });
    CHECK(response.substr(response.find("\r\n\r\n") + 4) == "5\r\nhello\r\n");
}

TEST_CASE("a request smuggled behind an ambiguous head is not run")
{
    const std::string hidden = "GET /hidden HTTP/1.1\r\nhost: a\r\n\r\n";
    const std::array<std::string, 6> heads{
            "content-length: 4\r\ntransfer-encoding: chunked\r\n",
            "transfer-encoding: chunked\r\ncontent-length: 4\r\n",
            "content-length: 0\r\ncontent-length: " + std::to_string(hidden.size()) + "\r\n",
            "content-length : 4\r\n",
            "x-folded: a\r\n content-length: 4\r\n",
            "host: b\r\n"};
    for (const std::string &head : heads) {
        int handled = 0;
        const std::string response = exchangeBytes(
                "POST / HTTP/1.1\r\nhost: a\r\n" + head + "\r\n0\r\n\r\n" + hidden, handled);
        INFO(head);
        CHECK(handled == 0);
        CHECK(response.find("HTTP/1.1 200") == std::string::npos);
    }
}

TEST_CASE("a chunked request is handled, and no data after it is read")
{
    int handled = 0;
    const std::string response = exchangeBytes(
            "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
            "GET /hidden HTTP/1.1\r\nhost: a\r\n\r\n",
            handled);
    CHECK(handled == 1);
    CHECK(response.find("Connection: close") != std::string::npos);
}

TEST_CASE("pipelined requests with valid lengths are all handled")
{
    int handled = 0;
    exchangeBytes("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc"
                  "GET /next HTTP/1.1\r\nhost: a\r\n\r\n",
                  handled);
    CHECK(handled == 2);
}

} // namespace teaseldrift::http
