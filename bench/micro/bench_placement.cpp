/// Measures routing decisions, index updates, block hashing and queue operations by problem size.

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "teaseldrift/hashing/block_chain.hpp"
#include "teaseldrift/placement/cache_aware_policy.hpp"
#include "teaseldrift/placement/prefix_index.hpp"
#include "teaseldrift/queueing/fair_queue.hpp"

namespace {

using namespace teaseldrift;

constexpr uint32_t blockTokens = 1000;
constexpr uint32_t bytesPerToken = 4;

/// Generates prompts of three nested levels; the last quarter of each chain is unique to the
/// request.
class Prompts
{
public:
    explicit Prompts(size_t blocks) : m_blocks(blocks) { }

    std::vector<hashing::BlockHash> next(std::mt19937_64 &random)
    {
        const uint32_t topic = static_cast<uint32_t>(random() % 20);
        const uint32_t section = static_cast<uint32_t>(random() % 30);
        std::vector<uint32_t> tokens(m_blocks, topic);
        for (size_t i = m_blocks / 2; i < m_blocks; ++i) {
            tokens[i] = section;
        }
        for (size_t i = m_blocks - m_blocks / 4; i < m_blocks; ++i) {
            tokens[i] = ++m_lastUniqueToken;
        }
        return hashing::hashTokenChain({.organisation = "acreage"}, tokens, {.blockTokens = 1});
    }

private:
    size_t m_blocks;
    uint32_t m_lastUniqueToken = 0;
};

std::vector<std::string> numberedNames(size_t count)
{
    std::vector<std::string> names;
    for (size_t i = 0; i < count; ++i) {
        names.push_back("estimator-" + std::to_string(i));
    }
    return names;
}

void decision(benchmark::State &state)
{
    const size_t targetCount = static_cast<size_t>(state.range(0));
    const size_t blocks = static_cast<size_t>(state.range(1));
    const std::vector<std::string> names = numberedNames(targetCount);
    std::vector<placement::TargetView> targets;
    for (const std::string &name : names) {
        targets.push_back({.id = name,
                           .incarnation = 1,
                           .weightsVersion = "1",
                           .availabilityZone = "colombo-a",
                           .load = {.running = 4, .reportedAt = Instant{}},
                           .slots = 16});
    }
    placement::CacheAwarePolicy policy(
            {.availabilityZone = "colombo-a", .blockTokens = blockTokens, .trafficShare = 1.0 / 6});
    std::mt19937_64 random(1);
    Prompts prompts(blocks);
    Instant now{};
    // Fills the index and the rate estimates. Each target receives five requests per second; one
    // sixth of them pass through this router.
    const Duration gap = Duration(1s) * 6 / (5 * targetCount);
    for (uint64_t attempt = 0; attempt < 2000; ++attempt) {
        now += gap;
        const std::vector<hashing::BlockHash> chain = prompts.next(random);
        const placement::RequestView request{
                .chain = chain, .promptTokens = static_cast<uint32_t>(blockTokens * blocks + 500)};
        for (placement::TargetView &target : targets) {
            target.load.reportedAt = now;
        }
        const placement::Choice choice = policy.choose(request, targets, now, random);
        policy.started(attempt, request, targets[choice.target], choice, now);
        policy.firstToken(attempt, now);
        policy.finished(attempt, {.cachedTokens = 0}, now);
    }
    std::vector<std::vector<hashing::BlockHash>> chains;
    for (int i = 0; i < 256; ++i) {
        chains.push_back(prompts.next(random));
    }
    size_t next = 0;
    for (auto _ : state) {
        const std::vector<hashing::BlockHash> &chain = chains[next++ % chains.size()];
        const placement::RequestView request{
                .chain = chain, .promptTokens = static_cast<uint32_t>(blockTokens * blocks + 500)};
        benchmark::DoNotOptimize(policy.choose(request, targets, now, random));
    }
}

void indexUpdate(benchmark::State &state)
{
    placement::PrefixIndex index;
    index.registerTarget("estimator-0", 1, "1");
    std::mt19937_64 random(1);
    std::vector<hashing::BlockHash> blocks(1U << 16U);
    for (hashing::BlockHash &block : blocks) {
        block = {.high = random(), .low = random()};
    }
    uint64_t sequence = 0;
    for (auto _ : state) {
        const size_t at = sequence % blocks.size();
        index.onCacheEvent({.targetId = "estimator-0",
                            .incarnation = 1,
                            .sequence = ++sequence,
                            .kind = sequence % 3 == 0 ? placement::CacheEventKind::Removed
                                                      : placement::CacheEventKind::Stored,
                            .blocks = std::span(blocks).subspan(at, 1)},
                           Instant{});
    }
    state.counters["index_bytes_per_block"]
            = static_cast<double>(placement::PrefixIndex::entryBytes);
}

void hashBlocks(benchmark::State &state)
{
    const size_t blocks = static_cast<size_t>(state.range(0));
    const std::string prompt(blocks * blockTokens * bytesPerToken, 'x');
    for (auto _ : state) {
        benchmark::DoNotOptimize(hashing::hashChain({.organisation = "acreage"}, prompt,
                                                    {.blockTokens = blockTokens}));
    }
    state.SetItemsProcessed(state.iterations() * state.range(0));
}

void queueRequest(benchmark::State &state)
{
    const std::vector<std::string> organisations
            = numberedNames(static_cast<size_t>(state.range(0)));
    queueing::FairQueue queue({.maxWaiting = 4096});
    uint64_t id = 0;
    for (size_t i = 0; i < organisations.size() * 2; ++i) {
        queue.push({.id = ++id, .organisation = organisations[i % organisations.size()]}, {});
    }
    for (auto _ : state) {
        queue.push({.id = ++id, .organisation = organisations[id % organisations.size()]}, {});
        queue.take(*queue.next(), {});
    }
}

} // namespace

BENCHMARK(decision)->ArgsProduct({{20, 100, 400}, {8, 64}})->ArgNames({"targets", "blocks"});
BENCHMARK(indexUpdate);
BENCHMARK(hashBlocks)->Arg(8)->Arg(64)->ArgName("blocks");
BENCHMARK(queueRequest)->Arg(5)->Arg(100)->Arg(1400)->ArgName("organisations");

BENCHMARK_MAIN();
