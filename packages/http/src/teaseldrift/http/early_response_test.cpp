/// Responses that begin while the request is still being sent, and responses with an invalid
/// status.

#include <algorithm>
#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include <netinet/tcp.h>

#include <catch2/catch.hpp>

#include "scripted_target.hpp"
#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"

namespace teaseldrift::http {

namespace {

using testing::loopback;

constexpr const char *okHead = "HTTP/1.1 200 OK\r\n";

/// Accepts connections one after the other. Its receive buffer is small, so that a long request is
/// still being sent when the script, which has read its head, responds.
class EarlyTarget
{
public:
    using Script = std::function<void(int connection)>;

    explicit EarlyTarget(Script script)
        : m_script(std::move(script)), m_listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        constexpr int receiveBuffer = 4096;
        ::setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
        sockaddr_in address = loopback(0);
        socklen_t length = sizeof(address);
        REQUIRE(::bind(m_listener, reinterpret_cast<sockaddr *>(&address), length) == 0);
        REQUIRE(::listen(m_listener, 8) == 0);
        ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &length);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { serve(); });
    }

    ~EarlyTarget()
    {
        ::shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        ::close(m_listener);
    }

    EarlyTarget(const EarlyTarget &) = delete;
    EarlyTarget &operator=(const EarlyTarget &) = delete;

    [[nodiscard]] Endpoint endpoint() const { return {.address = "127.0.0.1", .port = m_port}; }
    [[nodiscard]] int connections() const { return m_connections; }

private:
    void serve()
    {
        int connection = 0;
        while ((connection = ::accept(m_listener, nullptr, nullptr)) >= 0) {
            ++m_connections;
            std::string head;
            char byte = 0;
            while (head.find("\r\n\r\n") == std::string::npos
                   && ::recv(connection, &byte, 1, 0) == 1) {
                head += byte;
            }
            m_script(connection);
        }
    }

    Script m_script;
    int m_listener;
    std::atomic<int> m_connections = 0;
    uint16_t m_port = 0;
    std::thread m_thread;
};

void sendText(int connection, const std::string &text)
{
    ::send(connection, text.data(), text.size(), MSG_NOSIGNAL);
}

void reset(int connection)
{
    const linger now{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    ::close(connection);
}

void readBytes(int connection, size_t bytes)
{
    std::string buffer(64U << 10U, '\0');
    while (bytes > 0) {
        const ssize_t size = ::recv(connection, buffer.data(), std::min(bytes, buffer.size()), 0);
        if (size <= 0) {
            return;
        }
        bytes -= static_cast<size_t>(size);
    }
}

/// A client whose calls end the loop.
struct Caller
{
    struct Result
    {
        int status = 0;
        std::string body;
        CallOutcome outcome = CallOutcome::NotSent;
    };

    /// @param pause time for which the response is not read, from its head on
    Result send(const Endpoint &endpoint, Request request, Duration pause = Duration(0))
    {
        Result result;
        std::unique_ptr<Call> call;
        call = client.start(endpoint, std::move(request), ConnectionUse::Pooled,
                            {.onHead =
                                     [&](const ResponseHead &head) {
                                         result.status = head.status;
                                         if (pause > Duration(0)) {
                                             call->pause();
                                             loop.startTimer(pause, [&] { call->resume(); });
                                         }
                                     },
                             .onData = [&](std::string_view data) { result.body += data; },
                             .onEnd =
                                     [&](CallOutcome outcome) {
                                         result.outcome = outcome;
                                         loop.stop();
                                     }});
        const EventLoop::TimerId watchdog = loop.startTimer(10s, [this] { loop.stop(); });
        loop.run();
        loop.cancelTimer(watchdog);
        return result;
    }

    EventLoop loop;
    Client client{loop, {}};
};

constexpr size_t uploadSize = 4000000;

Request longUpload()
{
    return {.method = "POST", .body = std::string(uploadSize, 'x')};
}

Caller::Result resultOf(const std::string &response)
{
    const EarlyTarget target([&response](int connection) {
        sendText(connection, response);
        ::shutdown(connection, SHUT_WR);
        readBytes(connection, 1);
        ::close(connection);
    });
    Caller caller;
    return caller.send(target.endpoint(), {});
}

} // namespace

// Guards against a part of a response without a length that is taken for the whole, because a write
// took the error of the reset (MIXED).
TEST_CASE("a response without a length that is reset during the upload is incomplete")
{
    const int delayMs = GENERATE(0, 5, 50, 200);
    const Duration pause = GENERATE(Duration(0), Duration(300ms));
    CAPTURE(delayMs, toSeconds(pause));
    const EarlyTarget target([delayMs](int connection) {
        sendText(connection, std::string(okHead) + "\r\n" + std::string(3000, 'y'));
        std::this_thread::sleep_for(std::chrono::milliseconds(delayMs));
        reset(connection);
    });
    for (int i = 0; i < 5; ++i) {
        Caller caller;
        CHECK(caller.send(target.endpoint(), longUpload(), pause).outcome == CallOutcome::Broken);
    }
}

TEST_CASE("a response with a length or chunks that is reset during the upload is incomplete")
{
    const std::string head
            = GENERATE("content-length: 4000\r\n\r\n", "transfer-encoding: chunked\r\n\r\nbb8\r\n");
    const EarlyTarget target([&head](int connection) {
        sendText(connection, okHead + head + std::string(3000, 'y'));
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        reset(connection);
    });
    Caller caller;
    CHECK(caller.send(target.endpoint(), longUpload()).outcome == CallOutcome::Broken);
}

