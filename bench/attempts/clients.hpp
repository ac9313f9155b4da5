#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fake_targets.hpp"
#include "teaseldrift/attempts/request_state_machine.hpp"
#include "teaseldrift/health/target_health.hpp"

namespace teaseldrift::bench {

/// @brief Environment and time limits that all clients share.
struct ClientContext
{
    Timeline &timeline;
    FakeTargets &targets;
    std::mt19937_64 &random;
    /// Longest time from the start of a request to its outcome.
    Duration deadline = 10s;
    /// Longest time without a byte from a target.
    Duration targetTimeout = 2s;
};

/// @brief Makes a limited number of attempts without a retry budget or health checks, each at the
/// less loaded of two random targets.
class FixedAttemptsClient
{
public:
    FixedAttemptsClient(ClientContext context, uint32_t maxAttempts);

    void start(Request &request);
    void onEvent(Request &request, AttemptId id, TargetEvent event);

private:
    struct State
    {
        AttemptId attempt = 0;
        Instant lastProgress;
        bool hasPartialResponse = false;
        /// An attempt followed a partial response, so that the caller got the same tokens twice.
        bool hasDuplicateTokens = false;
        bool isFinished = false;
    };

    void attempt(Request &request, State &state);
    void fail(Request &request, State &state);
    void end(Request &request, State &state, bool isComplete);
    void scheduleTimeout(Request &request);

    ClientContext m_context;
    uint32_t m_maxAttempts;
    std::map<size_t, State> m_states;
};

/// @brief Uses RequestStateMachine, RetryBudget and TargetHealth in the same way as teaseldriftd.
class StateMachineClient
{
public:
    explicit StateMachineClient(ClientContext context);

    void start(Request &request);
    void onEvent(Request &request, AttemptId id, TargetEvent event);

private:
    struct State
    {
        std::unique_ptr<RequestStateMachine> machine;
        std::optional<Instant> timer;
        size_t target = 0;
    };

    void perform(Request &request, const RequestActions &actions);
    void execute(Request &request, const StartAttempt &action);
    void execute(Request &request, const CancelAttempt &action);
    void execute(Request &request, const CompleteResponse &action);
    void execute(Request &request, const RefuseRequest &action);
    void execute(Request &request, const EndStreamWithError &action);
    RequestActions applyEvent(Request &request, State &state, AttemptId id, TargetEvent event);
    void report(size_t target, HealthObservation observation);
    void probe();
    std::optional<size_t> selectTarget(const StartAttempt &action);
    void scheduleTimeout(Request &request);

    ClientContext m_context;
    RetryBudget m_budget;
    TargetHealth m_health;
    std::map<size_t, State> m_states;
};

} // namespace teaseldrift::bench
