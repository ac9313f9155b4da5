#include "teaseldrift/router/request_task.hpp"

#include <charconv>
#include <map>
#include <variant>

#include <nlohmann/json.hpp>

#include "teaseldrift/attempts/request_machine.hpp"
#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/http/server.hpp"
#include "teaseldrift/router/refusal.hpp"
#include "teaseldrift/router/router_metrics.hpp"
#include "teaseldrift/schema/result.hpp"

namespace teaseldrift::router {

namespace {

constexpr int statusOk = 200;
constexpr int firstServerError = 500;
constexpr int statusUnavailable = 503;
constexpr std::string_view eventStreamType = "text/event-stream";

RequestOptions machineOptions(const RequestSpec &spec)
{
    const Duration progress = std::chrono::milliseconds(spec.defaults.progress_timeout_ms());
    return {
            .routeClass = spec.routeClass,
            .answerMode = spec.streams ? AnswerMode::Streamed : AnswerMode::Buffered,
            .deadline = spec.deadline,
            .firstByteTimeout = std::max(progress, spec.deadline / 2),
            .progressTimeout = progress,
            .maxAttempts = spec.defaults.max_attempts(),
    };
}

Duration retryAfterOf(const http::Headers &headers)
{
    const std::string_view text = http::findHeader(headers, "retry-after");
    int64_t seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return std::chrono::seconds(seconds);
}

AnswerHead answerHeadOf(const http::ResponseHead &head)
{
    return {
            .status = head.status,
            .retryAfter = retryAfterOf(head.headers),
            .saysNotRun = http::findHeader(head.headers, "x-request-ran") == "no",
    };
}

/// The answer's headers without those that belong to one connection.
http::Headers endToEndHeaders(const http::Headers &headers)
{
    http::Headers kept;
    for (const http::Header &header : headers) {
        if (header.name != "connection" && header.name != "transfer-encoding"
            && header.name != "content-length" && header.name != "keep-alive"
            && header.name != "server" && header.name != "date") {
            kept.push_back(header);
        }
    }
    return kept;
}

uint64_t unsignedField(const nlohmann::json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_unsigned() ? found->get<uint64_t>() : 0;
}

std::optional<StreamUsage> usageOf(const std::string &body)
{
    const nlohmann::json answer = nlohmann::json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("usage") || !answer["usage"].is_object()) {
        return std::nullopt;
    }
    const nlohmann::json &usage = answer["usage"];
    StreamUsage counts{
            .promptTokens = unsignedField(usage, "prompt_tokens"),
            .completionTokens = unsignedField(usage, "completion_tokens"),
    };
    const auto details = usage.find("prompt_tokens_details");
    if (details != usage.end() && details->is_object()) {
        counts.cachedTokens = unsignedField(*details, "cached_tokens");
    }
    return counts;
}

} // namespace

struct RequestTask::Native
{
    RequestServices services;
    std::shared_ptr<http::Exchange> exchange;
    RequestSpec spec;
    std::function<void(const RequestOutcome &)> onDone;
    RequestMachine machine;
    StreamRelay relay;
    std::weak_ptr<RequestTask> self;

    /// The attempt under way.
    AttemptId attempt = 0;
    StartAttempt attemptPlan;
    std::unique_ptr<http::Call> call;
    std::optional<TargetPool::TicketId> ticket;
    std::optional<uint64_t> useId;
    std::string target;
    std::string explanation;
    bool answersAsStream = false;
    bool paused = false;
    /// What a cancelled attempt tells about its target.
    std::optional<HealthEvidence> cancelEvidence;

    /// The answer as far as it is held back.
    http::Response answer;
    bool streamStarted = false;

    Instant startedAt = http::EventLoop::now();
    std::optional<Instant> lastTokenAt;
    http::EventLoop::TimerId timer = 0;
    Instant timerAt{};
    http::EventLoop::TimerId callerTimer = 0;
    bool done = false;

    Native(const RequestServices &requestServices, std::shared_ptr<http::Exchange> callerExchange,
           RequestSpec requestSpec, RetryBudget &budget,
           std::function<void(const RequestOutcome &)> doneHandler)
        : services(requestServices), exchange(std::move(callerExchange)),
          spec(std::move(requestSpec)), onDone(std::move(doneHandler)),
          machine(machineOptions(spec), budget), relay(streamOptionsOf(spec.body))
    { }

    void perform(const RequestActions &actions);
    void perform(const StartAttempt &action);
    void perform(const CancelAttempt &action);
    void perform(const FinishCaller &action);
    void perform(const RefuseCaller &action);
    void perform(const EndStreamWithError &action);