TEST_CASE("a response without a length is complete after the upload and an orderly close")
{
    const EarlyTarget target([](int connection) {
        readBytes(connection, uploadSize);
        sendText(connection, std::string(okHead) + "\r\n" + std::string(3000, 'y'));
        ::close(connection);
    });
    Caller caller;
    const Caller::Result result = caller.send(target.endpoint(), longUpload());
    CHECK(result.outcome == CallOutcome::Complete);
    CHECK(result.body.size() == 3000);
}

// The target has ended its response without an error; it may read on.
TEST_CASE("a response without a length is complete if the target only stops sending")
{
    const EarlyTarget target([](int connection) {
        sendText(connection, std::string(okHead) + "\r\n" + std::string(3000, 'y'));
        ::shutdown(connection, SHUT_WR);
        readBytes(connection, uploadSize);
        ::close(connection);
    });
    Caller caller;
    const Caller::Result result = caller.send(target.endpoint(), longUpload());
    CHECK(result.outcome == CallOutcome::Complete);
    CHECK(result.body.size() == 3000);
}

TEST_CASE("a whole response with a length is delivered although its upload is reset")
{
    const Duration pause = GENERATE(Duration(0), Duration(300ms));
    const EarlyTarget target([](int connection) {
        sendText(connection,
                 std::string(okHead) + "content-length: 3000\r\n\r\n" + std::string(3000, 'y'));
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        reset(connection);
    });
    Caller caller;
    for (int i = 1; i <= 3; ++i) {
        const Caller::Result result = caller.send(target.endpoint(), longUpload(), pause);
        CHECK(result.outcome == CallOutcome::Complete);
        CHECK(result.body.size() == 3000);
        // The connection is not used again.
        CHECK(target.connections() == i);
    }
}

TEST_CASE("a call that starts as such a response ends does not use its connection")
{
    const EarlyTarget target([](int connection) {
        sendText(connection, std::string(okHead) + "content-length: 3000\r\n\r\n");
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        sendText(connection, std::string(3000, 'y'));
        reset(connection);
    });
    Caller caller;
    bool isNextSent = true;
    std::unique_ptr<Call> next;
    std::unique_ptr<Call> call;
    call = caller.client.start(target.endpoint(), longUpload(), ConnectionUse::Pooled,
                               {.onHead =
                                        [&](const ResponseHead &) {
                                            call->pause();
                                            caller.loop.startTimer(200ms, [&] { call->resume(); });
                                        },
                                .onData = [](std::string_view) {},
                                .onEnd =
                                        [&](CallOutcome outcome) {
                                            CHECK(outcome == CallOutcome::Complete);
                                            next = caller.client.start(
                                                    target.endpoint(), {}, ConnectionUse::Pooled,
                                                    {.onHead = [](const ResponseHead &) {},
                                                     .onData = [](std::string_view) {},
                                                     .onEnd = [](CallOutcome) {}});
                                            isNextSent = next->maybeSent();
                                            caller.loop.stop();
                                        }});
    caller.loop.run();
    CHECK_FALSE(isNextSent);
}

// A part never looks whole, wherever the connection is reset, with a short request and a long one.
TEST_CASE("a response that is reset at any byte is complete only if its length has arrived")
{
    struct Case
    {
        std::string response;
        bool hasLength;
    };
    const Case each = GENERATE(
            Case{std::string(okHead) + "\r\nhello", false},
            Case{std::string(okHead) + "content-length: 5\r\n\r\nhello", true},
            Case{std::string(okHead)
                         + "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n"
                           "0\r\n\r\n",
                 true},
            Case{"HTTP/1.1 100 Continue\r\n\r\n" + std::string(okHead) + "\r\nhello", false});
    const bool isLong = GENERATE(false, true);
    std::atomic<size_t> length = 0;
    const EarlyTarget target([&](int connection) {
        sendText(connection, each.response.substr(0, length));
        std::this_thread::sleep_for(std::chrono::milliseconds(3));
        reset(connection);
    });
    for (size_t i = 0; i <= each.response.size(); ++i) {
        CAPTURE(each.response, i, isLong);
        length = i;
        Caller caller;
        const bool isWhole = each.hasLength && i == each.response.size();
        CHECK((caller.send(target.endpoint(), isLong ? longUpload() : Request()).outcome
               == CallOutcome::Complete)
              == isWhole);
    }
}

// Guards against a response whose status is none of the protocol, and whose body became part of the
// next one (MIXED).
TEST_CASE("a response with an invalid status ends the call as Broken")
{
    const std::string status
            = GENERATE("000", "001", "099", "101", "600", "999", "1000", "0200", "abc", "20", "");
    CAPTURE(status);
    const std::string body = "content-length: 5\r\n\r\nwrong";
    const std::string next = okHead + std::string("content-length: 5\r\n\r\nright");
    for (const std::string &response :
         {"HTTP/1.1 " + status + " \r\n" + body, "HTTP/1.1 " + status + " \r\n" + body + next,
          "HTTP/1.1 " + status + " \r\n\r\n" + next}) {
        const Caller::Result result = resultOf(response);
        CHECK(result.outcome == CallOutcome::Broken);
        CHECK(result.status == 0);
        CHECK(result.body.empty());
    }
}

TEST_CASE("interim responses are skipped up to a number")
{
    const std::string interim
            = "HTTP/1.1 " + std::string(GENERATE("100", "103", "199")) + " x\r\n\r\n";
    const std::string next = okHead + std::string("content-length: 5\r\n\r\nright");
    std::string several;
    for (int i = 0; i < 8; ++i) {
        several += interim;
    }
    CHECK(resultOf(several + next).body == "right");
    std::string many;
    for (int i = 0; i < 1000; ++i) {
        many += interim;
    }
    CHECK(resultOf(many + next).outcome == CallOutcome::Broken);
}

} // namespace teaseldrift::http
