#include "connect_timeout.hpp"

#include <catch2/catch.hpp>

namespace teaseldrift::http {

// Guards against connections that all fail while packets wait longer on the link than a fixed
// time-out (CONFIG).
TEST_CASE("the time-out of connections follows the time that they take")
{
    ConnectTimeout timeout(50ms, 500ms);
    CHECK(timeout.value() == 50ms);
    Instant now{1s};
    while (timeout.value() < 200ms) {
        timeout.failed(now, now + timeout.value());
        now += timeout.value();
    }
    for (int i = 0; i < 20; ++i) {
        timeout.succeeded(180ms);
    }
    CHECK(timeout.value() > 180ms);
    CHECK(timeout.value() < 300ms);
    for (int i = 0; i < 60; ++i) {
        timeout.succeeded(1ms);
    }
    CHECK(timeout.value() == 50ms);
}

TEST_CASE("connections that time out together count once, and there is a longest time-out")
{
    ConnectTimeout timeout(50ms, 500ms);
    const Instant start{1s};
    for (int i = 0; i < 10; ++i) {
        timeout.failed(start, start + 50ms);
    }
    CHECK(timeout.value() == 100ms);
    timeout.succeeded(1ms);
    CHECK(timeout.value() == 50ms);
    Instant now = start + 1s;
    for (int i = 0; i < 100; ++i) {
        timeout.failed(now, now + timeout.value());
        now += timeout.value();
    }
    CHECK(timeout.value() == 500ms);
    timeout.succeeded(1ms);
    CHECK(timeout.value() == 50ms);
}

} // namespace teaseldrift::http
