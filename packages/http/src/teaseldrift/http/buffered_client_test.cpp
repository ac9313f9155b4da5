#include "teaseldrift/http/buffered_client.hpp"

#include <catch2/catch.hpp>

#include "scripted_target.hpp"

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

} // namespace teaseldrift::http
