#include "clients.hpp"

#include <algorithm>

namespace teaseldrift::bench {

namespace {

std::string targetName(size_t target)
{
    return "t" + std::to_string(target);
}

/// The less loaded of two targets chosen at random.
size_t chooseOf(const std::vector<size_t> &candidates, ClientContext &context)
{
    std::uniform_int_distribution<size_t> index(0, candidates.size() - 1);
    const size_t first = candidates[index(context.random)];
    const size_t second = candidates[index(context.random)];
    return context.targets.load(first) <= context.targets.load(second) ? first : second;
}

} // namespace

CountingClient::CountingClient(ClientContext context, uint32_t maxAttempts)
    : m_context(context), m_maxAttempts(maxAttempts)
{ }

void CountingClient::start(Request &request)
{
    State &state = m_states[request.index];
    attempt(request, state);
    m_context.timeline.at(m_context.timeline.now() + m_context.deadline, [this, &request, &state] {
        if (!state.isOver) {
            end(request, state, false);
        }
    });
}

void CountingClient::attempt(Request &request, State &state)
{
    std::vector<size_t> candidates(m_context.targets.count());
    for (size_t i = 0; i < candidates.size(); ++i) {
        candidates[i] = i;
    }
    ++state.attempt;
    state.isSpoilt = state.isSpoilt || state.hasAnswerPart;
    state.lastProgress = m_context.timeline.now();
    m_context.targets.submit(request, state.attempt, chooseOf(candidates, m_context), 0);
    watch(request);
}

void CountingClient::onEvent(Request &request, AttemptId id, TargetEvent event)
{
    State &state = m_states[request.index];
    if (state.isOver || id != state.attempt) {
        return;
    }
    state.lastProgress = m_context.timeline.now();
    if (event == TargetEvent::Token) {
        state.hasAnswerPart = request.routeClass == schema::GENERATION;
        watch(request);
    } else if (event == TargetEvent::Connected) {
        watch(request);
    } else if (event == TargetEvent::End) {
        end(request, state, !state.isSpoilt);
    } else {
        fail(request, state);
    }
}

void CountingClient::fail(Request &request, State &state)
{
    m_context.targets.cancel(request, state.attempt);
    if (state.attempt < m_maxAttempts) {
        attempt(request, state);
    } else {
        end(request, state, false);
    }
}

void CountingClient::end(Request &request, State &state, bool isComplete)
{
    state.isOver = true;
    m_context.targets.cancel(request, state.attempt);
    request.ended = m_context.timeline.now();
    request.isComplete = isComplete;
    request.saidNotRun = !isComplete && !state.hasAnswerPart;
}

void CountingClient::watch(Request &request)
{
    State &state = m_states[request.index];
    const Instant due = state.lastProgress + m_context.silence;
    const AttemptId id = state.attempt;
    m_context.timeline.at(due, [this, &request, &state, id] {
        const bool isDue = m_context.timeline.now() >= state.lastProgress + m_context.silence;
        if (!state.isOver && state.attempt == id && isDue) {
            fail(request, state);
        }
    });
}

MachineClient::MachineClient(ClientContext context) : m_context(context)
{
    for (size_t i = 0; i < m_context.targets.count(); ++i) {
        m_health.addTarget(targetName(i), "pool", m_context.timeline.now());
    }
    probe();
}

void MachineClient::start(Request &request)
{
    const bool isStream = request.routeClass == schema::GENERATION;
    State &state = m_states[request.index];
    state.machine = std::make_unique<RequestStateMachine>(
            RequestOptions{
                    .routeClass = request.routeClass,
                    .responseMode = isStream ? ResponseMode::Streamed : ResponseMode::Buffered,
                    .deadline = m_context.deadline,
                    .firstByteTimeout = m_context.silence,
                    .progressTimeout = m_context.silence,
            },
            m_budget);
    perform(request, state.machine->start(m_context.timeline.now()));
    watch(request);
}

void MachineClient::onEvent(Request &request, AttemptId id, TargetEvent event)
{
    State &state = m_states[request.index];
    perform(request, take(request, state, id, event));
    watch(request);
}

RequestActions MachineClient::take(Request &request, State &state, AttemptId id, TargetEvent event)
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
    case TargetEvent::Refused:
        report(state.target, HealthObservation::Responded);
        return machine.responseHeadReceived(id, {.status = 503, .reportsNotRun = true}, now);
    case TargetEvent::Broken:
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

void MachineClient::perform(Request &request, const RequestActions &actions)
{
    for (const RequestAction &action : actions) {
        std::visit([this, &request](const auto &one) { carryOut(request, one); }, action);
    }
}

void MachineClient::carryOut(Request &request, const StartAttempt &action)
{
    State &state = m_states[request.index];
    const Instant now = m_context.timeline.now();
    const std::optional<size_t> target = choose(action);
    if (!target) {
        perform(request, state.machine->noTargetAvailable(action.id, now));
        return;
    }
    state.target = *target;
    state.machine->targetSelected(action.id, targetName(*target), now);
    m_context.targets.submit(request, action.id, *target, static_cast<uint32_t>(action.position));
}

void MachineClient::carryOut(Request &request, const CancelAttempt &action)
{
    m_context.targets.cancel(request, action.id);
}

void MachineClient::carryOut(Request &request, const CompleteResponse & /*action*/)
{
    request.ended = m_context.timeline.now();
    request.isComplete
            = request.routeClass != schema::GENERATION || request.delivered == request.tokens;
}

void MachineClient::carryOut(Request &request, const RefuseRequest &action)
{
    request.ended = m_context.timeline.now();
    request.saidNotRun = action.ran == schema::RAN_NO;
}

void MachineClient::carryOut(Request &request, const EndStreamWithError & /*action*/)
{
    request.ended = m_context.timeline.now();
}

void MachineClient::report(size_t target, HealthObservation evidence)
{
    m_health.report(targetName(target), evidence, m_context.timeline.now());
}

std::optional<size_t> MachineClient::choose(const StartAttempt &action)
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
    return candidates.empty() ? std::nullopt : std::optional(chooseOf(candidates, m_context));
}

void MachineClient::probe()
{
    const Instant now = m_context.timeline.now();
    for (const std::string &target : m_health.takeProbes(now)) {
        const size_t index = std::stoul(target.substr(1));
        const bool isWell = m_context.targets.isWell(index);
        m_health.report(target, isWell ? HealthObservation::Responded : HealthObservation::TimedOut,
                        now);
    }
    m_context.timeline.at(now + 100ms, [this] { probe(); });
}

void MachineClient::watch(Request &request)
{
    State &state = m_states[request.index];
    const std::optional<Instant> due = state.machine->nextDeadline();
    if (!due || (state.timer && *state.timer <= *due)) {
        return;
    }
    state.timer = due;
    m_context.timeline.at(*due, [this, &request, &state] {
        state.timer.reset();
        const std::optional<Instant> silent = state.machine->nextDeadline();
        const bool isUnderWay = state.machine->phase() == RequestPhase::Attempting;
        if (silent && *silent <= m_context.timeline.now() && isUnderWay) {
            report(state.target, HealthObservation::TimedOut);
        }
        perform(request, state.machine->timerExpired(m_context.timeline.now()));
        watch(request);
    });
}

} // namespace teaseldrift::bench
