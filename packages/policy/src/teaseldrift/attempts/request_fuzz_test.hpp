#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "teaseldrift/attempts/request_state_machine.hpp"
#include "teaseldrift/streams/stream_relay.hpp"

namespace teaseldrift::requestfuzz {

constexpr uint64_t targetCount = 3;
constexpr uint64_t allowedTokens = 8;

inline std::string token(uint64_t position)
{
    return "t" + std::to_string(position) + " ";
}

inline std::string textOf(uint64_t tokens)
{
    std::string text;
    for (uint64_t i = 0; i < tokens; ++i) {
        text += token(i);
    }
    return text;
}

/// An attempt as seen by its target. It stays active after the state machine has aborted it.
struct FakeAttempt
{
    StartAttempt action;
    std::string body;
    std::string lastEventId;
    std::string target;
    bool isSent = false;
    bool hasRun = false;
    bool isRefused = false;
    bool hasHead = false;
    int status = 200;
    std::string answer;
    size_t cursor = 0;
};

/// A request with simulated targets and caller. Asserts that the caller gets exactly one correct
/// outcome, and that a non-idempotent request runs at most once.
struct RequestSimulation
{
    schema::RouteClass routeClass;
    ResponseMode mode;
    /// Number of tokens after which the model stops; allowedTokens or more if only the limit stops
    /// it.
    uint64_t stopsAfter;
    bool numbersEvents;
    /// Declared before the relay, whose options are parsed from it.
    std::string body = nlohmann::json{{"prompt", "p"}, {"max_tokens", allowedTokens}}.dump();
    RetryBudget budget{{.floor = 4, .streamReserve = 6}};
    uint64_t sentAttempts = 0;
    RequestStateMachine machine;
    StreamRelay relay;
    /// Request body of the stream that a Resume continues.
    std::string streamBody;
    Instant now{};
    std::vector<FakeAttempt> attempts;
    std::string callerText;
    std::string buffer;
    uint32_t runs = 0;
    uint32_t outcomes = 0;
    bool isCallerGone = false;
    bool wasReportedNotRun = false;

    RequestSimulation(schema::RouteClass route, ResponseMode answers, uint64_t stop, bool numbers)
        : routeClass(route), mode(answers), stopsAfter(stop), numbersEvents(numbers),
          machine({.routeClass = route, .responseMode = answers}, budget),
          relay(parseStreamOptions(body))
    {
        perform(machine.start(now));
    }

    [[nodiscard]] uint64_t tokens() const { return std::min(stopsAfter, allowedTokens); }

    void perform(const RequestActions &actions)
    {
        for (const RequestAction &action : actions) {
            std::visit([this](const auto &one) { execute(one); }, action);
        }
    }

    void execute(const StartAttempt &action)
    {
        RC_ASSERT(outcomes == 0U);
        if (action.kind == AttemptKind::FullRequest) {
            streamBody = body;
        }
        if (action.kind == AttemptKind::Continuation) {
            streamBody = relay.continuationBody(body).value_or("");
            RC_ASSERT(!streamBody.empty());
        }
        FakeAttempt attempt{.action = action, .body = streamBody};
        attempt.lastEventId = relay.lastEventId();
        relay.beginAttempt(action.kind);
        buffer.clear();
        attempts.push_back(attempt);
    }

    void execute(const CancelAttempt & /*action*/) { }

    void execute(const CompleteResponse &action)
    {
        recordOutcome();
        const FakeAttempt &attempt = attempts.at(action.id - 1);
        // A stream whose text was all delivered may end normally even if the last attempt, which
        // was made only to get the end marker, was refused.
        const bool hasStream = attempt.status == 200 || !callerText.empty();
        if (mode == ResponseMode::Streamed && hasStream) {
            RC_ASSERT(callerText == textOf(tokens()));
        } else {
            RC_ASSERT(callerText.empty());
            RC_ASSERT(buffer == attempt.answer);
        }
    }

    void execute(const RefuseRequest &action)
    {
        recordOutcome();
        RC_ASSERT(callerText.empty());
        RC_ASSERT(schema::describe(action.code).ran() == action.ran);
        wasReportedNotRun = action.ran == schema::RAN_NO;
        RC_ASSERT(!wasReportedNotRun || runs == 0U);
    }

