#include "teaseldrift/router/request_task.hpp"
#include "teaseldrift/base/release_memory.hpp"

#include <variant>

#include "request_task_impl.hpp"

namespace teaseldrift::router {

namespace {

constexpr int firstServerError = 500;
constexpr int statusUnavailable = 503;

} // namespace

void RequestTask::Impl::perform(const RequestActions &actions)
{
    for (const RequestAction &action : actions) {
        if (done) {
            return;
        }
        std::visit([this](const auto &typed) { perform(typed); }, action);
    }
    if (!done) {
        armTimer();
    }
}

void RequestTask::Impl::perform(const StartAttempt &action)
{
    attempt = action.id;
    attemptPlan = action;
    if (action.reason != schema::RETRY_NONE) {
        services.metrics.countRetry(action.reason);
    }
    acquireTarget();
}

/// Acquires a target for the current attempt.
void RequestTask::Impl::acquireTarget()
{
    const std::weak_ptr<RequestTask> weak = self;
    pendingAcquisition
            = services.targets.acquire(spec.query,
                                       {
                                               .onlyTarget = attemptPlan.target,
                                               .excludedTargets = attemptPlan.excludedTargets,
                                               .isRetry = attemptPlan.reason != schema::RETRY_NONE,
                                       },
                                       [weak, id = attemptPlan.id](const AcquireResult &result) {
                                           const std::shared_ptr<RequestTask> task = weak.lock();
                                           if (task != nullptr) {
                                               task->m_impl->onAcquired(id, result);
                                           }
                                       });
}

void RequestTask::Impl::onAcquired(AttemptId id, const AcquireResult &result)
{
    pendingAcquisition.reset();
    const Instant now = http::EventLoop::now();
    if (done || !machine.isCurrent(id)) {
        // The request or this attempt has ended in the meantime; nothing may be sent any more.
        services.targets.release(result.acquisitionId, {});
        return;
    }
    if (result.code != schema::OK) {
        if (result.code == schema::NO_TARGET && result.retryAfter.has_value()) {
            // All targets have reached the limits that they name.
            perform(machine.targetsUnavailable(id, now, *result.retryAfter));
            return;
        }
        const bool isFirstAttemptRefused
                = machine.attempts() == 1 && result.code != schema::NO_TARGET;
        if (isFirstAttemptRefused) {
            refuse({.code = result.code,
                    .retryAfter = result.retryAfter,
                    .requestId = spec.requestId},
                   schema::RAN_NO);
            return;
        }
        perform(machine.noTargetAvailable(id, now, result.retryAfter.value_or(Duration::zero())));
        return;
    }
    heldAcquisition = result.acquisitionId;
    if (const QuarantinedSegments *quarantined = quarantinedSegments();
        quarantined != nullptr && !(spec.isTrial && id == 1)) {
        const Duration retryAfter = quarantineRetryAfter(*quarantined, now);
        releaseTarget(std::nullopt);
        perform(machine.targetsUnavailable(id, now, retryAfter));
        return;
    }
    if (!prepareAttempt()) {
        releaseTarget(std::nullopt);
        perform(machine.noTargetAvailable(id, now));
        return;
    }
    if (services.permits.isLimited(result.target)) {
        acquirePermit(id, result);
    } else if (mayBegin()) {
        begin(id, result);
    }
}

void RequestTask::Impl::acquirePermit(AttemptId id, const AcquireResult &result)
{
    TargetPermits &permits = services.permits;
    const std::weak_ptr<RequestTask> weak = self;
    permits.acquire(result.target, [weak, &permits, id, result](const PermitDecision &decision) {
        if (const std::shared_ptr<RequestTask> task = weak.lock()) {
            task->m_impl->onPermitDecided(id, result, decision);
        } else if (decision.permit) {
            permits.refund(*decision.permit);
        }
    });
}

void RequestTask::Impl::onPermitDecided(AttemptId id, const AcquireResult &result,
                                        const PermitDecision &decision)
{
    const bool isCurrent = !done && machine.isCurrent(id);
    if (!decision.permit) {
        services.targets.setUnavailableUntil(result.target,
                                             http::EventLoop::now() + decision.retryAfter);
        if (isCurrent) {
            releaseTarget(std::nullopt);
            acquireTarget();
        }
        return;
    }
    if (!isCurrent || !mayBegin()) {
        services.permits.refund(*decision.permit);
        return;
    }
    begin(id, result);
}

/// @return false if nothing may be sent any more; the request has ended then
bool RequestTask::Impl::mayBegin()
{
    if (exchange->isCallerDisconnected()) {
        onCallerDisconnected();
        return false;
    }
    if (spec.sendDeadline.has_value() && http::EventLoop::now() > *spec.sendDeadline) {
        refuse({.code = schema::IDEMPOTENCY_CLAIM_FAILED, .requestId = spec.requestId},
               schema::RAN_NO);
        return false;
    }
    return true;
}

/// Sends the attempt to the target that it has acquired.
void RequestTask::Impl::begin(AttemptId id, const AcquireResult &result)
{
    const Instant now = http::EventLoop::now();
    target = result.target;
    targetIncarnation = result.incarnation;
    explanation = result.explanation;
    machine.targetSelected(id, result.target, now);
    send(id, result.endpoint);
    armTimer();
}

http::Request RequestTask::Impl::attemptRequest() const
{
    http::Request request{
            .method = spec.method,
            .path = spec.path,
            .headers = spec.headers,
            .body = spec.body,
    };
    request.headers.push_back({"x-request-id", spec.requestId});
    if (attemptPlan.kind == AttemptKind::Resume) {
        request.headers.push_back({"last-event-id", std::string(relay.lastEventId())});
    }
    if (continuation.has_value()) {
        request.body = *continuation;
    }
    return request;
}

/// @return false if the planned resume or continuation is not possible
bool RequestTask::Impl::prepareAttempt()
{
    if (attemptPlan.kind == AttemptKind::Resume) {
        // The event id is relative to the interrupted request, which may itself be a continuation.
        return !relay.lastEventId().empty();
    }
    continuation.reset();
    if (attemptPlan.kind == AttemptKind::Continuation) {
        continuation = relay.continuationBody(spec.body);
        if (!continuation.has_value()) {
            machine.forbidContinuation();
            return false;
        }
    }
    return true;
}

void RequestTask::Impl::send(AttemptId id, const http::Endpoint &endpoint)
{
    response = {};
    releaseMemory(response.body);
    buffers.set(0);
    answerBeganAt.reset();
    isAnswerRecorded = false;
    isStreamResponse = false;
    cancelObservation.reset();
    paused = false;
    relay.beginAttempt(attemptPlan.kind);
    const std::weak_ptr<RequestTask> weak = self;
    const http::ConnectionUse use = attemptPlan.useFreshConnection ? http::ConnectionUse::Fresh
                                                                   : http::ConnectionUse::Pooled;
    call = services.client.start(
            endpoint, attemptRequest(), use,
            {
                    .onSent = [this, id] { machine.sendStarted(id, http::EventLoop::now()); },
                    .onHead =
                            [weak, id](const http::ResponseHead &head) {
                                const std::shared_ptr<RequestTask> task = weak.lock();
                                task->m_impl->onHead(id, head);
                            },
                    .onData =
                            [weak, id](std::string_view data) {
                                const std::shared_ptr<RequestTask> task = weak.lock();
                                task->m_impl->onData(id, data);
                            },
                    .onEnd =
                            [weak, id](http::CallOutcome end) {
                                const std::shared_ptr<RequestTask> task = weak.lock();
                                task->m_impl->onEnd(id, end);
                            },
            });
}

void RequestTask::Impl::onHead(AttemptId id, const http::ResponseHead &head)
{
    response.status = head.status;
    response.headers = endToEndHeaders(head.headers);
    const std::string_view type = http::findHeader(head.headers, "content-type");
    isStreamResponse = spec.streams && head.status == statusOk && type.starts_with(eventStreamType);
    cancelObservation = head.status >= firstServerError && head.status != statusUnavailable
                                ? HealthObservation::ErrorResponse
                                : HealthObservation::Responded;
    perform(machine.responseHeadReceived(id, summarizeResponse(head), http::EventLoop::now()));
    cancelObservation.reset();
}

void RequestTask::Impl::onData(AttemptId id, std::string_view data)
{
    if (!machine.isCurrent(id)) {
        return;
    }
    if (isStreamResponse) {
        onStreamData(id, data);
        if (!done && machine.isCurrent(id)) {
            buffers.set(relay.bufferedBytes());
        }
        return;
    }
    response.body.append(data);
    if (response.body.size() > services.maxResponseBytes) {
        giveUpResponse("response_too_large");
        return;
    }
    machine.bytesReceived(id, http::EventLoop::now());
    buffers.set(response.body.capacity());
}

/// Ends an attempt whose response takes too much memory, which may have no end.
void RequestTask::Impl::giveUpResponse(std::string_view reason)
{
    if (done || !machine.isCurrent(attempt)) {
        return;
    }
    services.metrics.registry()
            .counter({"teaseldrift_responses_given_up_total", "reason", reason})
            .add();
    releaseMemory(response.body);
    buffers.set(0);
    releaseTarget(HealthObservation::ConnectionBroken);
    perform(machine.attemptFailed(attempt, http::EventLoop::now()));
}

void RequestTask::Impl::onStreamData(AttemptId id, std::string_view data)
{
    const Instant now = http::EventLoop::now();
    std::string events;
    const StreamProgress progress = relay.feed(data, events);
    RequestActions actions;
    if (progress.count > 0 || !events.empty()) {
        actions = machine.eventsReceived(id, {.first = progress.first, .count = progress.count},
                                         now);
    } else {
        machine.bytesReceived(id, now);
    }
    if (progress.count > 0) {
        recordAnswer(false);
    }
    if (actions.empty() && !events.empty()) {
        forwardEvents(events, progress.count);
    }
    perform(actions);
    if (done || !machine.isCurrent(id)) {
        return;
    }
    if (!relay.canContinue()) {
        machine.forbidContinuation();
    }
    if (progress.isTextComplete) {
        machine.textComplete(id);
    }
    if (progress.isBroken) {
        recordLostAttempt();
        cancelObservation = HealthObservation::ConnectionBroken;
        perform(machine.attemptFailed(id, now));
    } else if (progress.hasEndMarker) {
        perform(machine.endMarkerReceived(id, now));
    }
}

void RequestTask::Impl::onEnd(AttemptId id, http::CallOutcome end)
{
    if (done) {
        // The response is complete, so the connection can be reused.
        services.loop.cancelTimer(responseEndTimer);
        return;
    }
    const Instant now = http::EventLoop::now();
    switch (end) {
    case http::CallOutcome::NotSent:
        releaseTarget(HealthObservation::ConnectFailed);
        perform(machine.connectFailed(id, now));
        return;
    case http::CallOutcome::Broken:
        recordLostAttempt();
        releaseTarget(HealthObservation::ConnectionBroken);
        perform(machine.attemptFailed(id, now));
        return;
    case http::CallOutcome::Complete:
        if (isStreamResponse) {
            // The end marker is missing.
            recordLostAttempt();
        }
        perform(machine.responseComplete(id, now));
        return;
    }
}

void RequestTask::Impl::perform(const CancelAttempt & /*action*/)
{
    if (pendingAcquisition.has_value()) {
        services.targets.cancel(*pendingAcquisition);
        pendingAcquisition.reset();
    }
    // Destroying a call closes its connection, so late data cannot be mistaken for part of another
    // response.
    call.reset();
    releaseTarget(cancelObservation);
}

const QuarantinedSegments *RequestTask::Impl::quarantinedSegments() const
{
    return services.quarantine.quarantine().find(spec.query->model, spec.segments,
                                                 http::EventLoop::now());
}

/// Records that the target answers, once that is certain: the answer is complete or has gone on for
/// some time.
void RequestTask::Impl::recordAnswer(bool isComplete)
{
    const Instant now = http::EventLoop::now();
    SegmentQuarantine &quarantine = services.quarantine.quarantine();
    answerBeganAt = answerBeganAt.value_or(now);
    if (isAnswerRecorded || response.status != statusOk
        || !(isComplete || quarantine.isConfirmed(*answerBeganAt, now))) {
        return;
    }
    isAnswerRecorded = true;
    quarantine.answered(spec.query->model, spec.segments, *answerBeganAt);
}

/// Records that the target broke the attempt off, which may have been a crash.
void RequestTask::Impl::recordLostAttempt()
{
    services.quarantine.quarantine().attemptLost({.target = target,
                                                  .startedAtMs = targetIncarnation,
                                                  .model = spec.query->model,
                                                  .segments = spec.segments,
                                                  .answerBeganAt = answerBeganAt},
                                                 http::EventLoop::now());
}

void RequestTask::Impl::releaseTarget(std::optional<HealthObservation> observation)
{
    if (!heldAcquisition.has_value()) {
        return;
    }
    AttemptFeedback feedback{.observation = observation};
    if (!isStreamResponse && spec.isCompletion && observation == HealthObservation::Responded) {
        const std::optional<StreamUsage> usage = parseUsage(response.body);
        if (usage.has_value()) {
            feedback.cachedTokens = usage->cachedTokens;
            feedback.promptTokens = usage->promptTokens;
        }
    } else if (relay.usage().has_value()) {
        feedback.cachedTokens = relay.usage()->cachedTokens;
        feedback.promptTokens = relay.usage()->promptTokens;
    }
    services.targets.release(*heldAcquisition, feedback);
    heldAcquisition.reset();
}

void RequestTask::Impl::armTimer()
{
    const std::optional<Instant> next = machine.nextDeadline();
    if (!next.has_value()) {
        return;
    }
    if (timer != 0 && timerAt <= *next) {
        return; // It fires earlier and is armed again then.
    }
    services.loop.cancelTimer(timer);
    timerAt = *next;
    const std::weak_ptr<RequestTask> weak = self;
    timer = services.loop.startTimer(*next - http::EventLoop::now(), [weak] {
        const std::shared_ptr<RequestTask> task = weak.lock();
        if (task != nullptr) {
            task->m_impl->onTimer();
        }
    });
}

void RequestTask::Impl::onTimer()
{
    timer = 0;
    if (done) {
        return;
    }
    const Instant now = http::EventLoop::now();
    if (paused) {
        machine.bytesReceived(attempt, now);
    }
    const std::optional<Instant> next = machine.nextDeadline();
    if (next.has_value() && *next <= now) {
        cancelObservation = HealthObservation::TimedOut;
        perform(machine.timerExpired(now));
        cancelObservation.reset();
        return;
    }
    armTimer();
}

RequestTask::RequestTask(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) { }

RequestTask::~RequestTask() = default;

std::shared_ptr<RequestTask> RequestTask::start(const RequestServices &services,
                                                std::shared_ptr<http::Exchange> exchange,
                                                RequestSpec spec, RetryBudget &budget,
                                                std::function<void(const RequestOutcome &)> onDone)
{
    std::unique_ptr<Impl> impl = std::make_unique<Impl>(services, std::move(exchange),
                                                        std::move(spec), budget, std::move(onDone));
    const std::shared_ptr<RequestTask> task = std::make_shared<RequestTask>(std::move(impl));
    task->m_impl->self = task;
    const std::weak_ptr<RequestTask> weak = task;
    task->m_impl->exchange->onDisconnected([weak] {
        const std::shared_ptr<RequestTask> gone = weak.lock();
        if (gone != nullptr) {
            gone->m_impl->onCallerDisconnected();
        }
    });
    task->m_impl->perform(task->m_impl->machine.start(http::EventLoop::now()));
    return task;
}

void RequestTask::drainDeadlineExpired()
{
    if (!m_impl->done) {
        m_impl->perform(m_impl->machine.drainDeadlineExpired(http::EventLoop::now()));
    }
}

} // namespace teaseldrift::router
