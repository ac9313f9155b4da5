#include "request_task_impl.hpp"

namespace teaseldrift::router {

namespace {

/// Maximum wait for the end of a response after the stream's end marker.
constexpr Duration responseEndTimeout = 1s;

} // namespace

void RequestTask::Impl::startStream()
{
    streamStarted = true;
    http::Headers headers{
            {"content-type", std::string(eventStreamType)},
            {"cache-control", "no-cache"},
            {"x-request-id", spec.requestId},
    };
    if (services.debugHeaders) {
        headers.push_back({"x-teaseldrift-choice", explanation});
    }
    exchange->startStream(statusOk, headers);
    const std::weak_ptr<RequestTask> weak = self;
    exchange->onDrained([weak] {
        const std::shared_ptr<RequestTask> task = weak.lock();
        if (task != nullptr) {
            task->m_impl->onDrained();
        }
    });
    startCallerIdleTimer();
}

void RequestTask::Impl::forwardEvents(const std::string &events, uint64_t count)
{
    const Instant now = http::EventLoop::now();
    if (!streamStarted) {
        startStream();
    }
    if (count > 0) {
        if (lastTokenAt.has_value()) {
            services.metrics.observeBetweenTokens(now - *lastTokenAt);
        } else {
            services.metrics.observeFirstToken(now - startedAt);
            services.targets.firstToken(heldAcquisition.value_or(0));
        }
        lastTokenAt = now;
        services.metrics.countEvents(count);
    }
    const size_t pending = exchange->write(events);
    if (pending > services.streamBufferBytes && call != nullptr && !paused) {
        paused = true;
        call->pause();
    }
}

void RequestTask::Impl::onDrained()
{
    if (!paused || call == nullptr || done) {
        return;
    }
    paused = false;
    // The pause was caused by the caller, so it does not count towards the target's progress
    // timeout.
    machine.bytesReceived(attempt, http::EventLoop::now());
    call->resume();
}

void RequestTask::Impl::perform(const CompleteResponse & /*action*/)
{
    recordAnswer(true);
    releaseTarget(HealthObservation::Responded);
    if (streamStarted) {
        exchange->write(relay.finalEvents());
        exchange->finish();
    } else {
        http::Response finalResponse = response;
        finalResponse.headers.push_back({"x-request-id", spec.requestId});
        if (services.debugHeaders) {
            finalResponse.headers.push_back({"x-teaseldrift-choice", explanation});
        }
        if (isStreamResponse) {
            finalResponse.body = relay.finalEvents();
        }
        exchange->respond(finalResponse);
    }
    end(schema::OK, schema::RAN_YES);
}

void RequestTask::Impl::perform(const RefuseRequest &action)
{
    refuse({.code = action.code,
            .retryAfter = action.retryAfter > Duration::zero() ? std::optional(action.retryAfter)
                                                               : std::nullopt,
            .requestId = spec.requestId,
            .ran = action.ran},
           action.ran);
}

void RequestTask::Impl::perform(const EndStreamWithError &action)
{
    if (!streamStarted) {
        startStream();
    }
    exchange->write(toErrorEvent({.code = action.code, .requestId = spec.requestId}));
    // Aborts the connection instead of ending the stream regularly, so that a caller that ignores
    // the event still notices the failure.
    exchange->abortAfterWrites();
    end(action.code, schema::RAN_YES);
}

void RequestTask::Impl::refuse(const Refusal &refusal, schema::Ran ran)
{
    exchange->respond(toResponse(refusal));
    end(refusal.code, ran);
}

void RequestTask::Impl::startCallerIdleTimer()
{
    const std::weak_ptr<RequestTask> weak = self;
    callerIdleTimer = services.loop.startTimer(services.callerIdleTimeout, [weak] {
        const std::shared_ptr<RequestTask> task = weak.lock();
        if (task == nullptr || task->m_impl->done) {
            return;
        }
        Impl &impl = *task->m_impl;
        const bool hasPendingBytes = impl.exchange->pendingBytes() > 0;
        const Duration idle = http::EventLoop::now() - impl.exchange->lastProgress();
        if (hasPendingBytes && idle >= impl.services.callerIdleTimeout) {
            impl.exchange->abort();
            impl.onCallerDisconnected();
            return;
        }
        impl.startCallerIdleTimer();
    });
}

void RequestTask::Impl::onCallerDisconnected()
{
    if (done) {
        return;
    }
    perform(machine.callerDisconnected(http::EventLoop::now()));
    // A non-idempotent request that was already sent continues, so that its outcome can be
    // recorded.
    if (machine.phase() == RequestPhase::Finished) {
        const std::shared_ptr<http::Exchange> abandoned = exchange;
        end(schema::CALLER_GONE, schema::RAN_UNKNOWN);
        // The connection may only have been found to be closed, see mayBegin().
        abandoned->abort();
    }
}

void RequestTask::Impl::end(schema::ResultCode code, schema::Ran ran)
{
    if (done) {
        return;
    }
    done = true;
    buffers.set(0);
    if (pendingAcquisition.has_value()) {
        services.targets.cancel(*pendingAcquisition);
        pendingAcquisition.reset();
    }
    const bool awaitsResponseEnd = code == schema::OK && isStreamResponse && call != nullptr;
    if (awaitsResponseEnd) {
        awaitResponseEnd();
    } else {
        call.reset();
    }
    releaseTarget(std::nullopt);
    services.loop.cancelTimer(timer);
    services.loop.cancelTimer(callerIdleTimer);
    exchange->onDisconnected(nullptr);
    RequestOutcome outcome{
            .code = code,
            .ran = ran,
            .status = response.status,
            .target = target,
            .attempts = machine.attempts(),
            .positions = relay.position(),
            .usage = relay.usage(),
            .response = std::move(response),
    };
    if (!outcome.usage.has_value() && spec.isCompletion && code == schema::OK) {
        outcome.usage = parseUsage(outcome.response.body);
    }
    if (outcome.usage.has_value()) {
        services.metrics.countPromptTokens(outcome.usage->promptTokens,
                                           outcome.usage->cachedTokens);
    }
    services.metrics.countResult(code);
    // The handler may destroy this task, so it is called last and from the event loop.
    services.loop.post(
            [handler = std::move(onDone), outcome = std::move(outcome)] { handler(outcome); });
}

/// Waits for the end of the response, which follows the stream's end marker, so that the connection
/// can be reused.
void RequestTask::Impl::awaitResponseEnd()
{
    if (paused) {
        paused = false;
        call->resume();
    }
    responseEndTimer = services.loop.startTimer(
            responseEndTimeout, [keptAlive = self.lock()] { keptAlive->m_impl->call.reset(); });
}

} // namespace teaseldrift::router