    void execute(const EndStreamWithError & /*action*/)
    {
        recordOutcome();
        RC_ASSERT(mode == ResponseMode::Streamed);
    }

    void recordOutcome()
    {
        ++outcomes;
        RC_ASSERT(outcomes == 1U);
    }

    void selectTarget(uint64_t choice)
    {
        FakeAttempt &attempt = attempts.back();
        if (machine.phase() != RequestPhase::SelectingTarget) {
            return;
        }
        if (attempt.action.kind == AttemptKind::Resume && attempt.lastEventId.empty()) {
            perform(machine.noTargetAvailable(attempt.action.id, now));
            return;
        }
        const std::string target = attempt.action.target.empty()
                                           ? "e" + std::to_string(choice % targetCount)
                                           : attempt.action.target;
        const std::vector<std::string> &excluded = attempt.action.excludedTargets;
        if (std::find(excluded.begin(), excluded.end(), target) != excluded.end()) {
            if (choice % 5 == 0) {
                perform(machine.noTargetAvailable(attempt.action.id, now));
            }
            return;
        }
        attempt.target = target;
        machine.targetSelected(attempt.action.id, target, now);
    }

    void connect(bool isReached)
    {
        FakeAttempt &attempt = attempts.back();
        if (machine.phase() != RequestPhase::Attempting || attempt.isSent) {
            return;
        }
        if (!isReached) {
            perform(machine.connectFailed(attempt.action.id, now));
            return;
        }
        attempt.isSent = true;
        ++sentAttempts;
        RC_ASSERT(sentAttempts <= 1 + budget.acquired());
        machine.sendStarted(attempt.action.id, now);
    }

    /// The target receives and runs the request, possibly long after the attempt was aborted.
    void run(FakeAttempt &attempt, uint64_t choice)
    {
        if (!attempt.isSent || attempt.hasRun || attempt.isRefused) {
            return;
        }
        attempt.hasRun = true;
        ++runs;
        RC_ASSERT(routeClass != schema::NON_IDEMPOTENT || runs <= 1U);
        RC_ASSERT(!wasReportedNotRun);
        attempt.answer = mode == ResponseMode::Streamed
                                 ? stream(attempt, choice)
                                 : "whole answer " + std::to_string(attempt.action.id);
    }

    [[nodiscard]] std::string stream(const FakeAttempt &attempt, uint64_t choice) const
    {
        const nlohmann::json request = nlohmann::json::parse(attempt.body);
        const std::string prompt = request["prompt"].get<std::string>().substr(1);
        const uint64_t first = static_cast<uint64_t>(std::count(prompt.begin(), prompt.end(), ' '));
        RC_ASSERT(prompt == textOf(first));
        const uint64_t last = std::min(stopsAfter, first + request["max_tokens"].get<uint64_t>());
        uint64_t begin = first;
        if (attempt.action.kind == AttemptKind::Resume) {
            begin = std::min(resumeAt(first + std::stoull(attempt.lastEventId) + 1, first, choice),
                             last - 1); // Sends at least the last token before the end marker.
        }
        std::string answer = ": ping\n\n";
        for (uint64_t i = begin; i < last; ++i) {
            answer += numbersEvents ? "id: " + std::to_string(i - first) + "\n" : "";
            answer += "data: "
                      + nlohmann::json{{"choices", {{{"index", 0}, {"text", token(i)}}}}}.dump()
                      + "\n\n";
        }
        return answer + "data: [DONE]\n\n";
    }

    /// A resuming target continues at the next token, restarts at the first one, or skips a token.
    static uint64_t resumeAt(uint64_t next, uint64_t first, uint64_t choice)
    {
        return choice % 4 == 0 ? first : choice % 4 == 1 ? next + 1 : next;
    }

    void head(FakeAttempt &attempt, uint64_t choice)
    {
        if (!attempt.isSent || attempt.hasHead) {
            return;
        }
        if (!attempt.hasRun) {
            attempt.isRefused = true;
            attempt.hasHead = true;
            perform(machine.responseHeadReceived(attempt.action.id,
                                                 {.status = 503, .reportsNotRun = true}, now));
            return;
        }
        attempt.hasHead = true;
        if (choice % 8 == 0) {
            attempt.status = 500;
            attempt.answer = "failed";
        }
        perform(machine.responseHeadReceived(attempt.action.id, {.status = attempt.status}, now));
    }

