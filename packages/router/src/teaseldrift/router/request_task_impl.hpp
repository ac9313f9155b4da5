#pragma once

#include <memory>
#include <optional>
#include <string>

#include "response_parsing.hpp"
#include "teaseldrift/attempts/request_state_machine.hpp"
#include "teaseldrift/http/buffer_budget.hpp"
#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/http/server.hpp"
#include "teaseldrift/router/quarantine_task.hpp"
#include "teaseldrift/router/refusal.hpp"
#include "teaseldrift/router/request_task.hpp"
#include "teaseldrift/router/router_metrics.hpp"
#include "teaseldrift/router/target_permits.hpp"

namespace teaseldrift::router {

inline constexpr int statusOk = 200;
inline constexpr std::string_view eventStreamType = "text/event-stream";

struct RequestTask::Impl
{
    RequestServices services;
    std::shared_ptr<http::Exchange> exchange;
    RequestSpec spec;
    std::function<void(const RequestOutcome &)> onDone;
    RequestStateMachine machine;
    StreamRelay relay;
    std::weak_ptr<RequestTask> self;
    /// Of the budget, for `response.body` and the stream's incomplete event.
    http::BufferAccount buffers;

    /// The current attempt.
    AttemptId attempt = 0;
    StartAttempt attemptPlan;
    std::unique_ptr<http::Call> call;
    std::optional<TargetPool::AcquisitionId> pendingAcquisition;
    std::optional<uint64_t> heldAcquisition;
    std::string target;
    uint64_t targetIncarnation = 0;
    /// When the target of the current attempt began to answer.
    std::optional<Instant> answerBeganAt;
    bool isAnswerRecorded = false;
    std::string explanation;
    /// Request body of a continuation attempt.
    std::optional<std::string> continuation;
    bool isStreamResponse = false;
    bool paused = false;
    /// Observation to report about the target if the current attempt is cancelled.
    std::optional<HealthObservation> cancelObservation;

    /// Status and headers of the target's response, and its body if it is buffered.
    http::Response response;
    bool streamStarted = false;

    Instant startedAt = http::EventLoop::now();
    std::optional<Instant> lastTokenAt;
    http::EventLoop::TimerId timer = 0;
    Instant timerAt{};
    http::EventLoop::TimerId callerIdleTimer = 0;
    http::EventLoop::TimerId responseEndTimer = 0;
    bool done = false;

    Impl(const RequestServices &requestServices, std::shared_ptr<http::Exchange> callerExchange,
         RequestSpec requestSpec, RetryBudget &budget,
         std::function<void(const RequestOutcome &)> doneHandler)
        : services(requestServices), exchange(std::move(callerExchange)),
          spec(std::move(requestSpec)), onDone(std::move(doneHandler)),
          machine(machineOptions(spec), budget), relay(relayOptions(spec)),
          buffers(services.buffers, [this] {
              const std::shared_ptr<RequestTask> task = self.lock();
              giveUpResponse("buffer_budget");
          })
    { }

    void perform(const RequestActions &actions);
    void perform(const StartAttempt &action);
    void perform(const CancelAttempt &action);
    void perform(const CompleteResponse &action);
    void perform(const RefuseRequest &action);
    void perform(const EndStreamWithError &action);

    void acquireTarget();
    void onAcquired(AttemptId id, const AcquireResult &result);
    void acquirePermit(AttemptId id, const AcquireResult &result);
    void onPermitDecided(AttemptId id, const AcquireResult &result, const PermitDecision &decision);
    [[nodiscard]] bool mayBegin();
    void begin(AttemptId id, const AcquireResult &result);
    void send(AttemptId id, const http::Endpoint &endpoint);
    [[nodiscard]] http::Request attemptRequest() const;
    bool prepareAttempt();
    void onHead(AttemptId id, const http::ResponseHead &head);
    void onData(AttemptId id, std::string_view data);
    void onStreamData(AttemptId id, std::string_view data);
    void giveUpResponse(std::string_view reason);
    void onEnd(AttemptId id, http::CallOutcome end);
    void forwardEvents(const std::string &events, uint64_t count);
    void startStream();
    void onDrained();
    [[nodiscard]] const QuarantinedSegments *quarantinedSegments() const;
    void recordAnswer(bool isComplete);
    void recordLostAttempt();
    void releaseTarget(std::optional<HealthObservation> observation);
    void armTimer();
    void onTimer();
    void startCallerIdleTimer();
    void onCallerDisconnected();
    void refuse(const Refusal &refusal, schema::Ran ran);
    void end(schema::ResultCode code, schema::Ran ran);
    void awaitResponseEnd();
};

} // namespace teaseldrift::router
