/// Tests of the bounds on what clients hold, with clients at the level of bytes.

#include "teaseldrift/http/connection_limiter.hpp"

#include <array>
#include <cerrno>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "scripted_target.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/http/server.hpp"

namespace teaseldrift::http {

namespace {

/// A client that sends what the kernel takes, and keeps the rest for later.
class RawClient
{
public:
    explicit RawClient(uint16_t port) : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const sockaddr_in address = testing::loopback(port);
        REQUIRE(::connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address))
                == 0);
        ::fcntl(m_socket, F_SETFL, O_NONBLOCK);
    }
    RawClient(RawClient &&other) noexcept
        : m_socket(std::exchange(other.m_socket, -1)), m_unsent(std::move(other.m_unsent))
    { }
    ~RawClient()
    {
        if (m_socket >= 0) {
            ::close(m_socket);
        }
    }

    void send(std::string_view bytes)
    {
        m_unsent += bytes;
        pump();
    }

    void pump()
    {
        while (!m_unsent.empty()) {
            const ssize_t sent = ::send(m_socket, m_unsent.data(), m_unsent.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return;
            }
            m_unsent.erase(0, static_cast<size_t>(sent));
        }
    }

    /// @return what has arrived; "closed" at the end if the connection is closed
    std::string receive()
    {
        std::string received;
        std::array<char, 4096> bytes{};
        while (true) {
            const ssize_t length = ::recv(m_socket, bytes.data(), bytes.size(), 0);
            if (length > 0) {
                received.append(bytes.data(), static_cast<size_t>(length));
            } else {
                return length < 0 && errno == EAGAIN ? received : received + "closed";
            }
        }
    }

private:
    int m_socket;
    std::string m_unsent;
};

struct LimitedServer
{
    EventLoop loop;
    std::vector<LimitReason> reasons;
    ConnectionLimiter limiter;
    std::vector<std::shared_ptr<Exchange>> held;
    size_t handled = 0;
    Server server;

    explicit LimitedServer(ConnectionLimits limits, size_t maxConnections = 0,
                           size_t bodyCopies = 0)
        : limiter(loop, limits,
                  [this](const LimitedConnection &limited) { reasons.push_back(limited.reason); }),
          server(loop,
                 {.limiter = &limiter,
                  .name = "test",
                  .maxConnections = maxConnections,
                  .bodyCopies = bodyCopies},
                 [this](const std::shared_ptr<Exchange> &exchange) {
                     ++handled;
                     if (exchange->path() == "/held") {
                         held.push_back(exchange);
                     } else {
                         exchange->respond({.body = "ok"});
                     }
                 })
    {
        REQUIRE_FALSE(server.listen());
    }

    /// Lets clients send until a condition is true, and a few rounds more.
    void run(std::vector<RawClient> &clients, const std::function<bool()> &isTrue)
    {
        constexpr int maxRounds = 1000;
        int roundsLeft = 5;
        for (int i = 0; i < maxRounds && roundsLeft > 0; ++i) {
            roundsLeft -= isTrue() ? 1 : 0;
            for (RawClient &client : clients) {
                client.pump();
            }
            loop.startTimer(5ms, [this] { loop.stop(); });
            loop.run();
        }
    }

    void runUntilLimited(std::vector<RawClient> &clients, size_t count)
    {
        run(clients, [this, count] { return reasons.size() >= count; });
    }

    std::vector<RawClient> connect(size_t count) const
    {
        std::vector<RawClient> clients;
        for (size_t i = 0; i < count; ++i) {
            clients.emplace_back(server.port());
        }
        return clients;
    }

    /// @return the response to an ordinary request
    std::string ordinaryResponse()
    {
        std::vector<RawClient> clients = connect(1);
        clients.front().send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc");
        std::string received;
        run(clients, [&] {
            received += clients.front().receive();
            return !received.empty();
        });
        return received;
    }
};

std::string post(std::string_view path, size_t length, size_t sent)
{
    return "POST " + std::string(path) + " HTTP/1.1\r\nHost: a\r\nContent-Length: "
           + std::to_string(length) + "\r\n\r\n" + std::string(sent, 'x');
}

constexpr size_t mebibyte = 1U << 20U;

} // namespace

// Guards against a process that ends because uploads that never end fill its memory.
TEST_CASE("incomplete uploads together hold no more than their budget")
{
    const bool isChunked = GENERATE(false, true);
    LimitedServer limited({.incompleteBytes = 4 * mebibyte});
    std::vector<RawClient> clients = limited.connect(20);
    for (RawClient &client : clients) {
        if (isChunked) {
            client.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "100000\r\n"
                        + std::string(mebibyte - 1, 'x'));
        } else {
            client.send(post("/", mebibyte, mebibyte - 1));
        }
    }
    limited.runUntilLimited(clients, 16);
    const ConnectionTotals totals = limited.limiter.totals();
    CHECK(totals.incompleteBytes <= 4 * mebibyte);
    CHECK(totals.incompleteBytes > mebibyte);
    CHECK(limited.handled == 0);
    CHECK(limited.reasons.size() >= 15);
    CHECK(limited.reasons.front() == LimitReason::IncompleteBytes);
    CHECK(limited.ordinaryResponse().starts_with("HTTP/1.1 200"));
}

