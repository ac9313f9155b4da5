#include "clients.hpp"

#include <algorithm>

namespace teaseldrift::bench {

namespace {

std::string targetName(size_t target)
{
    return "t" + std::to_string(target);
}

/// Selects the less loaded of two random candidates.
size_t selectLessLoaded(const std::vector<size_t> &candidates, ClientContext &context)
{
    std::uniform_int_distribution<size_t> index(0, candidates.size() - 1);
    const size_t first = candidates[index(context.random)];
    const size_t second = candidates[index(context.random)];
    return context.targets.load(first) <= context.targets.load(second) ? first : second;
}

} // namespace

FixedAttemptsClient::FixedAttemptsClient(ClientContext context, uint32_t maxAttempts)
    : m_context(context), m_maxAttempts(maxAttempts)
{ }

void FixedAttemptsClient::start(Request &request)
{
    State &state = m_states[request.index];
    attempt(request, state);
    m_context.timeline.at(m_context.timeline.now() + m_context.deadline, [this, &request, &state] {
        if (!state.isFinished) {
            end(request, state, false);
        }
    });
}

void FixedAttemptsClient::attempt(Request &request, State &state)
{
    std::vector<size_t> candidates(m_context.targets.count());
    for (size_t i = 0; i < candidates.size(); ++i) {
        candidates[i] = i;
    }
    ++state.attempt;
    state.hasDuplicateTokens = state.hasDuplicateTokens || state.hasPartialResponse;
    state.lastProgress = m_context.timeline.now();
    m_context.targets.submit(request, state.attempt, selectLessLoaded(candidates, m_context), 0);
    scheduleTimeout(request);
}

void FixedAttemptsClient::onEvent(Request &request, AttemptId id, TargetEvent event)
{
    State &state = m_states[request.index];
    if (state.isFinished || id != state.attempt) {
        return;
    }
    state.lastProgress = m_context.timeline.now();
    if (event == TargetEvent::Token) {
        state.hasPartialResponse = request.routeClass == schema::GENERATION;
        scheduleTimeout(request);
    } else if (event == TargetEvent::Connected) {
        scheduleTimeout(request);
    } else if (event == TargetEvent::End) {
        end(request, state, !state.hasDuplicateTokens);
    } else {
        fail(request, state);
    }
}

void FixedAttemptsClient::fail(Request &request, State &state)
{
    m_context.targets.cancel(request, state.attempt);
    if (state.attempt < m_maxAttempts) {
        attempt(request, state);
    } else {
        end(request, state, false);
    }
}

void FixedAttemptsClient::end(Request &request, State &state, bool isComplete)
{
    state.isFinished = true;
    m_context.targets.cancel(request, state.attempt);
    request.ended = m_context.timeline.now();
    request.isComplete = isComplete;
    request.reportedNotRun = !isComplete && !state.hasPartialResponse;
}

void FixedAttemptsClient::scheduleTimeout(Request &request)
{
    State &state = m_states[request.index];
    const Instant due = state.lastProgress + m_context.targetTimeout;
    const AttemptId id = state.attempt;
    m_context.timeline.at(due, [this, &request, &state, id] {
        const bool isDue = m_context.timeline.now() >= state.lastProgress + m_context.targetTimeout;
        if (!state.isFinished && state.attempt == id && isDue) {
            fail(request, state);
        }
    });
}

StateMachineClient::StateMachineClient(ClientContext context) : m_context(context)
{
    for (size_t i = 0; i < m_context.targets.count(); ++i) {
        m_health.addTarget(targetName(i), "pool", m_context.timeline.now());
    }
    probe();
}

void StateMachineClient::start(Request &request)
{
    const bool isStream = request.routeClass == schema::GENERATION;
    State &state = m_states[request.index];
    state.machine = std::make_unique<RequestStateMachine>(
            RequestOptions{
                    .routeClass = request.routeClass,
                    .responseMode = isStream ? ResponseMode::Streamed : ResponseMode::Buffered,
                    .deadline = m_context.deadline,
                    .firstByteTimeout = m_context.targetTimeout,
                    .progressTimeout = m_context.targetTimeout,
            },
            m_budget);
    perform(request, state.machine->start(m_context.timeline.now()));
    scheduleTimeout(request);
}

void StateMachineClient::onEvent(Request &request, AttemptId id, TargetEvent event)
{
    State &state = m_states[request.index];
    perform(request, applyEvent(request, state, id, event));
    scheduleTimeout(request);
}

RequestActions StateMachineClient::applyEvent(Request &request, State &state, AttemptId id,
                                              TargetEvent event)
{
    RequestStateMachine &machine = *state.machine;
    const Instant now = m_context.timeline.now();
    if (!machine.isCurrent(id)) {
        return {};
    }
    switch (event) {
    case TargetEvent::ConnectFailed:
        report(state.target, HealthObservation::ConnectFailed);
        return machine.connectFailed(id, now);
    case TargetEvent::Connected:
        machine.sendStarted(id, now);
        return {};
    case TargetEvent::Rejected:
        report(state.target, HealthObservation::Responded);
        return machine.responseHeadReceived(id, {.status = 503, .reportsNotRun = true}, now);
    case TargetEvent::ConnectionBroken:
        report(state.target, HealthObservation::ConnectionBroken);
        return machine.attemptFailed(id, now);
    case TargetEvent::Token:
        if (machine.attemptPhase() == AttemptPhase::PossiblySent) {
            machine.responseHeadReceived(id, {.status = 200}, now);
        }
        if (request.routeClass != schema::GENERATION) {
            machine.bytesReceived(id, now);
            return {};
        }
        return machine.eventsReceived(id, {.first = request.delivered++, .count = 1}, now);
    case TargetEvent::End:
        report(state.target, HealthObservation::Responded);
        return request.routeClass == schema::GENERATION ? machine.endMarkerReceived(id, now)
                                                        : machine.responseComplete(id, now);
    }
    return {};
}

void StateMachineClient::perform(Request &request, const RequestActions &actions)
{
    for (const RequestAction &action : actions) {
        std::visit([this, &request](const auto &one) { execute(request, one); }, action);
    }
}

void StateMachineClient::execute(Request &request, const StartAttempt &action)
{
    State &state = m_states[request.index];
    const Instant now = m_context.timeline.now();
    const std::optional<size_t> target = selectTarget(action);
    if (!target) {
        perform(request, state.machine->noTargetAvailable(action.id, now));
        return;
    }
    state.target = *target;
    state.machine->targetSelected(action.id, targetName(*target), now);
    m_context.targets.submit(request, action.id, *target, static_cast<uint32_t>(action.position));
}

void StateMachineClient::execute(Request &request, const CancelAttempt &action)
{
    m_context.targets.cancel(request, action.id);
}

void StateMachineClient::execute(Request &request, const CompleteResponse & /*action*/)
{
    request.ended = m_context.timeline.now();
    request.isComplete
            = request.routeClass != schema::GENERATION || request.delivered == request.tokens;
}

void StateMachineClient::execute(Request &request, const RefuseRequest &action)
{
    request.ended = m_context.timeline.now();
    request.reportedNotRun = action.ran == schema::RAN_NO;
}

void StateMachineClient::execute(Request &request, const EndStreamWithError & /*action*/)
{
    request.ended = m_context.timeline.now();
}

void StateMachineClient::report(size_t target, HealthObservation observation)
{
    m_health.report(targetName(target), observation, m_context.timeline.now());
}

std::optional<size_t> StateMachineClient::selectTarget(const StartAttempt &action)
{
    std::vector<size_t> candidates;
    for (size_t i = 0; i < m_context.targets.count(); ++i) {
        const std::string name = targetName(i);
        const bool isExcluded
                = std::find(action.excludedTargets.begin(), action.excludedTargets.end(), name)
                  != action.excludedTargets.end();
        if (!action.target.empty() ? name == action.target
                                   : !isExcluded && m_health.isEligible(name)) {
            candidates.push_back(i);
        }
    }
    return candidates.empty() ? std::nullopt
                              : std::optional(selectLessLoaded(candidates, m_context));
}

void StateMachineClient::probe()
{
    const Instant now = m_context.timeline.now();
    for (const std::string &target : m_health.takeProbes(now)) {
        const size_t index = std::stoul(target.substr(1));
        const bool respondsToProbes = m_context.targets.respondsToProbes(index);
        m_health.report(
                target,
                respondsToProbes ? HealthObservation::Responded : HealthObservation::TimedOut, now);
    }
    m_context.timeline.at(now + 100ms, [this] { probe(); });
}

void StateMachineClient::scheduleTimeout(Request &request)
{
    State &state = m_states[request.index];
    const std::optional<Instant> due = state.machine->nextDeadline();
    if (!due || (state.timer && *state.timer <= *due)) {
        return;
    }
    state.timer = due;
    m_context.timeline.at(*due, [this, &request, &state] {
        state.timer.reset();
        const std::optional<Instant> nextDue = state.machine->nextDeadline();
        const bool isAttempting = state.machine->phase() == RequestPhase::Attempting;
        if (nextDue && *nextDue <= m_context.timeline.now() && isAttempting) {
            report(state.target, HealthObservation::TimedOut);
        }
        perform(request, state.machine->timerExpired(m_context.timeline.now()));
        scheduleTimeout(request);
    });
}

} // namespace teaseldrift::bench
