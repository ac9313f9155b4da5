/// Tests that connections whose callers leave are closed and freed.

#include <algorithm>
#include <array>
#include <dirent.h>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "scripted_target.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/http/server.hpp"

namespace teaseldrift::http {

namespace {

size_t openDescriptors()
{
    size_t count = 0;
    DIR *directory = ::opendir("/proc/self/fd");
    while (::readdir(directory) != nullptr) {
        ++count;
    }
    ::closedir(directory);
    return count;
}

/// A server that keeps the exchanges it receives.
struct HoldingServer
{
    EventLoop loop;
    std::vector<std::shared_ptr<Exchange>> exchanges;
    size_t answeredCount = 0;
    Server server{loop, {}, [this](const std::shared_ptr<Exchange> &exchange) {
                      if (exchange->path() == "/answered") {
                          ++answeredCount;
                          exchange->respond({.body = "ok"});
                          return;
                      }
                      exchanges.push_back(exchange);
                  }};

    HoldingServer() { REQUIRE_FALSE(server.listen()); }

    /// @return false if it does not become true within a time that is enough on a busy machine
    bool runUntil(const std::function<bool()> &isTrue)
    {
        constexpr int rounds = 1000;
        for (int i = 0; i < rounds && !isTrue(); ++i) {
            loop.startTimer(5ms, [this] { loop.stop(); });
            loop.run();
        }
        return isTrue();
    }

    bool runUntilHeld(size_t count)
    {
        return runUntil([this, count] { return exchanges.size() == count; });
    }

    bool runUntilFreed(size_t descriptors)
    {
        return runUntil([this, descriptors] {
            return server.openExchanges() == 0 && openDescriptors() == descriptors;
        });
    }

    [[nodiscard]] std::vector<int> connect(size_t count) const
    {
        std::vector<int> sockets;
        for (size_t i = 0; i < count; ++i) {
            const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const sockaddr_in address = testing::loopback(server.port());
            REQUIRE(::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address))
                    == 0);
            sockets.push_back(socket);
        }
        return sockets;
    }
};

void sendAll(const std::vector<int> &sockets, std::string_view bytes)
{
    for (const int socket : sockets) {
        REQUIRE(::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL)
                == static_cast<ssize_t>(bytes.size()));
    }
}

void closeAll(const std::vector<int> &sockets)
{
    for (const int socket : sockets) {
        ::close(socket);
    }
}

constexpr std::string_view held = "GET /held HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr std::string_view answered = "GET /answered HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr size_t callerCount = 100;

} // namespace

// Guards against a descriptor leak: the connection of a caller that left before its response began
// was shut down but never freed.
TEST_CASE("aborting requests without a response frees their connections")
{
    HoldingServer holder;
    const size_t before = openDescriptors();
    const bool isKept = GENERATE(false, true);
    const bool isPipelined = GENERATE(false, true);
    const bool leavesFirst = GENERATE(false, true);
    CAPTURE(isKept, isPipelined, leavesFirst);
    const std::vector<int> callers = holder.connect(callerCount);
    if (isKept) {
        sendAll(callers, answered);
        CHECK(holder.runUntil([&] { return holder.answeredCount == callerCount; }));
    }
    sendAll(callers, isPipelined ? std::string(held) + std::string(held) : std::string(held));
    REQUIRE(holder.runUntilHeld(callerCount));
    if (leavesFirst) {
        closeAll(callers);
    }
    for (const std::shared_ptr<Exchange> &exchange : holder.exchanges) {
        CHECK(exchange->isCallerDisconnected() == leavesFirst);
        exchange->abort();
        exchange->abort();
    }
    const size_t clients = leavesFirst ? 0 : callerCount;
    CHECK(holder.runUntilFreed(before + clients));
    if (!leavesFirst) {
        // An aborted request has no response, not even a part of one.
        for (const int caller : callers) {
            std::array<char, 512> bytes{};
            ssize_t length = ::recv(caller, bytes.data(), bytes.size(), MSG_DONTWAIT);
            const std::string_view received(bytes.data(),
                                            static_cast<size_t>(std::max<ssize_t>(length, 0)));
            CHECK(received.find("500") == std::string_view::npos);
            CHECK((length == 0 || isKept || isPipelined));
        }
        closeAll(callers);
    }
    CHECK(holder.server.openExchanges() == 0);
    CHECK(openDescriptors() == before);
}

// Guards against connections that stay open because an upload was incomplete.
TEST_CASE("incomplete uploads of callers that left are freed")
{
    HoldingServer holder;
    const size_t before = openDescriptors();
    const std::vector<int> callers = holder.connect(callerCount);
    sendAll(callers, "POST /held HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nabc");
    CHECK(holder.runUntil([&] { return openDescriptors() == before + 2 * callerCount; }));
    closeAll(callers);
    CHECK(holder.runUntilFreed(before));
    CHECK(holder.server.openExchanges() == 0);
    CHECK(openDescriptors() == before);
}

// Guards against use of freed connections if the response is refused after the caller left.
TEST_CASE("responses to callers that left free their connections")
{
    HoldingServer holder;
    const size_t before = openDescriptors();
    const std::vector<int> callers = holder.connect(callerCount);
    sendAll(callers, held);
    REQUIRE(holder.runUntilHeld(callerCount));
    closeAll(callers);
    for (const std::shared_ptr<Exchange> &exchange : holder.exchanges) {
        exchange->respond({.status = 503});
        exchange->abort();
    }
    CHECK(holder.runUntilFreed(before));
    CHECK(holder.server.openExchanges() == 0);
    CHECK(openDescriptors() == before);
}

} // namespace teaseldrift::http
