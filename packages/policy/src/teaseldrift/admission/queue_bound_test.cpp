#include <algorithm>

#include <catch2/catch.hpp>

#include "teaseldrift/admission/queue_bound.hpp"
#include "teaseldrift/base/milliseconds.hpp"

namespace teaseldrift {

namespace {

struct RequestClass
{
    double perSecond = 0.0;
    double tokens = 0.0;
    Duration objective{0};
    double sent = 0.0;
    double inTime = 0.0;
};

/// Serves two classes from one first-come, first-served queue for 10 s, in steps of a millisecond.
/// @param isShared whether the queue is bounded by the shortest objective
void serve(RequestClass &shortPrompts, RequestClass &longPrompts, double tokensPerMs, bool isShared)
{
    constexpr int steps = 10000;
    double backlogTokens = 0.0;
    const auto offer = [&](RequestClass &requests) {
        constexpr double stepsPerSecond = 1000.0;
        const double arrivals = requests.perSecond / stepsPerSecond;
        requests.sent += arrivals;
        const Duration wait = fromMs(backlogTokens / tokensPerMs);
        const QueueBound bound{.objective = requests.objective,
                               .shortestObjective
                               = isShared ? shortPrompts.objective : requests.objective,
                               .timeLeft = 3s};
        if (isQueueTooLong(bound, wait)) {
            return;
        }
        backlogTokens += arrivals * requests.tokens;
        requests.inTime += wait <= requests.objective ? arrivals : 0.0;
    };
    for (int step = 0; step < steps; ++step) {
        offer(shortPrompts);
        offer(longPrompts);
        backlogTokens = std::max(0.0, backlogTokens - tokensPerMs);
    }
}

} // namespace

// Guards against long prompts with a lax objective that fill the queues, so that short prompts with
// a strict one are refused or late. The load: a burst of 2.3 times the long prompts that the fleet
// can serve beside the short ones, with a quarter of the targets gone.
TEST_CASE("a burst of long prompts leaves short prompts their part of the targets")
{
    constexpr double tokensPerMs = 45 * 48.2;
    const RequestClass shortPrompts{.perSecond = 222.0, .tokens = 1800.0, .objective = 500ms};
    const RequestClass longPrompts{.perSecond = 2.3 * 250.0, .tokens = 6610.0, .objective = 2500ms};
    RequestClass shortShared = shortPrompts;
    RequestClass longShared = longPrompts;
    serve(shortShared, longShared, tokensPerMs, true);
    RequestClass shortOwn = shortPrompts;
    RequestClass longOwn = longPrompts;
    serve(shortOwn, longOwn, tokensPerMs, false);
    // Without the shared bound, short prompts are served only until the queue exceeds their
    // objective once.
    CHECK(shortOwn.inTime < 0.2 * shortOwn.sent);
    CHECK(shortShared.inTime > 0.4 * shortShared.sent);
    // Neither class is starved: each is served at least a quarter as often as both together.
    const double served
            = (shortShared.inTime + longShared.inTime) / (shortShared.sent + longShared.sent);
    CHECK(shortShared.inTime > 0.25 * served * shortShared.sent);
    CHECK(longShared.inTime > 0.25 * served * longShared.sent);
}

// Guards against requests that wait although their deadline passes first.
TEST_CASE("a request is refused at once if its deadline passes in the queue")
{
    const QueueBound bound{.objective = 2s, .shortestObjective = 2s, .timeLeft = 300ms};
    CHECK(isQueueTooLong(bound, 300ms));
    CHECK_FALSE(isQueueTooLong(bound, 299ms));
}

} // namespace teaseldrift
