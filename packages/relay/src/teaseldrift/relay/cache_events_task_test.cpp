#include "teaseldrift/relay/cache_events_task.hpp"

#include <string>

#include <fcntl.h>

#include <catch2/catch.hpp>

namespace teaseldrift::relay {

namespace {

/// Responds to each poll with the same notice.
struct FakeChannel
{
    void requestCacheEvents(
            std::string_view /*address*/, uint64_t /*since*/,
            const std::function<void(std::optional<CacheEvents>, const TargetNotice &)> &handler)
    {
        ++polls;
        handler(std::nullopt, notice);
    }

    int polls = 0;
    TargetNotice notice;
};

/// Polls one target every 10 ms for 100 ms.
/// @param formerId another target that is still registered at the same address; empty for none
int pollsWithin100Ms(const TargetNotice &notice, const std::string &formerId = {})
{
    http::EventLoop loop;
    telemetry::EventLog log({.descriptor = ::open("/dev/null", O_WRONLY | O_CLOEXEC)});
    FleetState fleet({.vmId = "vm", .minVmCount = 1}, log, http::EventLoop::now());
    http::Client peers(loop, {});
    CacheEventExchange exchange(loop, peers);
    fleet.applyTarget({.id = "t",
                       .service = "writer",
                       .address = "10.0.0.1:80",
                       .startedAtMs = 1,
                       .weights = {{"m", 1}}},
                      http::EventLoop::now());
    FakeChannel channel{.notice = notice};
    if (!formerId.empty()) {
        fleet.applyTarget({.id = formerId,
                           .service = "writer",
                           .address = "10.0.0.1:80",
                           .weights = {{"m", 1}}},
                          http::EventLoop::now());
        fleet.applyNotice("t", 1, {.requestsPerSecond = 2.0}, http::EventLoop::now());
    }
    CacheEventsTask<FakeChannel> task(loop, channel, exchange, fleet,
                                      {.pollInterval = 10ms, .tick = 10ms});
    task.start();
    loop.startTimer(100ms, [&loop] { loop.stop(); });
    loop.run();
    return channel.polls;
}

} // namespace

TEST_CASE("a target that responded to a poll that it is leaving or wants quiet is not polled again")
{
    CHECK(pollsWithin100Ms({}) > 1);
    CHECK(pollsWithin100Ms({.isLeaving = true}) == 1);
    CHECK(pollsWithin100Ms({.quietTime = 60s}) == 1);
}

// Guards against polls of all VMs that exceed a target's limit without any request (LIMIT).
TEST_CASE("a target that names a limit is not polled")
{
    CHECK(pollsWithin100Ms({.requestsPerSecond = 2.0}) == 1);
    CHECK(pollsWithin100Ms({}, "former") == 0);
}

} // namespace teaseldrift::relay