    void onAcquired(AttemptId id, const Acquired &acquired);
    void send(AttemptId id, const http::Endpoint &endpoint);
    [[nodiscard]] http::Request attemptRequest() const;
    void onHead(AttemptId id, const http::ResponseHead &head);
    void onData(AttemptId id, std::string_view data);
    void onStreamData(AttemptId id, std::string_view data);
    void onEnd(AttemptId id, http::CallEnd end);
    void passOn(const std::string &events, uint64_t count);
    void startStream();
    void onDrained();
    void releaseTarget(std::optional<HealthEvidence> evidence);
    void armTimer();
    void onTimer();
    void watchCaller();
    void onCallerGone();
    void refuse(const Refusal &refusal, schema::Ran ran);
    void end(schema::ResultCode code, schema::Ran ran);
};

void RequestTask::Native::perform(const RequestActions &actions)
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

void RequestTask::Native::perform(const StartAttempt &action)
{
    attempt = action.id;
    attemptPlan = action;
    if (action.reason != schema::RETRY_NONE) {
        services.metrics.countRetry(action.reason);
    }
    const std::weak_ptr<RequestTask> weak = self;
    ticket = services.targets.acquire(spec.query,
                                      {
                                              .onlyTarget = action.target,
                                              .excludedTargets = action.excludedTargets,
                                              .isRetry = action.reason != schema::RETRY_NONE,
                                      },
                                      [weak, id = action.id](const Acquired &acquired) {
                                          const std::shared_ptr<RequestTask> task = weak.lock();
                                          if (task != nullptr) {
                                              task->m_native->onAcquired(id, acquired);
                                          }
                                      });
}

void RequestTask::Native::onAcquired(AttemptId id, const Acquired &acquired)
{
    ticket.reset();
    const Instant now = http::EventLoop::now();
    if (acquired.code != schema::OK) {
        const bool neverTried = machine.attempts() == 1 && acquired.code != schema::NO_TARGET;
        if (neverTried) {
            refuse({.code = acquired.code,
                    .retryAfter = acquired.retryAfter,
                    .requestId = spec.requestId},
                   schema::RAN_NO);
            return;
        }
        perform(machine.noTarget(id, now, acquired.retryAfter.value_or(Duration::zero())));
        return;
    }
    useId = acquired.useId;
    if (exchange->isCallerGone()) {
        onCallerGone();
        return;
    }
    if (spec.sendUntil.has_value() && now > *spec.sendUntil) {
        refuse({.code = schema::IDEMPOTENCY_CLAIM_FAILED, .requestId = spec.requestId},
               schema::RAN_NO);
        return;
    }
    target = acquired.target;
    explanation = acquired.explanation;
    machine.targetChosen(id, acquired.target, now);
    send(id, acquired.endpoint);
    armTimer();
}

http::Request RequestTask::Native::attemptRequest() const
{
    http::Request request{
            .method = spec.method,
            .path = spec.path,
            .headers = spec.headers,
            .body = spec.body,
    };
    request.headers.push_back({"x-request-id", spec.requestId});
    if (attemptPlan.kind == AttemptKind::Resume && !relay.lastEventId().empty()) {
        request.headers.push_back({"last-event-id", std::string(relay.lastEventId())});
    }
    if (attemptPlan.kind == AttemptKind::Continuation) {
        request.body = relay.continuationBody(spec.body).value_or(spec.body);
    }
    return request;
}

void RequestTask::Native::send(AttemptId id, const http::Endpoint &endpoint)
{
    answer = {};
    answersAsStream = false;
    cancelEvidence.reset();
    paused = false;
    relay.beginAttempt(attemptPlan.kind);
    const std::weak_ptr<RequestTask> weak = self;
    const http::ConnectionUse use = attemptPlan.useFreshConnection ? http::ConnectionUse::Fresh
                                                                   : http::ConnectionUse::Pooled;
    call = services.client.start(
            endpoint, attemptRequest(), use,
            {
                    .onSent = [this, id] { machine.sent(id, http::EventLoop::now()); },
                    .onHead =
                            [weak, id](const http::ResponseHead &head) {
                                const std::shared_ptr<RequestTask> task = weak.lock();
                                task->m_native->onHead(id, head);
                            },
                    .onData =
                            [weak, id](std::string_view data) {
                                const std::shared_ptr<RequestTask> task = weak.lock();
                                task->m_native->onData(id, data);
                            },
                    .onEnd =
                            [weak, id](http::CallEnd end) {
                                const std::shared_ptr<RequestTask> task = weak.lock();
                                task->m_native->onEnd(id, end);
                            },
            });
}

