#include "teaseldrift/http/buffered_client.hpp"

#include <catch2/catch.hpp>

#include "scripted_target.hpp"
#include "teaseldrift/http/server.hpp"

namespace teaseldrift::http {

namespace {

using testing::CloseMode;
using testing::ScriptedTarget;

constexpr const char *okHead = "HTTP/1.1 200 OK\r\n";

BufferedResponse call(const Endpoint &endpoint, Request request, Duration timeout)
{
    EventLoop loop;
    Client client(loop, {});
    BufferedClient calls(loop, client);
    BufferedResponse result;
    calls.start(endpoint, std::move(request), timeout, [&](const BufferedResponse &response) {
        result = response;
        loop.stop();
    });
    loop.run();
    return result;
}

CallFailure failureOf(const std::string &bytes, CloseMode closeMode)
{
    const ScriptedTarget target({bytes}, closeMode);
    return call(target.endpoint(), {}, 300ms).failure;
}

} // namespace

TEST_CASE("a failed call states why it failed")
{
    const std::string part = std::string(okHead) + "content-length: 10\r\n\r\nhello";
    CHECK(failureOf(part + "hello", CloseMode::Keep) == CallFailure::None);
    CHECK(failureOf("", CloseMode::Keep) == CallFailure::NoResponse);
    CHECK(failureOf(part, CloseMode::Keep) == CallFailure::Incomplete);
    CHECK(failureOf(part, CloseMode::Close) == CallFailure::Broken);
    Endpoint closed;
    {
        const ScriptedTarget target({}, CloseMode::Close);
        closed = target.endpoint();
    }
    CHECK(call(closed, {}, 300ms).failure == CallFailure::Refused);
}

// Guards against a large response over a slow link that is dropped each time before it has arrived
// (CONFIG).
TEST_CASE("a response that is being received may take longer than its time-out")
{
    constexpr int pieces = 6;
    EventLoop loop;
    Server server(loop, {}, [&loop](const std::shared_ptr<Exchange> &exchange) {
        exchange->startStream(200, {});
        for (int i = 0; i < pieces; ++i) {
            loop.startTimer(i * 100ms, [exchange, i] {
                exchange->write("x");
                if (i + 1 == pieces) {
                    exchange->finish();
                }
            });
        }
    });
    REQUIRE_FALSE(server.listen());
    const Endpoint endpoint{.address = "127.0.0.1", .port = server.port()};
    Client client(loop, {});
    BufferedClient calls(loop, client);
    const auto failureWithin = [&](CallTimeouts timeouts) {
        CallFailure failure = CallFailure::None;
        calls.start(endpoint, {}, timeouts, [&](const BufferedResponse &response) {
            failure = response.failure;
            loop.stop();
        });
        loop.run();
        return failure;
    };
    CHECK(failureWithin({.response = 250ms, .receiving = 2s}) == CallFailure::None);
    CHECK(failureWithin({.response = 250ms}) == CallFailure::Incomplete);
    CHECK(failureWithin({.response = 250ms, .receiving = 400ms}) == CallFailure::Incomplete);
}

TEST_CASE("a response that pauses ends at its time-out")
{
    const ScriptedTarget target({std::string(okHead) + "content-length: 10\r\n\r\nhello"},
                                CloseMode::Keep);
    EventLoop loop;
    Client client(loop, {});
    BufferedClient calls(loop, client);
    BufferedResponse result;
    const uint64_t number
            = calls.start(target.endpoint(), {}, CallTimeouts{.response = 500ms, .receiving = 10s},
                          [&](const BufferedResponse &response) {
                              result = response;
                              loop.stop();
                          });
    bool wasReceiving = false;
    bool isStillReceiving = true;
    loop.startTimer(100ms, [&] { wasReceiving = calls.isReceiving(number); });
    loop.startTimer(450ms, [&] { isStillReceiving = calls.isReceiving(number); });
    loop.run();
    CHECK(wasReceiving);
    CHECK_FALSE(isStillReceiving);
    CHECK(result.failure == CallFailure::Incomplete);
    CHECK(result.elapsed < 1s);
}

TEST_CASE("a response whose announced length exceeds the limit is not received")
{
    const ScriptedTarget target({std::string(okHead) + "content-length: 1001\r\n\r\n"},
                                CloseMode::Keep);
    const BufferedResponse response = call(target.endpoint(), {.maxResponseBytes = 1000}, 5s);
    CHECK(response.failure == CallFailure::TooLarge);
    CHECK(response.elapsed < 2s);
}

} // namespace teaseldrift::http
