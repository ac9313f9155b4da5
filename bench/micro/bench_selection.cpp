/// Measures the selection of a target by the number of targets.

#include <array>
#include <cstdint>
#include <string>

#include <benchmark/benchmark.h>

#include "teaseldrift/targets/target_selector.hpp"

namespace {

using namespace teaseldrift;

/// Prompts of a shared and an own segment, at engines that have run some requests. The second
/// argument states whether the engines report the time that work takes at present.
void selection(benchmark::State &state)
{
    const size_t targetCount = static_cast<size_t>(state.range(0));
    TargetSelector selector({.availabilityZone = "a"});
    TargetDirectory directory;
    const Instant now(100s);
    selector.setService({.name = "writer", .cacheTokens = 200000, .slots = 32}, 250.0);
    for (size_t i = 0; i < targetCount; ++i) {
        const TargetEntry entry{.id = "estimator-" + std::to_string(i),
                                .service = "writer",
                                .address = "10.0.0.1:" + std::to_string(i),
                                .availabilityZone = "a",
                                .slots = 32,
                                .startedAtMs = 1,
                                .weights = {{"m", 1}}};
        selector.update(entry, directory.put(entry), now);
        selector.reportLoad(entry.id,
                            {.running = 3,
                             .slots = 32,
                             .workTimePercent
                             = state.range(1) == 0 ? std::nullopt : std::optional<uint32_t>(120)},
                            now);
    }
    uint64_t number = 0;
    const auto choose = [&] {
        ++number;
        const std::array<PromptSegment, 2> segments{
                {{.id = number % 200, .tokens = 3000}, {.id = 1000 + number, .tokens = 500}}};
        return selector.choose(directory,
                               {.service = "writer",
                                .model = "m",
                                .segments = segments,
                                .newestWeights = 1,
                                .seed = number},
                               now);
    };
    for (size_t i = 0; i < 2 * targetCount; ++i) {
        std::optional<TargetChoice> choice = choose();
        selector.sent(*choice, now);
        selector.prefillFinished(*choice, now + 100ms);
        selector.ended(*choice, true);
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(choose());
    }
}

} // namespace

BENCHMARK(selection)->ArgsProduct({{20, 100, 400}, {0, 1}})->ArgNames({"targets", "speeds"});

BENCHMARK_MAIN();
