#include <string>

#include <benchmark/benchmark.h>
#include <nlohmann/json.hpp>

#include "teaseldrift/attempts/request_state_machine.hpp"
#include "teaseldrift/streams/stream_relay.hpp"

namespace {

using namespace teaseldrift;
using nlohmann::json;

std::string chatEvent(uint64_t id)
{
    const json chunk = {
            {"id", "chatcmpl-0123456789abcdef0123456789abcdef"},
            {"object", "chat.completion.chunk"},
            {"created", 1760000000},
            {"model", "estimator-70b"},
            {"choices",
             {{{"index", 0},
               {"delta", {{"content", " token" + std::to_string(id)}}},
               {"logprobs", nullptr},
               {"finish_reason", nullptr}}}},
    };
    return "id: " + std::to_string(id) + "\ndata: " + chunk.dump() + "\n\n";
}

/// Passes the events of a target's stream through StreamRelay and RequestStateMachine, one chunk
/// per event.
void relayEvents(benchmark::State &state)
{
    constexpr uint64_t eventsPerStream = 500;
    std::vector<std::string> events;
    for (uint64_t i = 0; i < eventsPerStream; ++i) {
        events.push_back(chatEvent(i));
    }
    RetryBudget budget;
    const Instant now{};
    std::string out;
    for ([[maybe_unused]] benchmark::State::StateIterator::Value unused : state) {
        RequestStateMachine machine(
                {.routeClass = schema::GENERATION, .responseMode = ResponseMode::Streamed}, budget);
        StreamRelay relay;
        machine.start(now);
        machine.targetSelected(1, "engine-1", now);
        machine.sendStarted(1, now);
        machine.responseHeadReceived(1, {.status = 200}, now);
        relay.beginAttempt(AttemptKind::FullRequest);
        for (const std::string &event : events) {
            out.clear();
            const StreamProgress progress = relay.feed(event, out);
            machine.eventsReceived(1, {.first = progress.first, .count = progress.count}, now);
            benchmark::DoNotOptimize(out.data());
        }
        machine.endMarkerReceived(1, now);
    }
    state.SetItemsProcessed(state.iterations() * static_cast<int64_t>(eventsPerStream));
}

/// Runs a request with one attempt and a buffered response.
void plainRequest(benchmark::State &state)
{
    RetryBudget budget;
    const Instant now{};
    for ([[maybe_unused]] benchmark::State::StateIterator::Value unused : state) {
        RequestStateMachine machine({.routeClass = schema::IDEMPOTENT}, budget);
        benchmark::DoNotOptimize(machine.start(now));
        machine.targetSelected(1, "service-1", now);
        machine.sendStarted(1, now);
        machine.responseHeadReceived(1, {.status = 200}, now);
        machine.bytesReceived(1, now);
        benchmark::DoNotOptimize(machine.responseComplete(1, now));
    }
    state.SetItemsProcessed(state.iterations());
}

} // namespace

BENCHMARK(relayEvents);
BENCHMARK(plainRequest);

BENCHMARK_MAIN();
