#pragma once

#include <algorithm>
#include <charconv>
#include <span>
#include <utility>
#include <variant>
#include <vector>

#include "teaseldrift/admission/queue_bound.hpp"
#include "teaseldrift/base/release_memory.hpp"
#include "teaseldrift/base/rendezvous.hpp"
#include "teaseldrift/relay/request_task.hpp"

namespace teaseldrift::relay {

/// Attempts, in addition to those that the route allows to run, that may fail to reach a target or
/// be refused by one.
inline constexpr uint32_t extraAttempts = 2;

/// Bytes buffered for a slow caller before reading from the target is paused.
inline constexpr size_t maxPendingBytes = 256U << 10U;

/// Largest response that is buffered before it is forwarded.
inline constexpr size_t maxResponseBytes = 8U << 20U;

/// Upper bound of Retry-After in a refusal: a caller that waits longer is served sooner elsewhere.
inline constexpr Duration maxRetryAfter = 1s;

/// Retry-After of a refusal, as a fraction of the time left until the request's deadline.
inline constexpr double retryAfterFraction = 0.2;

/// Time per output token of an engine that runs several requests, from the gaps between stream
/// events that the platform specifies.
inline constexpr Duration outputTokenTime = 30ms;

/// Largest Retry-After that callers follow, as a fraction of the time left until the deadline.
inline constexpr double followedFraction = 1.0 / 3.0;

/// Reason of responses that are given up because all responses together take too much memory.
inline constexpr std::string_view bufferBudget = "buffer_budget";

/// Time over which requests and callers return to a target that had asked to be left alone.
inline constexpr Duration returnSpread = 200ms;

/// Ids of the segments that other requests may share: all but the last.
inline std::string sharedSegmentIds(std::span<const PromptSegment> segments)
{
    std::vector<uint64_t> ids;
    for (size_t i = 0; i + 1 < segments.size(); ++i) {
        ids.push_back(segments[i].id);
    }
    return segmentIds(ids);
}

inline Duration expectedRun(const CallerRequest &request)
{
    const uint64_t most = request.maxOutputTokens;
    return outputTokenTime
           * static_cast<int64_t>(std::min(request.expectedOutputTokens.value_or(most), most));
}

inline bool mayRepeat(RouteKind kind)
{
    return kind == RouteKind::Idempotent || kind == RouteKind::ResumableStream;
}

inline RequestOptions stateMachineOptions(const Route &route, Duration timeAllowed)
{
    const bool repeats = mayRepeat(route.kind);
    const bool streams
            = route.kind == RouteKind::Stream || route.kind == RouteKind::ResumableStream;
    return {
            .routeClass = !repeats  ? schema::NON_IDEMPOTENT
                          : streams ? schema::GENERATION
                                    : schema::IDEMPOTENT,
            .responseMode = streams ? ResponseMode::Streamed : ResponseMode::Buffered,
            .deadline = timeAllowed,
            // Only the deadline ends the wait: a target that sends nothing may still be processing
            // the request, and the kernel closes dead connections.
            .firstByteTimeout = timeAllowed,
            .progressTimeout = timeAllowed,
            .maxAttempts = route.maxAttempts + extraAttempts,
            .maxRuns = route.maxAttempts,
            .targetsResume = false,
            .retryDelay = 30ms,
    };
}

inline Duration allowedTime(const CallerRequest &request, const Route &route)
{
    return request.deadline ? std::min(*request.deadline, route.timeout) : route.timeout;
}

template <Dialect D>
RequestTask<D>::RequestTask(RelayContext &context, const D &dialect,
                            std::shared_ptr<http::Exchange> exchange, AdmittedRequest admitted,
                            std::function<void()> onEnded)
    : m_context(context), m_dialect(dialect), m_exchange(std::move(exchange)),
      m_admitted(std::move(admitted)), m_onEnded(std::move(onEnded)),
      m_seed(rendezvousKey(m_admitted.request.id)),
      m_service(RouteTable::chooseService(*m_admitted.route, m_seed)),
      m_timeAllowed(allowedTime(m_admitted.request, *m_admitted.route)),
      m_retryBudget(context.fleet.retryBudget(m_service, http::EventLoop::now())),
      m_machine(stateMachineOptions(*m_admitted.route, m_timeAllowed), *m_retryBudget),
      m_permit(context.permits), m_startDeadline(context.fleet),
      m_version(context.rollouts, m_service, m_admitted.route->name),
      m_buffers(context.buffers, [this] {
          const std::shared_ptr<RequestTask> task = this->shared_from_this();
          giveUpResponse(bufferBudget);
      })
{
    const std::string &last = m_admitted.request.lastEventId;
    uint64_t number = 0;
    if (!last.empty()
        && std::from_chars(last.data(), last.data() + last.size(), number).ec == std::errc()) {
        m_lastEventId = number;
    }
}

template <Dialect D>
RequestTask<D>::~RequestTask()
{
    m_context.loop.cancelTimer(m_timer);
}

template <Dialect D>
void RequestTask<D>::start()
{
    std::weak_ptr<RequestTask> weak = this->weak_from_this();
    m_exchange->onDisconnected([weak] {
        if (const std::shared_ptr<RequestTask> task = weak.lock()) {
            task->callerDisconnected();
        }
    });
    m_exchange->onDrained([weak] {
        const std::shared_ptr<RequestTask> task = weak.lock();
        if (task && task->m_call) {
            task->m_call->resume();
        }
    });
    perform(m_machine.start(m_admitted.arrivedAt, http::EventLoop::now()));
}

template <Dialect D>
void RequestTask<D>::checkCaller()
{
    if (!m_isEnded && m_exchange->isCallerDisconnected()) {
        callerDisconnected();
    }
}

template <Dialect D>
void RequestTask<D>::perform(const RequestActions &actions)
{
    for (const RequestAction &action : actions) {
        if (const StartAttempt *start = std::get_if<StartAttempt>(&action)) {
            startAttempt(*start);
        } else if (std::holds_alternative<CancelAttempt>(action)) {
            cancelAttempt();
        } else if (std::holds_alternative<CompleteResponse>(action)) {
            completeResponse();
        } else if (const RefuseRequest *refusal = std::get_if<RefuseRequest>(&action)) {
            refuseRequest(*refusal);
        } else {
            endStreamWithError();
        }
    }
    if (!m_isEnded) {
        armTimer();
    }
}

template <Dialect D>
void RequestTask<D>::startAttempt(const StartAttempt &action)
{
    const Instant now = http::EventLoop::now();
    // The caller may have left during the admission, a wait for a target, or while this VM was
    // busy.
    if (m_exchange->isCallerDisconnected()) {
        callerDisconnected();
        return;
    }
    if (now >= deadline()) {
        perform(m_machine.targetsUnavailable(action.id, now));
        return;
    }
    const CallerRequest &request = m_admitted.request;
    if (const QuarantinedSegments *quarantined
        = m_context.fleet.quarantine().find(request.model, request.segments, now)) {
        const bool isTrial = m_admitted.isTrial && action.id == 1;
        if (!isTrial) {
            refuseQuarantined(action.id, *quarantined, now);
            return;
        }
    }
    TargetQuery query = makeQuery(action, now);
    m_choice = chooseTarget(query, now);
    if (!m_choice && m_version.fallBack(now)) {
        m_choice = chooseTarget(query, now);
    }
    if (!m_choice) {
        handleNoTarget(action, query, now);
        return;
    }
    m_expectedWait = m_choice->expectedWait;
    m_loadAge = m_choice->loadAge;
    if (!request.model.empty() && isTooLate(m_choice->expectedWait, now)) {
        m_choice.reset();
        m_permit.refund();
        perform(m_machine.noTargetAvailable(action.id, now));
        return;
    }
    const TargetLimitKey target = limitKeyOf(m_choice->id, m_choice->startedAtMs);
    if (m_permit.target() == target) {
        m_permit.use(now);
    } else if (m_context.permits.isLimited(target)) {
        m_permit.refund();
        m_choice.reset();
        if (m_permit.mayQuery(action.id)) {
            acquirePermit(action, target, Duration(0));
        } else {
            perform(m_machine.targetsUnavailable(action.id, now));
        }
        return;
    }
    m_permit.refund();
    m_machine.targetSelected(action.id, m_choice->id, now);
    send(action, now);
}

template <Dialect D>
TargetQuery RequestTask<D>::makeQuery(const StartAttempt &action, Instant now)
{
    const CallerRequest &request = m_admitted.request;
    const Organisation *organisation = m_admitted.organisation;
    const std::string_view organisationName
            = organisation == nullptr ? std::string_view() : std::string_view(organisation->name);
    // The configuration in force now: an organisation may have become isolated since the request
    // was admitted.
    const CacheScopes &scopes = m_context.fleet.table()->cacheScopes();
    m_cacheScope = scopes.of(organisationName);
    const std::optional<TargetLimitKey> permitted = m_permit.target();
    m_minWeights = m_context.fleet.minWeights(request.model, now);
    return {.service = m_service,
            .model = request.model,
            .segments = request.segments,
            .isolatedOrganisation
            = scopes.isShared(organisationName) ? std::string_view() : organisationName,
            .cacheScope = m_cacheScope,
            .excluded = action.excludedTargets,
            .minWeights = m_minWeights,
            .newestWeights = m_context.fleet.weightRollout().desiredVersion(request.model),
            .priority = priority(),
            .expectedRun = expectedRun(request),
            .seed = m_seed,
            .permitted = permitted ? m_context.fleet.targetSelector().idOf(permitted->target)
                                   : std::string_view(),
            .versionRule = m_version.select(action.id, now)};
}

/// Chooses a target at which the request is expected to begin while the target's weights may still
/// be used.
template <Dialect D>
std::optional<TargetChoice> RequestTask<D>::chooseTarget(TargetQuery &query, Instant now)
{
    while (true) {
        std::optional<TargetChoice> choice
                = m_context.fleet.targetSelector().choose(m_context.fleet.directory(), query, now);
        if (!choice
            || !m_startDeadline.mayBeMissed(query.model, choice->weights, choice->expectedWait,
                                            now)) {
            return choice;
        }
        query.minWeights = choice->weights + 1;
        m_minWeights = query.minWeights;
    }
}

/// Continues the attempt when the permit is granted or refused. The attempt remains without a
/// target meanwhile, so that only its deadline ends it.
template <Dialect D>
void RequestTask<D>::acquirePermit(const StartAttempt &action, TargetLimitKey target,
                                   Duration maxWait)
{
    m_permit.countQuery(action.id);
    TargetPermits &permits = m_context.permits;
    std::weak_ptr<RequestTask> weak = this->weak_from_this();
    permits.acquire({.target = target,
                     .maxWait = maxWait,
                     .priority = priority(),
                     .term = deadline() - http::EventLoop::now()},
                    [weak, &permits, action, target, maxWait](const PermitDecision &decision) {
                        if (const std::shared_ptr<RequestTask> task = weak.lock()) {
                            task->onPermitDecided(action, target, maxWait, decision);
                        } else if (decision.permit) {
                            permits.refund(*decision.permit);
                        }
                    });
}

template <Dialect D>
void RequestTask<D>::onPermitDecided(const StartAttempt &action, TargetLimitKey target,
                                     Duration maxWait, const PermitDecision &decision)
{
    const Instant now = http::EventLoop::now();
    TargetSelector &targetSelector = m_context.fleet.targetSelector();
    const bool isCurrent = !m_isEnded && m_machine.isCurrent(action.id);
    if (!decision.permit) {
        targetSelector.setPermitAvailable(target.target, now + decision.pause);
        if (isCurrent && maxWait > Duration(0)) {
            m_targetReturnsAt = now + decision.retryAfter;
            perform(m_machine.targetsUnavailable(action.id, now, decision.retryAfter));
        } else if (isCurrent) {
            startAttempt(action);
        }
        return;
    }
    m_permit.set(*decision.permit);
    if (!isCurrent) {
        m_permit.refund();
        return;
    }
    if (decision.wait <= Duration(0)) {
        startAttempt(action);
        return;
    }
    // Permits until then are taken.
    targetSelector.setPermitAvailable(target.target, now + decision.wait);
    std::weak_ptr<RequestTask> weak = this->weak_from_this();
    m_context.loop.startTimer(decision.wait, [weak, action] {
        const std::shared_ptr<RequestTask> task = weak.lock();
        if (task && !task->m_isEnded && task->m_machine.isCurrent(action.id)) {
            task->startAttempt(action);
        }
    });
}

template <Dialect D>
void RequestTask<D>::refuseQuarantined(AttemptId id, const QuarantinedSegments &quarantined,
                                       Instant now)
{
    const std::string segments = segmentIds(quarantined.segments);
    m_context.metrics.counter({"teaseldrift_attempts_quarantined_total", "service", m_service})
            .add();
    m_context.log.write(telemetry::EventPriority::Important, "attempt_quarantined",
                        {{"request_id", std::string_view(m_admitted.request.id)},
                         {"attempt", static_cast<int64_t>(id)},
                         {"segments", std::string_view(segments)},
                         {"crashes", static_cast<int64_t>(quarantined.crashes)}});
    perform(m_machine.targetsUnavailable(id, now, quarantineRetryAfter(quarantined, now)));
}

template <Dialect D>
void RequestTask<D>::handleNoTarget(const StartAttempt &action, const TargetQuery &query,
                                    Instant now)
{
    const AttemptId id = action.id;
    const TargetDirectory &directory = m_context.fleet.directory();
    m_permit.refund();
    if (directory.ofService(query.service).empty()) {
        perform(m_machine.targetsUnavailable(id, now));
        return;
    }
    const std::optional<TargetAvailability> earliest
            = m_context.fleet.targetSelector().availableFrom(directory, query, now);
    if (!earliest || earliest->from <= now) {
        perform(m_machine.noTargetAvailable(id, now));
        return;
    }
    // Spreads requests that wait for the same target, and callers that are refused because of it.
    constexpr int64_t steps = 1024;
    const int64_t step = static_cast<int64_t>(query.seed % steps);
    m_targetReturnsAt = earliest->from + returnSpread * step / steps;
    const Instant latest = std::min(now + (deadline() - now) / 2,
                                    m_admitted.arrivedAt + m_admitted.route->latencyObjective);
    const TargetLimitKey target = limitKeyOf(earliest->target, earliest->startedAtMs);
    const bool isLimited = m_context.permits.isLimited(target);
    // A permit is reserved for a certain time, so that requests need not be spread.
    const Instant from = isLimited ? earliest->from : *m_targetReturnsAt;
    if (from > latest || (isLimited && !m_permit.mayQuery(id))) {
        perform(m_machine.targetsUnavailable(id, now, *m_targetReturnsAt - now));
    } else if (isLimited) {
        acquirePermit(action, target, latest - now);
    } else {
        perform(m_machine.waitForTarget(id, *m_targetReturnsAt, now));
    }
}

template <Dialect D>
uint32_t RequestTask<D>::priority() const
{
    constexpr uint32_t lowest = 9;
    // The organisation's priority takes precedence; the route orders its own requests.
    constexpr uint32_t routeLevels = 3;
    const uint32_t routePriority = std::min(m_admitted.route->priority, routeLevels - 1);
    const Organisation *organisation = m_admitted.organisation;
    const uint32_t first = organisation == nullptr ? 0 : organisation->priority.value_or(0);
    return std::min(lowest, first * routeLevels + routePriority);
}

template <Dialect D>
bool RequestTask<D>::isTooLate(Duration expectedWait, Instant now) const
{
    const Duration objective = m_admitted.route->latencyObjective;
    const bool isShared = m_context.fleet.options().hasUnevenTargets;
    return isQueueTooLong(
            {.objective = objective,
             .shortestObjective
             = isShared ? m_admitted.table->shortestObjective(m_service, objective) : objective,
             .timeLeft = deadline() - now},
            expectedWait);
}

template <Dialect D>
AttemptMetadata RequestTask<D>::attemptMetadata(Instant now) const
{
    AttemptMetadata metadata{.timeLeft = deadline() - now,
                             .instance = m_choice->id,
                             .cacheSalt = m_choice->cacheSalt,
                             .weights = m_choice->weights,
                             .importFrom = m_choice->importFrom,
                             .saveTo = m_choice->saveTo};
    if (m_admitted.organisation != nullptr) {
        metadata.organisation = m_admitted.organisation->name;
    }
    if (!m_admitted.request.model.empty()) {
        metadata.priority = priority();
    }
    return metadata;
}

template <Dialect D>
void RequestTask<D>::send(const StartAttempt &action, Instant now)
{
    AttemptMetadata metadata = attemptMetadata(now);
    const std::string lastEventId = m_lastEventId ? std::to_string(*m_lastEventId) : std::string();
    metadata.lastEventId = lastEventId;
    const CallerRequest &request = m_admitted.request;
    http::Request message{.method = request.method,
                          .path = request.path,
                          .authority = request.host,
                          .headers = m_dialect.targetHeaders(request, metadata),
                          .body = std::string(m_exchange->body())};
    m_events.reset();
    releaseMemory(m_body);
    m_buffers.set(0);
    m_responseMetadata = {};
    m_status = 0;
    m_isPrefillFinished = false;
    m_isLoadDiscounted = false;
    m_sentAt = now;
    m_answerBeganAt.reset();
    m_isAnswerRecorded = false;
    m_hasFreshConnection = action.useFreshConnection;
    m_endsWithConnection = false;
    m_hasEvents = false;
    m_triedTargets += m_triedTargets.empty() ? "" : ",";
    m_triedTargets += m_choice->id;
    m_context.fleet.targetSelector().sent(*m_choice, now);
    m_context.fleet.countTargetCall(m_choice->id, m_choice->startedAtMs, TargetCall::Request);
    m_version.sent(m_context.fleet.directory().find(m_choice->id), now);
    if (action.id > 1) {
        m_context.metrics.counter({"teaseldrift_retries_total", "service", m_service}).add();
    }
    m_startDeadline.start(request.model, m_choice->weights, now);
    std::weak_ptr<RequestTask> weak = this->weak_from_this();
    const AttemptId id = action.id;
    m_call = m_context.targets.start(
            {.targetId = m_choice->id,
             .targetAddress = m_choice->address,
             .use
             = action.useFreshConnection ? http::ConnectionUse::Fresh : http::ConnectionUse::Pooled,
             .isRepeatable = mayRepeat(m_admitted.route->kind),
             .requestId = request.id,
             .onPathLost =
                     [weak, id] {
                         if (const std::shared_ptr<RequestTask> task = weak.lock()) {
                             task->discountLoad(id);
                         }
                     }},
            std::move(message),
            {.onSent =
                     [weak, id] {
                         if (const std::shared_ptr<RequestTask> task = weak.lock()) {
                             task->m_machine.sendStarted(id, http::EventLoop::now());
                         }
                     },
             .matchesRequest =
                     [weak](const http::ResponseHead &head) {
                         const std::shared_ptr<RequestTask> task = weak.lock();
                         return task == nullptr || task->isOfRequest(head);
                     },
             .onHead =
                     [weak, id](const http::ResponseHead &head) {
                         if (const std::shared_ptr<RequestTask> task = weak.lock()) {
                             task->onHead(id, head);
                         }
                     },
             .onData =
                     [weak, id](std::string_view data) {
                         if (const std::shared_ptr<RequestTask> task = weak.lock()) {
                             task->onData(id, data);
                         }
                     },
             .onEnd =
                     [weak, id](http::CallOutcome end) {
                         if (const std::shared_ptr<RequestTask> task = weak.lock()) {
                             task->onEnd(id, end);
                         }
                     }});
}

template <Dialect D>
void RequestTask<D>::endAttempt(bool isPrefillFinished)
{
    m_permit.end(http::EventLoop::now());
    m_startDeadline.clear();
    m_version.end();
    if (m_choice && !m_isLoadDiscounted) {
        m_context.fleet.targetSelector().ended(*m_choice, isPrefillFinished);
    }
    m_choice.reset();
}

template <Dialect D>
void RequestTask<D>::finishPrefill(Instant now)
{
    const bool isFirstEvent = m_hasEvents && !m_isPrefillFinished;
    m_isPrefillFinished = true;
    m_version.responded(now);
    if (m_choice && !m_isLoadDiscounted) {
        m_context.fleet.targetSelector().prefillFinished(*m_choice, now, isFirstEvent);
    }
}

/// A request that hangs on a cut path says nothing about the load of its target; counted, it would
/// make all targets look full that this VM cannot reach itself.
template <Dialect D>
void RequestTask<D>::discountLoad(AttemptId id)
{
    if (m_machine.isCurrent(id) && m_choice && !m_isLoadDiscounted) {
        m_context.fleet.targetSelector().ended(*m_choice, m_isPrefillFinished);
        m_isLoadDiscounted = true;
    }
}

template <Dialect D>
void RequestTask<D>::cancelAttempt()
{
    m_call.reset();
    endAttempt(m_isPrefillFinished);
}

/// Takes a request back that has not begun at its target in time. It may begin just now, so it
/// counts as one that may have run.
template <Dialect D>
void RequestTask<D>::withdrawAttempt(Instant now)
{
    m_context.metrics.counter({"teaseldrift_attempts_withdrawn_total", "service", m_service}).add();
    m_context.log.write(telemetry::EventPriority::Important, "attempt_withdrawn",
                        {{"request_id", std::string_view(m_admitted.request.id)},
                         {"attempt", static_cast<int64_t>(m_machine.attempts())},
                         {"target", std::string_view(m_choice->id)},
                         {"weights", static_cast<int64_t>(m_choice->weights)},
                         {"expected_wait_ms", toSeconds(m_expectedWait) * 1e3},
                         {"after_ms", toSeconds(now - m_sentAt) * 1e3}});
    perform(m_machine.attemptFailed(m_machine.attempts(), now));
}

template <Dialect D>
void RequestTask<D>::recordResponse(const ResponseMetadata &metadata, int status, Instant now)
{
    TargetSelector &targetSelector = m_context.fleet.targetSelector();
    m_context.fleet.applyNotice(m_choice->id, m_choice->startedAtMs, metadata.notice, now,
                                m_sentAt);
    if (metadata.load) {
        targetSelector.reportLoad(m_choice->id, *metadata.load, now);
    }
    if (metadata.weights && !m_admitted.request.model.empty()) {
        m_context.fleet.updateLoadedWeights(m_choice->id, m_admitted.request.model,
                                            *metadata.weights);
    }
    constexpr int misdirected = 421;
    const bool isQuiet = metadata.notice.quietTime > Duration(0);
    m_permit.answered(metadata.reportsNotRun && status != misdirected && !isQuiet, metadata.load,
                      now);
    if (metadata.reportsNotRun) {
        m_permit.end(now);
    }
    if (isQuiet || metadata.reportsNotRun) {
        targetSelector.health().refused(m_choice->id);
    }
    if (isQuiet) {
        return;
    }
    constexpr int serverError = 500;
    if (status != misdirected && (metadata.reportsNotRun || status >= serverError)) {
        m_version.failed(now);
    }
    if (metadata.reportsNotRun) {
        targetSelector.refused(m_choice->id, now);
        if (status == misdirected && !metadata.weights && m_choice->weights > 0) {
            // The target has loaded other weights than it last reported: most likely the desired
            // version.
            const uint64_t wanted
                    = m_context.fleet.weightRollout().desiredVersion(m_admitted.request.model);
            m_context.fleet.updateLoadedWeights(m_choice->id, m_admitted.request.model,
                                                std::max(wanted, m_choice->weights));
        }
        return;
    }
    targetSelector.accepted(m_choice->id, now);
    const bool failed = status >= serverError && !m_admitted.request.model.empty();
    targetSelector.health().report(
            m_choice->id, failed ? HealthObservation::ErrorResponse : HealthObservation::Responded,
            now);
}

template <Dialect D>
bool RequestTask<D>::isOfRequest(const http::ResponseHead &head) const
{
    const std::string answeredId = m_dialect.readResponse(head).requestId;
    if (answeredId.empty() || answeredId == m_admitted.request.id) {
        return true;
    }
    m_context.log.write(telemetry::EventPriority::Important, "stray_answer_read_over",
                        {{"request_id", std::string_view(m_admitted.request.id)},
                         {"answered_id", std::string_view(answeredId)},
                         {"status", static_cast<int64_t>(head.status)}});
    return false;
}

template <Dialect D>
void RequestTask<D>::onHead(AttemptId id, const http::ResponseHead &head)
{
    const Instant now = http::EventLoop::now();
    if (!m_machine.isCurrent(id) || !m_choice) {
        return;
    }
    ResponseMetadata metadata = m_dialect.readResponse(head);
    constexpr int firstSuccess = 200;
    constexpr int firstRedirect = 300;
    const bool isSuccess = head.status >= firstSuccess && head.status < firstRedirect;
    if (isSuccess && !metadata.isSealed) {
        m_context.log.write(telemetry::EventPriority::Important, "answer_without_seal",
                            {{"request_id", std::string_view(m_admitted.request.id)},
                             {"target", std::string_view(m_choice->id)},
                             {"status", static_cast<int64_t>(head.status)}});
        m_context.fleet.targetSelector().health().report(m_choice->id,
                                                         HealthObservation::ConnectionBroken, now);
        perform(m_machine.attemptFailed(id, now));
        return;
    }
    if (metadata.reportsNotRun && metadata.requestId.empty() && !m_hasFreshConnection) {
        // It may be the refusal of an earlier request on this connection, written once more.
        m_context.log.write(telemetry::EventPriority::Important, "refusal_without_id",
                            {{"request_id", std::string_view(m_admitted.request.id)},
                             {"target", std::string_view(m_choice->id)},
                             {"status", static_cast<int64_t>(head.status)}});
        perform(m_machine.attemptFailed(id, now));
        return;
    }
    if (isSuccess && m_callerHasHead && !metadata.isEventStream) {
        // It cannot continue the stream that the caller is receiving.
        m_context.log.write(telemetry::EventPriority::Important, "answer_not_a_stream",
                            {{"request_id", std::string_view(m_admitted.request.id)},
                             {"target", std::string_view(m_choice->id)},
                             {"status", static_cast<int64_t>(head.status)}});
        perform(m_machine.attemptFailed(id, now));
        return;
    }
    recordResponse(metadata, head.status, now);
    m_throughVm = m_call->vmId();
    m_responseMetadata = std::move(metadata);
    m_status = head.status;
    if (!isStreaming()) {
        m_startDeadline.clear();
    }
    m_endsWithConnection = http::findHeader(head.headers, "content-length").empty()
                           && http::findHeader(head.headers, "transfer-encoding").empty();
    const RequestActions actions
            = m_machine.responseHeadReceived(id,
                                             {.status = head.status,
                                              .retryAfter = m_responseMetadata.retryAfter,
                                              .reportsNotRun = m_responseMetadata.reportsNotRun},
                                             now);
    if (!actions.empty()) {
        perform(actions);
        return;
    }
    if (!m_callerHasHead) {
        m_responseHeaders = m_dialect.responseHeaders(head);
    }
    armTimer();
}

template <Dialect D>
void RequestTask<D>::onData(AttemptId id, std::string_view data)
{
    if (!m_machine.isCurrent(id)) {
        return;
    }
    if (isStreaming()) {
        m_events.append(data);
        forwardEvents(id);
        if (m_machine.isCurrent(id)) {
            m_buffers.set(m_events.bufferedBytes());
        }
        return;
    }
    m_machine.bytesReceived(id, http::EventLoop::now());
    m_body.append(data);
    if (m_body.size() > maxResponseBytes) {
        giveUpResponse("response_too_large");
        return;
    }
    m_buffers.set(m_body.capacity());
}

/// Ends an attempt whose response takes too much memory, which may have no end.
template <Dialect D>
void RequestTask<D>::giveUpResponse(std::string_view reason)
{
    const Instant now = http::EventLoop::now();
    const AttemptId id = m_machine.attempts();
    if (m_isEnded || !m_choice || !m_machine.isCurrent(id)) {
        return;
    }
    m_context.metrics.counter({"teaseldrift_responses_given_up_total", "reason", reason}).add();
    m_context.log.write(
            telemetry::EventPriority::Important, "response_given_up",
            {{"request_id", std::string_view(m_admitted.request.id)},
             {"target", std::string_view(m_choice->id)},
             {"reason", reason},
             {"status", static_cast<int64_t>(m_status)},
             {"bytes", static_cast<int64_t>(std::max(m_body.size(), m_events.bufferedBytes()))}});
    // The memory of this VM says nothing about the target.
    if (reason != bufferBudget) {
        m_context.fleet.targetSelector().health().report(m_choice->id,
                                                         HealthObservation::ConnectionBroken, now);
    }
    releaseMemory(m_body);
    m_events.reset();
    m_buffers.set(0);
    perform(m_machine.attemptFailed(id, now));
}

template <Dialect D>
void RequestTask<D>::forwardEvents(AttemptId id)
{
    const Instant now = http::EventLoop::now();
    std::string out;
    SseEvent event;
    while (m_events.next(event)) {
        m_hasEvents = true;
        m_startDeadline.clear();
        uint64_t number = 0;
        const bool isNumbered
                = event.hasId
                  && std::from_chars(event.id.data(), event.id.data() + event.id.size(), number).ec
                             == std::errc();
        if (isNumbered && m_lastEventId && number <= *m_lastEventId) {
            continue;
        }
        const RequestActions actions = m_machine.eventsReceived(
                id, {.first = m_machine.deliveredPositions(), .count = 1}, now);
        if (!actions.empty()) {
            perform(actions);
            return;
        }
        if (isNumbered) {
            m_lastEventId = number;
        }
        out += event.raw;
    }
    if (m_events.isEventTooLarge()) {
        giveUpResponse("event_too_large");
        return;
    }
    if (out.empty()) {
        return;
    }
    recordAnswer(now, false);
    if (!m_isPrefillFinished) {
        finishPrefill(now);
        m_call->expectData();
        m_firstEventAt = m_firstEventAt == Instant() ? now : m_firstEventAt;
    }
    if (!m_callerHasHead) {
        m_callerHasHead = true;
        m_exchange->startStream(m_status, m_responseHeaders);
    }
    const size_t unread = m_exchange->write(out);
    if (!m_machine.isCurrent(id)) {
        return;
    }
    if (unread > maxPendingBytes && m_call) {
        m_call->pause();
    }
    armTimer();
}

template <Dialect D>
void RequestTask<D>::onEnd(AttemptId id, http::CallOutcome end)
{
    const Instant now = http::EventLoop::now();
    if (!m_machine.isCurrent(id) || !m_choice) {
        return;
    }
    const std::string target = m_choice->id;
    TargetHealth &health = m_context.fleet.targetSelector().health();
    m_permit.end(now);
    if (end == http::CallOutcome::NotSent) {
        if (!m_call->isPathCut()) {
            m_version.failed(now);
            health.report(target, HealthObservation::ConnectFailed, now);
        }
        m_machine.nothingSent(id);
        perform(m_machine.connectFailed(id, now));
        return;
    }
    // Without a length, a target that crashes before its first event looks like one that has
    // nothing to send.
    const bool isEmptyStream = isStreaming() && m_endsWithConnection && !m_hasEvents;
    if (end == http::CallOutcome::Broken && m_call->wasGivenUp()) {
        giveUpResponse(bufferBudget);
        return;
    }
    if (end == http::CallOutcome::Broken || m_events.hasPartialEvent() || isEmptyStream) {
        if (!m_call->isPathLost()) {
            recordLostAttempt(now);
            m_version.failed(now);
            health.report(target, HealthObservation::ConnectionBroken, now);
        }
        perform(m_machine.attemptFailed(id, now));
        return;
    }
    const RouteKind kind = m_admitted.route->kind;
    const bool isStreamRoute = kind == RouteKind::Stream || kind == RouteKind::ResumableStream;
    perform(isStreamRoute && m_status == statusOk ? m_machine.endMarkerReceived(id, now)
                                                  : m_machine.responseComplete(id, now));
}

/// Records that the target answers, once that is certain: the answer is complete or has gone on for
/// some time.
template <Dialect D>
void RequestTask<D>::recordAnswer(Instant now, bool isComplete)
{
    SegmentQuarantine &quarantine = m_context.fleet.quarantine();
    m_answerBeganAt = m_answerBeganAt.value_or(now);
    if (m_isAnswerRecorded || m_status != statusOk
        || !(isComplete || quarantine.isConfirmed(*m_answerBeganAt, now))) {
        return;
    }
    m_isAnswerRecorded = true;
    quarantine.answered(m_admitted.request.model, m_admitted.request.segments, *m_answerBeganAt);
}

/// Records that the target broke the attempt off, which may have been a crash.
template <Dialect D>
void RequestTask<D>::recordLostAttempt(Instant now)
{
    const CallerRequest &request = m_admitted.request;
    m_context.fleet.quarantine().attemptLost({.target = m_choice->id,
                                              .startedAtMs = m_choice->startedAtMs,
                                              .model = request.model,
                                              .segments = request.segments,
                                              .answerBeganAt = m_answerBeganAt},
                                             now);
    const std::string segments = sharedSegmentIds(request.segments);
    m_context.metrics.counter({"teaseldrift_attempts_lost_total", "service", m_service}).add();
    m_context.log.write(telemetry::EventPriority::Important, "attempt_lost",
                        {{"request_id", std::string_view(request.id)},
                         {"attempt", static_cast<int64_t>(m_machine.attempts())},
                         {"target", std::string_view(m_choice->id)},
                         {"incarnation", static_cast<int64_t>(m_choice->startedAtMs)},
                         {"model", std::string_view(request.model)},
                         {"segments", std::string_view(segments)},
                         {"status", static_cast<int64_t>(m_status)},
                         {"events", static_cast<int64_t>(m_machine.deliveredPositions())},
                         {"after_ms", toSeconds(now - m_sentAt) * 1e3}});
}

template <Dialect D>
void RequestTask<D>::completeResponse()
{
    finishPrefill(http::EventLoop::now());
    if (m_choice) {
        recordAnswer(http::EventLoop::now(), true);
    }
    if (m_callerHasHead) {
        m_exchange->finish();
    } else if (isStreaming()) {
        m_exchange->startStream(m_status, m_responseHeaders);
        m_exchange->finish();
    } else {
        m_exchange->respond(
                {.status = m_status, .headers = m_responseHeaders, .body = std::move(m_body)});
    }
    end("answered", m_status);
}

template <Dialect D>
void RequestTask<D>::refuseRequest(const RefuseRequest &refusal)
{
    constexpr int unavailable = 503;
    constexpr int badGateway = 502;
    constexpr int gatewayTimeout = 504;
    const Instant now = http::EventLoop::now();
    int status = unavailable;
    http::Headers headers;
    if (refusal.ran == schema::RAN_NO) {
        if (m_admitted.organisation != nullptr) {
            m_context.usage.refund(m_admitted.organisation->name, m_admitted.cost,
                                   m_admitted.grantedAt);
        }
        const double left = std::max(0.0, toSeconds(deadline() - now));
        double after = std::min(toSeconds(maxRetryAfter), left * retryAfterFraction);
        if (m_targetReturnsAt) {
            const double untilReturn = toSeconds(*m_targetReturnsAt - now);
            const bool isFollowed = untilReturn > 0.0 && untilReturn <= left * followedFraction;
            after = isFollowed ? untilReturn : after * spreadFactor(m_admitted.request.id);
        }
        headers.push_back({"retry-after", std::to_string(after)});
    } else {
        status = now >= deadline() ? gatewayTimeout : badGateway;
    }
    m_exchange->respond({.status = status, .headers = std::move(headers)});
    end(schema::ResultCode_Name(refusal.code), status);
}

template <Dialect D>
void RequestTask<D>::endStreamWithError()
{
    m_exchange->abortAfterWrites();
    end("stream_cut", m_status);
}

template <Dialect D>
void RequestTask<D>::callerDisconnected()
{
    if (m_isEnded) {
        return;
    }
    const RequestActions actions = m_machine.callerDisconnected(http::EventLoop::now());
    const RouteKind kind = m_admitted.route->kind;
    if (actions.empty() && kind == RouteKind::NonIdempotent
        && m_machine.phase() != RequestPhase::Finished) {
        return;
    }
    cancelAttempt();
    m_exchange->abort();
    end("caller_gone", 0);
}

template <Dialect D>
void RequestTask<D>::armTimer()
{
    m_context.loop.cancelTimer(m_timer);
    m_timer = 0;
    Instant due = deadline();
    if (const std::optional<Instant> next = m_machine.nextDeadline()) {
        due = std::min(due, *next);
    }
    if (const std::optional<Instant> next = m_startDeadline.nextCheck()) {
        due = std::min(due, *next);
    }
    std::weak_ptr<RequestTask> weak = this->weak_from_this();
    m_timer = m_context.loop.startTimer(due - http::EventLoop::now(), [weak] {
        if (const std::shared_ptr<RequestTask> task = weak.lock()) {
            task->m_timer = 0;
            task->onTimer();
        }
    });
}

template <Dialect D>
void RequestTask<D>::onTimer()
{
    const Instant now = http::EventLoop::now();
    if (m_isEnded) {
        return;
    }
    if (now >= deadline()) {
        m_version.failed(now);
    }
    if (now >= deadline() && m_callerHasHead) {
        cancelAttempt();
        m_exchange->abortAfterWrites();
        end("deadline_in_stream", m_status);
        return;
    }
    if (now < deadline() && m_choice && m_startDeadline.hasPassed(now)) {
        withdrawAttempt(now);
        return;
    }
    const bool isStopping = m_answerBy && now >= *m_answerBy;
    perform(isStopping ? m_machine.drainDeadlineExpired(now) : m_machine.timerExpired(now));
}

template <Dialect D>
void RequestTask<D>::answerBy(Instant time)
{
    m_answerBy = time;
    // A response that is under way has announced keep-alive. Left open, it would take
    // the next request of this caller.
    m_exchange->closeAfterResponse();
    if (m_timer != 0) {
        armTimer();
    }
}

template <Dialect D>
void RequestTask<D>::end(std::string_view outcome, int status)
{
    if (m_isEnded) {
        return;
    }
    m_isEnded = true;
    m_buffers.set(0);
    m_permit.refund();
    const Instant now = http::EventLoop::now();
    m_context.loop.cancelTimer(m_timer);
    const bool isPlainSuccess = status == statusOk && outcome == "answered";
    const double firstMs = m_firstEventAt == Instant()
                                   ? 0.0
                                   : toSeconds(m_firstEventAt - m_admitted.arrivedAt) * 1e3;
    const std::string_view route = m_admitted.route->name;
    m_context.log.write(
            isPlainSuccess ? telemetry::EventPriority::Routine
                           : telemetry::EventPriority::Important,
            "request_ended",
            {{"request_id", std::string_view(m_admitted.request.id)},
             {"route", route},
             {"service", m_service},
             {"outcome", outcome},
             {"status", static_cast<int64_t>(status)},
             {"targets", std::string_view(m_triedTargets)},
             {"through_vm", std::string_view(m_throughVm)},
             {"attempts", static_cast<int64_t>(m_machine.attempts())},
             {"retry_refused", m_machine.isRetryRefused()},
             {"events", static_cast<int64_t>(m_machine.deliveredPositions())},
             {"tokens_to_read", static_cast<int64_t>(m_choice ? m_choice->prefillTokens : 0)},
             {"weights", static_cast<int64_t>(m_choice ? m_choice->weights : 0)},
             {"min_weights", static_cast<int64_t>(m_minWeights)},
             {"import_from",
              m_choice ? std::string_view(m_choice->importFrom) : std::string_view()},
             {"expected_wait_ms", toSeconds(m_expectedWait) * 1e3},
             {"load_age_ms", m_loadAge ? toSeconds(*m_loadAge) * 1e3 : -1.0},
             {"first_event_ms", firstMs},
             {"total_ms", toSeconds(now - m_admitted.arrivedAt) * 1e3},
             {"configuration", static_cast<int64_t>(m_admitted.table->definition().version)}});
    m_context.metrics.counter({"teaseldrift_requests_total", "outcome", outcome}).add();
    if (m_machine.isRetryRefused()) {
        m_context.metrics.counter({"teaseldrift_retries_refused_total", "service", m_service})
                .add();
    }
    m_context.metrics.distribution({"teaseldrift_request_seconds", "route", route})
            .observe(toSeconds(now - m_admitted.arrivedAt));
    endAttempt(m_isPrefillFinished);
    // end() may run within a handler of m_call, which is destroyed together with this task; the
    // task is therefore released from the event loop.
    m_context.loop.post([ended = m_onEnded] { ended(); });
}

} // namespace teaseldrift::relay