    /// Handles received bytes as the router's request task does.
    void data(FakeAttempt &attempt, size_t bytes)
    {
        if (!attempt.hasHead || attempt.isRefused || !machine.isCurrent(attempt.action.id)) {
            return;
        }
        const std::string piece = attempt.answer.substr(attempt.cursor, bytes);
        attempt.cursor += piece.size();
        const AttemptId id = attempt.action.id;
        if (mode == ResponseMode::Buffered || attempt.status != 200) {
            buffer += piece;
            machine.bytesReceived(id, now);
            return;
        }
        std::string out;
        const StreamProgress progress = relay.feed(piece, out);
        RequestActions actions;
        if (!out.empty()) {
            actions = machine.eventsReceived(id, {.first = progress.first, .count = progress.count},
                                             now);
        }
        if (!actions.empty()) {
            perform(actions);
            return;
        }
        deliverToCaller(out);
        if (progress.isTextComplete) {
            machine.textComplete(id);
        }
        if (progress.isBroken) {
            perform(machine.attemptFailed(id, now));
        } else if (progress.hasEndMarker) {
            perform(machine.endMarkerReceived(id, now));
        }
    }

    void deliverToCaller(std::string_view bytes)
    {
        SseParser parser;
        parser.append(bytes);
        SseEvent event;
        while (parser.next(event)) {
            RC_ASSERT(outcomes == 0U);
            callerText
                    += nlohmann::json::parse(event.data)["choices"][0]["text"].get<std::string>();
        }
        RC_ASSERT(!parser.hasPartialEvent());
        RC_ASSERT(textOf(tokens()).starts_with(callerText));
    }

    /// The transport reports the end of the response. A truncated buffered response is detected by
    /// its length; a truncated stream is not.
    void complete(FakeAttempt &attempt)
    {
        const bool isStream = mode == ResponseMode::Streamed && attempt.status == 200;
        const bool isWhole = attempt.cursor == attempt.answer.size();
        if (attempt.hasHead && !attempt.isRefused && (isWhole || isStream)) {
            perform(machine.responseComplete(attempt.action.id, now));
        }
    }

    void advanceTime(Duration time)
    {
        now += time;
        perform(machine.timerExpired(now));
    }

    void callerGone()
    {
        isCallerGone = isCallerGone || outcomes == 0;
        perform(machine.callerDisconnected(now));
    }

    /// Reports in the test output which paths through the state machine were taken.
    void classify() const
    {
        const AttemptKind last = attempts.back().action.kind;
        RC_CLASSIFY(last == AttemptKind::Resume, "resumed");
        RC_CLASSIFY(last == AttemptKind::Continuation, "continued");
        RC_CLASSIFY(machine.attemptPhase() == AttemptPhase::ResponseComplete, "complete response");
        RC_CLASSIFY(wasReportedNotRun, "not run");
        RC_CLASSIFY(attempts.size() > 1, "retried");
    }

    /// Performs the next step of the newest attempt as if nothing failed.
    void advance(uint64_t choice)
    {
        FakeAttempt &attempt = attempts.back();
        if (machine.phase() == RequestPhase::SelectingTarget) {
            selectTarget(choice);
        } else if (!attempt.isSent) {
            connect(true);
        } else if (!attempt.hasRun) {
            run(attempt, choice);
        } else if (!attempt.hasHead) {
            head(attempt, choice | 1U);
        } else if (attempt.cursor < attempt.answer.size()) {
            data(attempt, choice);
        } else {
            complete(attempt);
        }
    }

    /// Advances time until the request is finished, then checks that it had exactly one outcome.
    void drain()
    {
        for (int i = 0; i < 200 && machine.phase() != RequestPhase::Finished; ++i) {
            if (machine.phase() == RequestPhase::SelectingTarget
                && attempts.back().action.target.empty()) {
                perform(machine.noTargetAvailable(attempts.back().action.id, now));
            }
            const std::optional<Instant> due = machine.nextDeadline();
            if (due) {
                now = std::max(now, *due);
                perform(machine.timerExpired(now));
            }
        }
        RC_ASSERT(machine.phase() == RequestPhase::Finished);
        RC_ASSERT(outcomes == 1U || (outcomes == 0U && isCallerGone));
        classify();
    }
};

} // namespace teaseldrift::requestfuzz