// Guards against a request that runs although its caller received a refusal.
TEST_CASE("a request whose connection is closed never reaches the handler")
{
    LimitedServer limited({.incompleteBytes = mebibyte});
    std::vector<RawClient> clients = limited.connect(8);
    for (RawClient &client : clients) {
        client.send(post("/", mebibyte, mebibyte));
    }
    limited.run(clients, [&] { return limited.handled + limited.reasons.size() >= 8; });
    size_t served = 0;
    for (RawClient &client : clients) {
        served += client.receive().starts_with("HTTP/1.1 200") ? 1 : 0;
    }
    CHECK(limited.handled == served);
}

TEST_CASE("heads that never end are refused")
{
    LimitedServer limited({});
    std::vector<RawClient> clients = limited.connect(5);
    for (RawClient &client : clients) {
        client.send("GET / HTTP/1.1\r\nx: " + std::string(100000, 'y'));
    }
    limited.runUntilLimited(clients, 5);
    for (RawClient &client : clients) {
        CHECK(client.receive().ends_with("closed"));
    }
    CHECK(limited.reasons == std::vector<LimitReason>(5, LimitReason::HeadBytes));
}

TEST_CASE("a declared length that never fits is refused on the head")
{
    LimitedServer limited({.incompleteBytes = mebibyte});
    std::vector<RawClient> clients = limited.connect(1);
    clients.front().send(post("/", 2 * mebibyte, 0));
    limited.runUntilLimited(clients, 1);
    const std::string received = clients.front().receive();
    CHECK(received.starts_with("HTTP/1.1 413"));
    CHECK(received.ends_with("closed"));
    CHECK(limited.reasons == std::vector<LimitReason>{LimitReason::DeclaredLength});
}

// Guards against a body that stays in memory without being counted: h2o frees it only when the
// whole input buffer is consumed.
TEST_CASE("a body that is answered counts while its connection begins another request")
{
    LimitedServer limited({.incompleteBytes = 4 * mebibyte});
    std::vector<RawClient> clients = limited.connect(20);
    for (RawClient &client : clients) {
        client.send(post("/", mebibyte, mebibyte) + "P");
    }
    limited.runUntilLimited(clients, 16);
    CHECK(limited.limiter.totals().incompleteBytes <= 4 * mebibyte);
    CHECK(limited.reasons.size() >= 15);
    CHECK(limited.ordinaryResponse().starts_with("HTTP/1.1 200"));
}

// Guards against requests in handlers that hold any amount of memory with their copies.
TEST_CASE("a request that does not fit beside those that handlers have is refused")
{
    LimitedServer limited({.handledBytes = 8 * mebibyte}, 0, 2);
    std::vector<RawClient> clients = limited.connect(6);
    for (RawClient &client : clients) {
        client.send(post("/held", mebibyte, mebibyte));
    }
    limited.runUntilLimited(clients, 4);
    CHECK(limited.held.size() == 2);
    CHECK(limited.limiter.totals().handledBytes <= 8 * mebibyte);
    size_t refused = 0;
    for (RawClient &client : clients) {
        const std::string received = client.receive();
        refused += received.starts_with("HTTP/1.1 503")
                                   && received.find("retry-after: 1") != std::string::npos
                           ? 1
                           : 0;
    }
    CHECK(refused == 4);
    CHECK(limited.ordinaryResponse().starts_with("HTTP/1.1 200"));
    for (const std::shared_ptr<Exchange> &exchange : limited.held) {
        exchange->respond({});
    }
    limited.run(clients, [&] { return limited.limiter.totals().handledBytes == 0; });
    CHECK(limited.limiter.totals().handledBytes == 0);
}

// Guards against a process without descriptors because of clients that send nothing, or slowly.
TEST_CASE("new connections displace those of silent and slow clients")
{
    const std::string sent = GENERATE("", "GET / HTTP/1.1\r\nx: ");
    LimitedServer limited({}, 20);
    std::vector<RawClient> slow = limited.connect(60);
    for (RawClient &client : slow) {
        client.send(sent);
    }
    limited.runUntilLimited(slow, 40);
    const std::array<size_t, 5> states = limited.limiter.totals().connectionsByState;
    CHECK(states[0] + states[1] + states[2] <= 20);
    CHECK(limited.ordinaryResponse().starts_with("HTTP/1.1 200"));
    CHECK(limited.reasons.size() >= 40);
}

// Guards against connections that stay open because their clients read nothing.
TEST_CASE("connections whose clients do not read complete responses can be displaced")
{
    LimitedServer limited({}, 4);
    std::vector<RawClient> clients = limited.connect(4);
    for (RawClient &client : clients) {
        client.send(post("/held", 1, 1));
    }
    limited.run(clients, [&] { return limited.held.size() == 4; });
    REQUIRE(limited.held.size() == 4);
    const std::string large(16 * mebibyte, 'x');
    for (const std::shared_ptr<Exchange> &exchange : limited.held) {
        exchange->respond({.body = large});
    }
    limited.run(clients, [&] { return limited.limiter.totals().connectionsByState[4] == 4; });
    CHECK(limited.limiter.totals().connectionsByState[4] == 4);
    CHECK(limited.ordinaryResponse().starts_with("HTTP/1.1 200"));
}

} // namespace teaseldrift::http