void RequestTask::Native::onHead(AttemptId id, const http::ResponseHead &head)
{
    answer.status = head.status;
    answer.headers = endToEndHeaders(head.headers);
    const std::string_view type = http::findHeader(head.headers, "content-type");
    answersAsStream = spec.streams && head.status == statusOk && type.starts_with(eventStreamType);
    cancelEvidence = head.status >= firstServerError && head.status != statusUnavailable
                             ? HealthEvidence::Failed
                             : HealthEvidence::Answered;
    perform(machine.headReceived(id, answerHeadOf(head), http::EventLoop::now()));
    cancelEvidence.reset();
}

void RequestTask::Native::onData(AttemptId id, std::string_view data)
{
    if (!machine.isCurrent(id)) {
        return;
    }
    if (answersAsStream) {
        onStreamData(id, data);
        return;
    }
    answer.body.append(data);
    if (answer.body.size() > services.maxAnswerBytes) {
        perform(machine.broken(id, http::EventLoop::now()));
        return;
    }
    machine.progress(id, http::EventLoop::now());
}

void RequestTask::Native::onStreamData(AttemptId id, std::string_view data)
{
    const Instant now = http::EventLoop::now();
    std::string events;
    const StreamProgress progress = relay.feed(data, events);
    RequestActions actions;
    if (progress.count > 0) {
        actions = machine.data(id, {.first = progress.first, .count = progress.count}, now);
    } else {
        machine.progress(id, now);
    }
    if (actions.empty() && !events.empty()) {
        passOn(events, progress.count);
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
        cancelEvidence = HealthEvidence::Broken;
        perform(machine.broken(id, now));
    } else if (progress.isEnded) {
        perform(machine.endMarker(id, now));
    }
}

void RequestTask::Native::startStream()
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
            task->m_native->onDrained();
        }
    });
    watchCaller();
}

void RequestTask::Native::passOn(const std::string &events, uint64_t count)
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
            services.targets.firstToken(useId.value_or(0));
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

void RequestTask::Native::onDrained()
{
    if (!paused || call == nullptr || done) {
        return;
    }
    paused = false;
    // The silence was the caller's, not the target's.
    machine.progress(attempt, http::EventLoop::now());
    call->resume();
}

void RequestTask::Native::onEnd(AttemptId id, http::CallEnd end)
{
    const Instant now = http::EventLoop::now();
    switch (end) {
    case http::CallEnd::NotSent:
        releaseTarget(HealthEvidence::ConnectFailed);
        perform(machine.connectFailed(id, now));
        return;
    case http::CallEnd::Broken:
        releaseTarget(HealthEvidence::Broken);
        perform(machine.broken(id, now));
        return;
    case http::CallEnd::Complete:
        perform(machine.answerComplete(id, now));
        return;
    }
}

void RequestTask::Native::perform(const CancelAttempt & /*action*/)
{
    if (ticket.has_value()) {
        services.targets.cancel(*ticket);
        ticket.reset();
    }
    // Destroying a call closes its connection, so nothing late can be taken for another answer.
    call.reset();
    releaseTarget(cancelEvidence);
}

void RequestTask::Native::perform(const FinishCaller & /*action*/)
{
    releaseTarget(HealthEvidence::Answered);
    if (streamStarted) {
        exchange->write(relay.closing());
        exchange->finish();
    } else {
        http::Response response = answer;
        response.headers.push_back({"x-request-id", spec.requestId});
        if (services.debugHeaders) {
            response.headers.push_back({"x-teaseldrift-choice", explanation});
        }
        if (answersAsStream) {
            response.body = relay.closing();
        }
        exchange->respond(response);
    }
    end(schema::OK, schema::RAN_YES);
}

void RequestTask::Native::perform(const RefuseCaller &action)
{
    refuse({.code = action.code,
            .retryAfter = action.retryAfter > Duration::zero() ? std::optional(action.retryAfter)
                                                               : std::nullopt,
            .requestId = spec.requestId,
            .ran = action.ran},
           action.ran);
}

void RequestTask::Native::perform(const EndStreamWithError &action)
{
    if (!streamStarted) {
        startStream();
    }
    exchange->write(toErrorEvent({.code = action.code, .requestId = spec.requestId}));
    // Not a clean end: a caller that ignores the event still sees a broken connection.
    exchange->abortAfterWrites();
    end(action.code, schema::RAN_YES);
}

void RequestTask::Native::refuse(const Refusal &refusal, schema::Ran ran)
{
    exchange->respond(toResponse(refusal));
    end(refusal.code, ran);
}

