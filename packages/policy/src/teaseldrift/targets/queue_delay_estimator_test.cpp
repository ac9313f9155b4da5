#include "teaseldrift/targets/queue_delay_estimator.hpp"

#include <catch2/catch.hpp>

namespace teaseldrift {

namespace {

const Instant start(100s);

} // namespace

TEST_CASE("a wait caused by other VMs is learned from own requests and decays")
{
    QueueDelayEstimator queue({.gain = 1.0});
    const uint64_t ticket = queue.sent(0, 100ms, start);
    queue.prefillFinished(ticket, start + 500ms);
    CHECK(queue.expectedWait(0, start + 500ms) == 400ms);
    CHECK(queue.expectedWait(0, start + 1200ms) == 200ms);
    CHECK(queue.expectedWait(0, start + 10s) < 1ms);
}

TEST_CASE("a pending request counts before its prefill has finished")
{
    QueueDelayEstimator queue;
    const uint64_t ticket = queue.sent(0, 100ms, start);
    CHECK(queue.expectedWait(0, start + 50ms) == 0ms);
    CHECK(queue.expectedWait(0, start + 600ms) == 500ms);
    queue.dropped(ticket);
    CHECK(queue.expectedWait(0, start + 600ms) == 0ms);
}

TEST_CASE("waits at a lower priority do not affect the estimate for higher ones")
{
    QueueDelayEstimator queue({.gain = 1.0});
    queue.prefillFinished(queue.sent(2, 0ms, start), start + 1s);
    CHECK(queue.expectedWait(0, start + 1s) == 0ms);
    CHECK(queue.expectedWait(2, start + 1s) == 1s);
    queue.prefillFinished(queue.sent(0, 0ms, start + 1s), start + 3s);
    CHECK(queue.expectedWait(2, start + 3s) == 2s);
}

} // namespace teaseldrift
