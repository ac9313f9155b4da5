#include "teaseldrift/attempts/request_state_machine.hpp"

#include <catch2/catch.hpp>

namespace teaseldrift {

namespace {

template <typename Action>
const Action *find(const RequestActions &actions)
{
    for (const RequestAction &action : actions) {
        if (std::holds_alternative<Action>(action)) {
            return &std::get<Action>(action);
        }
    }
    return nullptr;
}

/// A state machine whose first attempt has selected target "a".
struct Fixture
{
    RetryBudget budget;
    RequestStateMachine machine;
    Instant now{};

    explicit Fixture(RequestOptions options) : machine(options, budget)
    {
        machine.start(now);
        machine.targetSelected(1, "a", now);
    }

    void startResponse()
    {
        machine.sendStarted(1, now);
        machine.responseHeadReceived(1, {.status = 200}, now);
    }
};

constexpr RequestOptions streamOptions{.routeClass = schema::GENERATION,
                                       .responseMode = ResponseMode::Streamed};

} // namespace

TEST_CASE("a failed connection is retried on another target and finally reported as not run")
{
    Fixture fixture({.routeClass = schema::NON_IDEMPOTENT, .maxAttempts = 2});
    const RequestActions actions = fixture.machine.connectFailed(1, fixture.now);
    const StartAttempt *next = find<StartAttempt>(actions);
    REQUIRE(next != nullptr);
    CHECK(next->excludedTargets == std::vector<std::string>{"a"});
    CHECK(next->reason == schema::RETRY_CONNECT_FAILED);
    fixture.machine.targetSelected(2, "b", fixture.now);
    const RequestActions last = fixture.machine.connectFailed(2, fixture.now);
    REQUIRE(find<RefuseRequest>(last) != nullptr);
    CHECK(find<RefuseRequest>(last)->code == schema::CONNECT_FAILED);
    CHECK(find<RefuseRequest>(last)->ran == schema::RAN_NO);
    CHECK(find<RefuseRequest>(last)->retryAfter > Duration(0));
}

TEST_CASE("a request that another VM states it has not sent is retried and reported as not run")
{
    Fixture fixture({.routeClass = schema::NON_IDEMPOTENT, .maxAttempts = 2});
    fixture.machine.sendStarted(1, fixture.now);
    fixture.machine.nothingSent(1);
    CHECK(find<StartAttempt>(fixture.machine.connectFailed(1, fixture.now)) != nullptr);
    fixture.machine.targetSelected(2, "b", fixture.now);
    fixture.machine.sendStarted(2, fixture.now);
    // Of an attempt that is no longer current.
    fixture.machine.nothingSent(1);
    const RequestActions last = fixture.machine.connectFailed(2, fixture.now);
    REQUIRE(find<RefuseRequest>(last) != nullptr);
    CHECK(find<RefuseRequest>(last)->ran == schema::RAN_UNKNOWN);
}

TEST_CASE("a non-idempotent request that fails after it was sent has an unknown outcome")
{
    Fixture fixture({.routeClass = schema::NON_IDEMPOTENT});
    fixture.machine.sendStarted(1, fixture.now);
    const RequestActions actions = fixture.machine.attemptFailed(1, fixture.now);
    CHECK(find<StartAttempt>(actions) == nullptr);
    REQUIRE(find<RefuseRequest>(actions) != nullptr);
    CHECK(find<RefuseRequest>(actions)->code == schema::OUTCOME_UNKNOWN);
}

TEST_CASE("a non-idempotent request continues after its caller has disconnected")
{
    Fixture fixture({.routeClass = schema::NON_IDEMPOTENT});
    fixture.startResponse();
    CHECK(fixture.machine.callerDisconnected(fixture.now).empty());
    CHECK(find<CompleteResponse>(fixture.machine.responseComplete(1, fixture.now)) != nullptr);
}

TEST_CASE("a 503 for a non-idempotent request is forwarded unless the target reports it as not run")
{
    const ResponseSummary head{.status = 503, .retryAfter = 1s};
    CHECK(classifyResponse(head, schema::NON_IDEMPOTENT) == ResponseClass::Final);
    CHECK(classifyResponse(head, schema::IDEMPOTENT) == ResponseClass::NotRun);
    const ResponseSummary explicitHead{.status = 503, .reportsNotRun = true};
    CHECK(classifyResponse(explicitHead, schema::NON_IDEMPOTENT) == ResponseClass::NotRun);
}

TEST_CASE("a request without attempts left is refused immediately")
{
    Fixture fixture({.maxAttempts = 1});
    const RequestActions actions = fixture.machine.connectFailed(1, fixture.now);
    CHECK(find<RefuseRequest>(actions) != nullptr);
    CHECK_FALSE(fixture.machine.nextDeadline().has_value());
}

TEST_CASE("an exhausted retry budget ends a request instead of starting another attempt")
{
    Fixture fixture({});
    while (fixture.budget.tryAcquire(fixture.now, RetryPriority::Normal)) { }
    const RequestActions actions = fixture.machine.connectFailed(1, fixture.now);
    REQUIRE(find<RefuseRequest>(actions) != nullptr);
    CHECK(find<RefuseRequest>(actions)->code == schema::RETRY_BUDGET_SPENT);
    CHECK(fixture.machine.isRetryRefused());
}

// The budget's level was read without the refill since its last use, so the failure was passed on.
TEST_CASE("a failure after a quiet time is retried from the refilled budget")
{
    RetryBudget budget({.floor = 2.0, .floorRefillPerSecond = 1.0});
    Instant now(1s);
    while (budget.tryAcquire(now, RetryPriority::Normal)) { }
    now += 60s;
    RequestStateMachine machine({.routeClass = schema::IDEMPOTENT}, budget);
    machine.start(now);
    machine.targetSelected(1, "a", now);
    machine.sendStarted(1, now);
    const RequestActions actions = machine.responseHeadReceived(1, {.status = 500}, now);
    CHECK(find<StartAttempt>(actions) != nullptr);
}

TEST_CASE("a started stream uses the reserve of an exhausted retry budget")
{
    Fixture fixture(streamOptions);
    fixture.startResponse();
    fixture.machine.eventsReceived(1, {.first = 0, .count = 1}, fixture.now);
    while (fixture.budget.tryAcquire(fixture.now, RetryPriority::Normal)) { }
    const RequestActions actions = fixture.machine.attemptFailed(1, fixture.now);
    REQUIRE(find<StartAttempt>(actions) != nullptr);
    CHECK(find<StartAttempt>(actions)->kind == AttemptKind::Resume);
    CHECK(find<StartAttempt>(actions)->target == "a");
}

TEST_CASE("a stream that cannot be resumed is continued on another target")
{
    Fixture fixture(streamOptions);
    fixture.startResponse();
    fixture.machine.eventsReceived(1, {.first = 0, .count = 3}, fixture.now);
    fixture.machine.attemptFailed(1, fixture.now);
    fixture.machine.targetSelected(2, "a", fixture.now);
    const RequestActions actions = fixture.machine.connectFailed(2, fixture.now);
    const StartAttempt *next = find<StartAttempt>(actions);
    REQUIRE(next != nullptr);
    CHECK(next->kind == AttemptKind::Continuation);
    CHECK(next->position == 3);
    CHECK(next->excludedTargets == std::vector<std::string>{"a"});
}

TEST_CASE("a stream that can be neither resumed nor continued ends with an error")
{
    Fixture fixture({.routeClass = schema::GENERATION,
                     .responseMode = ResponseMode::Streamed,
                     .targetsResume = false});
    fixture.startResponse();
    fixture.machine.eventsReceived(1, {.first = 0, .count = 3}, fixture.now);
    fixture.machine.forbidContinuation();
    const RequestActions actions = fixture.machine.attemptFailed(1, fixture.now);
    CHECK(find<EndStreamWithError>(actions) != nullptr);
}

TEST_CASE("a stream ends immediately if no continuation request can be built")
{
    Fixture fixture({.routeClass = schema::GENERATION,
                     .responseMode = ResponseMode::Streamed,
                     .targetsResume = false});
    fixture.startResponse();
    fixture.machine.eventsReceived(1, {.first = 0, .count = 3}, fixture.now);
    CHECK(find<StartAttempt>(fixture.machine.attemptFailed(1, fixture.now)) != nullptr);
    fixture.machine.forbidContinuation();
    CHECK(find<EndStreamWithError>(fixture.machine.noTargetAvailable(2, fixture.now)) != nullptr);
}

TEST_CASE("a stream closed without its end marker is not complete")
{
    Fixture fixture(streamOptions);
    fixture.startResponse();
    fixture.machine.eventsReceived(1, {.first = 0, .count = 3}, fixture.now);
    const RequestActions actions = fixture.machine.responseComplete(1, fixture.now);
    CHECK(find<CompleteResponse>(actions) == nullptr);
    CHECK(find<StartAttempt>(actions) != nullptr);
}

TEST_CASE("a target without progress is replaced after the progress time-out")
{
    Fixture fixture(streamOptions);
    fixture.startResponse();
    fixture.machine.eventsReceived(1, {.first = 0, .count = 1}, fixture.now);
    const Instant due = *fixture.machine.nextDeadline();
    CHECK(due == fixture.now + streamOptions.progressTimeout);
    CHECK(fixture.machine.timerExpired(due - 1us).empty());
    const RequestActions actions = fixture.machine.timerExpired(due);
    CHECK(find<CancelAttempt>(actions) != nullptr);
    CHECK(find<StartAttempt>(actions) != nullptr);
}

TEST_CASE("a pause of this VM does not count as a time-out of the target")
{
    Fixture fixture(streamOptions);
    fixture.startResponse();
    fixture.machine.eventsReceived(1, {.first = 0, .count = 1}, fixture.now);
    const Instant late = *fixture.machine.nextDeadline() + 10s;
    CHECK(fixture.machine.timerExpired(late).empty());
    CHECK(*fixture.machine.nextDeadline() == late + streamOptions.progressTimeout);
}

TEST_CASE("events of an aborted attempt are ignored")
{
    Fixture fixture(streamOptions);
    fixture.machine.connectFailed(1, fixture.now);
    CHECK_FALSE(fixture.machine.isCurrent(1));
    CHECK(find<CancelAttempt>(
            fixture.machine.eventsReceived(1, {.first = 0, .count = 1}, fixture.now)));
    CHECK(fixture.machine.endMarkerReceived(1, fixture.now).empty());
    CHECK(fixture.machine.attemptFailed(1, fixture.now).empty());
    CHECK(fixture.machine.deliveredPositions() == 0);
}

TEST_CASE("when all targets have failed, they are retried after a backoff")
{
    Fixture fixture({});
    fixture.machine.connectFailed(1, fixture.now);
    CHECK(fixture.machine.noTargetAvailable(2, fixture.now).empty());
    CHECK(fixture.machine.phase() == RequestPhase::BackingOff);
    const RequestActions actions = fixture.machine.timerExpired(*fixture.machine.nextDeadline());
    REQUIRE(find<StartAttempt>(actions) != nullptr);
    CHECK(find<StartAttempt>(actions)->excludedTargets.empty());
}

TEST_CASE("the retry budget grows with the number of requests and refills to its floor")
{
    RetryBudget budget({.ratio = 0.1, .floor = 2, .capacity = 5, .floorRefillPerSecond = 1});
    Instant now{};
    CHECK(budget.tryAcquire(now, RetryPriority::Normal));
    CHECK(budget.tryAcquire(now, RetryPriority::Normal));
    CHECK_FALSE(budget.tryAcquire(now, RetryPriority::Normal));
    for (int i = 0; i < 11; ++i) {
        budget.countRequest();
    }
    CHECK(budget.tryAcquire(now, RetryPriority::Normal));
    CHECK_FALSE(budget.tryAcquire(now, RetryPriority::Normal));
    now += 60s;
    CHECK(budget.tryAcquire(now, RetryPriority::Normal));
    CHECK(budget.tryAcquire(now, RetryPriority::Normal));
    CHECK_FALSE(budget.tryAcquire(now, RetryPriority::Normal));
}

TEST_CASE("a request waits for a target that has asked to be left alone, a bounded number of times")
{
    RetryBudget budget;
    RequestStateMachine machine({.deadline = 10s, .maxWaits = 2}, budget);
    const Instant now{};
    machine.start(now);
    CHECK(machine.waitForTarget(1, now + 1s, now).empty());
    CHECK(machine.nextDeadline() == now + 1s);
    CHECK(machine.timerExpired(now + 999ms).empty());
    REQUIRE(find<StartAttempt>(machine.timerExpired(now + 1s)) != nullptr);
    CHECK(machine.waitForTarget(2, now + 2s, now + 1s).empty());
    REQUIRE(find<StartAttempt>(machine.timerExpired(now + 2s)) != nullptr);
    const RequestActions actions = machine.waitForTarget(3, now + 5s, now + 2s);
    const RefuseRequest *refusal = find<RefuseRequest>(actions);
    REQUIRE(refusal != nullptr);
    CHECK(refusal->ran == schema::RAN_NO);
    CHECK(refusal->retryAfter == 3s);
}

TEST_CASE("a request is refused at once if no target returns before its deadline")
{
    Fixture fixture({.routeClass = schema::NON_IDEMPOTENT, .deadline = 10s});
    fixture.machine.sendStarted(1, fixture.now);
    // The refusal excludes the only target; its backoff would hold the request.
    fixture.machine.responseHeadReceived(
            1, {.status = 503, .retryAfter = 20s, .reportsNotRun = true}, fixture.now);
    const RequestActions actions = fixture.machine.waitForTarget(2, fixture.now + 20s, fixture.now);
    const RefuseRequest *refusal = find<RefuseRequest>(actions);
    REQUIRE(refusal != nullptr);
    CHECK(refusal->ran == schema::RAN_NO);
    CHECK(refusal->retryAfter == 20s);
}

} // namespace teaseldrift

TEST_CASE("attempts refused by their targets do not count as runs")
{
    using namespace teaseldrift;
    RetryBudget budget({.floor = 10.0});
    RequestStateMachine machine({.routeClass = schema::IDEMPOTENT, .maxAttempts = 5, .maxRuns = 1},
                                budget);
    const Instant now(1s);
    machine.start(now);
    for (AttemptId id = 1; id <= 3; ++id) {
        machine.targetSelected(id, "t" + std::to_string(id), now);
        machine.sendStarted(id, now);
        machine.responseHeadReceived(id, {.status = 503, .reportsNotRun = true}, now);
    }
    REQUIRE(machine.attempts() == 4);
    machine.targetSelected(4, "t4", now);
    machine.sendStarted(4, now);
    // The target may have run this attempt, which exhausts maxRuns.
    machine.attemptFailed(4, now);
    CHECK(machine.phase() == RequestPhase::Finished);
    CHECK(machine.attempts() == 4);
}