void RequestTask::Native::releaseTarget(std::optional<HealthEvidence> evidence)
{
    if (!useId.has_value()) {
        return;
    }
    TargetUse use{.evidence = evidence};
    if (!answersAsStream && spec.isCompletion && evidence == HealthEvidence::Answered) {
        const std::optional<StreamUsage> usage = usageOf(answer.body);
        if (usage.has_value()) {
            use.cachedTokens = usage->cachedTokens;
            use.promptTokens = usage->promptTokens;
        }
    } else if (relay.usage().has_value()) {
        use.cachedTokens = relay.usage()->cachedTokens;
        use.promptTokens = relay.usage()->promptTokens;
    }
    services.targets.release(*useId, use);
    useId.reset();
}

void RequestTask::Native::armTimer()
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
            task->m_native->onTimer();
        }
    });
}

void RequestTask::Native::onTimer()
{
    timer = 0;
    if (done) {
        return;
    }
    const Instant now = http::EventLoop::now();
    if (paused) {
        machine.progress(attempt, now);
    }
    const std::optional<Instant> next = machine.nextDeadline();
    if (next.has_value() && *next <= now) {
        cancelEvidence = HealthEvidence::Silent;
        perform(machine.timer(now));
        cancelEvidence.reset();
        return;
    }
    armTimer();
}

void RequestTask::Native::watchCaller()
{
    const std::weak_ptr<RequestTask> weak = self;
    callerTimer = services.loop.startTimer(services.callerIdle, [weak] {
        const std::shared_ptr<RequestTask> task = weak.lock();
        if (task == nullptr || task->m_native->done) {
            return;
        }
        Native &native = *task->m_native;
        const bool waits = native.exchange->pendingBytes() > 0;
        const Duration idle = http::EventLoop::now() - native.exchange->lastProgress();
        if (waits && idle >= native.services.callerIdle) {
            native.exchange->abort();
            native.onCallerGone();
            return;
        }
        native.watchCaller();
    });
}

void RequestTask::Native::onCallerGone()
{
    if (done) {
        return;
    }
    perform(machine.callerGone(http::EventLoop::now()));
    releaseTarget(std::nullopt);
    end(schema::CALLER_GONE, schema::RAN_UNKNOWN);
}

void RequestTask::Native::end(schema::ResultCode code, schema::Ran ran)
{
    if (done) {
        return;
    }
    done = true;
    if (ticket.has_value()) {
        services.targets.cancel(*ticket);
        ticket.reset();
    }
    call.reset();
    releaseTarget(std::nullopt);
    services.loop.cancelTimer(timer);
    services.loop.cancelTimer(callerTimer);
    exchange->onGone(nullptr);
    RequestOutcome outcome{
            .code = code,
            .ran = ran,
            .status = answer.status,
            .target = target,
            .attempts = machine.attempts(),
            .positions = relay.position(),
            .usage = relay.usage(),
            .answer = std::move(answer),
    };
    if (!outcome.usage.has_value() && spec.isCompletion && code == schema::OK) {
        outcome.usage = usageOf(outcome.answer.body);
    }
    if (outcome.usage.has_value()) {
        services.metrics.countPromptTokens(outcome.usage->promptTokens,
                                           outcome.usage->cachedTokens);
    }
    services.metrics.countResult(code);
    // The task may be destroyed by its owner from here on, so it goes last and from a message.
    services.loop.post(
            [handler = std::move(onDone), outcome = std::move(outcome)] { handler(outcome); });
}

RequestTask::RequestTask(std::unique_ptr<Native> native) : m_native(std::move(native)) { }

RequestTask::~RequestTask() = default;

std::shared_ptr<RequestTask> RequestTask::start(const RequestServices &services,
                                                std::shared_ptr<http::Exchange> exchange,
                                                RequestSpec spec, RetryBudget &budget,
                                                std::function<void(const RequestOutcome &)> onDone)
{
    std::unique_ptr<Native> native = std::make_unique<Native>(
            services, std::move(exchange), std::move(spec), budget, std::move(onDone));
    const std::shared_ptr<RequestTask> task = std::make_shared<RequestTask>(std::move(native));
    task->m_native->self = task;
    const std::weak_ptr<RequestTask> weak = task;
    task->m_native->exchange->onGone([weak] {
        const std::shared_ptr<RequestTask> gone = weak.lock();
        if (gone != nullptr) {
            gone->m_native->onCallerGone();
        }
    });
    task->m_native->perform(task->m_native->machine.start(http::EventLoop::now()));
    return task;
}

void RequestTask::shutDown()
{
    if (!m_native->done) {
        m_native->perform(m_native->machine.shuttingDown(http::EventLoop::now()));
    }
}

} // namespace teaseldrift::router
