#include "teaseldrift/placement/cache_aware_policy.hpp"

#include <set>
#include <string>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "teaseldrift/hashing/block_chain.hpp"
#include "teaseldrift/placement/dispatcher.hpp"

namespace teaseldrift::placement {

namespace {

constexpr hashing::ChainOptions oneTokenBlocks{.blockTokens = 1};

std::vector<hashing::BlockHash> chainOf(std::string_view organisation,
                                        const std::vector<uint32_t> &tokens)
{
    return hashing::hashTokenChain({.organisation = organisation, .model = "m"}, tokens,
                                   oneTokenBlocks);
}

RequestView requestOf(std::span<const hashing::BlockHash> chain)
{
    return {.chain = chain,
            .promptTokens = static_cast<uint32_t>(1000 * chain.size() + 500),
            .outputTokens = 100};
}

std::vector<TargetView> targetsOf(std::span<const std::string> ids)
{
    std::vector<TargetView> targets;
    for (const std::string &id : ids) {
        targets.push_back({.id = id, .incarnation = 1, .weightsVersion = "1", .slots = 8});
    }
    return targets;
}

const std::vector<std::string> eightTargets{"a", "b", "c", "d", "e", "f", "g", "h"};
const std::vector<uint32_t> sixBlocks{1, 2, 3, 4, 5, 6};

} // namespace

TEST_CASE("a request goes to the target that holds its prefix, within its organisation only")
{
    CacheAwarePolicy policy({.blockTokens = 1000});
    std::mt19937_64 generator(1);
    const std::vector<TargetView> targets = targetsOf(eightTargets);
    const std::vector<hashing::BlockHash> chain = chainOf("acreage", sixBlocks);
    const RequestView request = requestOf(chain);
    const Choice first = policy.choose(request, targets, Instant{}, generator);
    REQUIRE(first.outcome == ChoiceOutcome::Dispatch);
    CHECK(first.reason == ChoiceReason::PlacedPrefix);
    policy.started(1, request, targets[first.target], first, Instant{});
    const Choice second = policy.choose(request, targets, Instant(1s), generator);
    CHECK(second.target == first.target);
    CHECK(second.reason == ChoiceReason::CachedPrefix);
    CHECK(second.prefillTokens < 1000);
    const std::vector<hashing::BlockHash> others = chainOf("rounds", sixBlocks);
    const Choice other = policy.choose(requestOf(others), targets, Instant(1s), generator);
    CHECK(other.reason != ChoiceReason::CachedPrefix);
}

TEST_CASE("VMs that have just started select the same target for a prefix")
{
    const std::vector<TargetView> targets = targetsOf(eightTargets);
    std::set<size_t> chosen;
    for (uint64_t seed = 0; seed < 20; ++seed) {
        CacheAwarePolicy policy({.blockTokens = 1000});
        std::mt19937_64 generator(seed);
        const std::vector<hashing::BlockHash> chain = chainOf("acreage", sixBlocks);
        chosen.insert(policy.choose(requestOf(chain), targets, Instant{}, generator).target);
    }
    CHECK(chosen.size() == 1);
}

TEST_CASE("prompts shorter than a block are spread over equally loaded targets")
{
    const std::vector<TargetView> targets = targetsOf(eightTargets);
    std::set<size_t> chosen;
    for (uint64_t seed = 0; seed < 50; ++seed) {
        CacheAwarePolicy policy;
        std::mt19937_64 generator(seed);
        chosen.insert(policy.choose({.promptTokens = 20}, targets, Instant{}, generator).target);
    }
    CHECK(chosen.size() >= 4);
}

TEST_CASE("a hot prefix is spread over several targets before its target is full")
{
    CacheAwarePolicy policy({.blockTokens = 1000});
    std::mt19937_64 generator(1);
    const std::vector<TargetView> targets = targetsOf(eightTargets);
    const std::vector<hashing::BlockHash> chain = chainOf("acreage", sixBlocks);
    const RequestView request = requestOf(chain);
    std::set<size_t> used;
    for (uint64_t attempt = 0; attempt < 32; ++attempt) {
        const Choice choice = policy.choose(request, targets, Instant{}, generator);
        REQUIRE(choice.outcome == ChoiceOutcome::Dispatch);
        policy.started(attempt, request, targets[choice.target], choice, Instant{});
        used.insert(choice.target);
    }
    CHECK(used.size() >= 4);
}

TEST_CASE("blocks are imported when that takes less time than computing them")
{
    CacheAwarePolicy policy({.blockTokens = 1000, .importTokensPerSecond = 1e6});
    std::mt19937_64 generator(1);
    std::vector<TargetView> targets = targetsOf(eightTargets);
    const std::vector<hashing::BlockHash> chain = chainOf("acreage", sixBlocks);
    const RequestView request = requestOf(chain);
    const Choice first = policy.choose(request, targets, Instant{}, generator);
    policy.started(1, request, targets[first.target], first, Instant{});
    targets[first.target].accepting = false;
    const Choice second = policy.choose(request, targets, Instant(1s), generator);
    REQUIRE(second.import);
    CHECK(second.import->source == first.target);
    CHECK(second.import->sourceIncarnation == 1);
    CHECK(explain(second, targets).find("import_from=") != std::string::npos);
    targets[first.target].incarnation = 2;
    CHECK_FALSE(policy.choose(request, targets, Instant(1s), generator).import);
}

TEST_CASE("choices use only current incarnations and accepting targets", "[fuzz]")
{
    REQUIRE(rc::check("choices use current incarnations, weights and accepting targets", [] {
        CacheAwarePolicy policy({.blockTokens = 1000,
                                 .importTokensPerSecond = 1e6,
                                 .index = {.capacityBlocks = 256}});
        std::mt19937_64 generator(1);
        std::vector<TargetView> targets = targetsOf(eightTargets);
        std::vector<std::string> versions;
        for (int number = 1; number <= 100; ++number) {
            versions.push_back(std::to_string(number));
        }
        std::vector<size_t> version(targets.size());
        /// Prompts sent to each target since its cache was last empty.
        std::vector<std::set<uint32_t>> sent(targets.size());
        Instant now{};
        uint64_t attempts = 0;
        const int steps = *rc::gen::inRange(1, 80);
        for (int step = 0; step < steps; ++step) {
            now += Duration(*rc::gen::inRange(0, 500000));
            const size_t any = *rc::gen::inRange<size_t>(0, targets.size());
            switch (*rc::gen::inRange(0, 7)) {
            case 0:
                ++targets[any].incarnation;
                sent[any].clear();
                continue;
            case 1:
                // A target never returns to earlier weights, but two targets may have the
                // same ones.
                ++version[any];
                targets[any].weightsVersion = versions[version[any]];
                sent[any].clear();
                continue;
            case 2:
                targets[any].accepting = !targets[any].accepting;
                continue;
            case 3:
                policy.finished(*rc::gen::inRange<uint64_t>(0, attempts + 1),
                                {.completed = *rc::gen::arbitrary<bool>(),
                                 .cachedTokens = *rc::gen::inRange<uint32_t>(0, 5000)},
                                now);
                continue;
            default:
                break;
            }
            const uint32_t prompt = *rc::gen::inRange<uint32_t>(0, 5);
            const std::vector<hashing::BlockHash> chain
                    = chainOf("acreage", {prompt, prompt, prompt, prompt});
            const RequestView request = requestOf(chain);
            const Choice choice = policy.choose(request, targets, now, generator);
            if (choice.outcome != ChoiceOutcome::Dispatch) {
                continue;
            }
            RC_ASSERT(targets[choice.target].accepting);
            RC_ASSERT(choice.reason != ChoiceReason::CachedPrefix
                      || sent[choice.target].contains(prompt));
            if (choice.import) {
                const TargetView &source = targets[choice.import->source];
                RC_ASSERT(choice.import->source != choice.target);
                RC_ASSERT(source.incarnation == choice.import->sourceIncarnation);
                RC_ASSERT(source.weightsVersion == targets[choice.target].weightsVersion);
                RC_ASSERT(sent[choice.import->source].contains(prompt));
                RC_ASSERT(choice.import->firstBlock + choice.import->blocks <= chain.size());
            }
            policy.started(++attempts, request, targets[choice.target], choice, now);
            sent[choice.target].insert(prompt);
        }
    }));
}

TEST_CASE("a dispatcher dispatches each request at most once", "[fuzz]")
{
    REQUIRE(rc::check("each request is dispatched, refused or cancelled", [] {
        CacheAwarePolicy policy({.blockTokens = 1000, .index = {.capacityBlocks = 256}});
        Dispatcher dispatcher({.queue = {.maxWaiting = 20}});
        std::mt19937_64 generator(1);
        const std::vector<TargetView> targets = targetsOf(std::span(eightTargets).first(2));
        std::set<uint64_t> waiting;
        std::vector<uint64_t> running;
        Instant now{};
        uint64_t ids = 0;
        const int steps = *rc::gen::inRange(1, 120);
        for (int step = 0; step < steps; ++step) {
            now += Duration(*rc::gen::inRange(0, 100000));
            const uint32_t prompt = *rc::gen::inRange<uint32_t>(0, 3);
            const std::vector<hashing::BlockHash> chain = chainOf("acreage", {prompt, prompt});
            const queueing::PushResult result
                    = dispatcher.push({.id = ++ids,
                                       .organisation = prompt == 0 ? "acreage" : "rounds",
                                       .costTokens = 100,
                                       .dispatchBy = now + 2s},
                                      requestOf(chain), now);
            if (!result.refused) {
                waiting.insert(ids);
            }
            if (result.displaced) {
                RC_ASSERT(waiting.erase(result.displaced->id) == 1U);
            }
            while (const std::optional<Dispatch> next
                   = dispatcher.next(policy, targets, now, generator)) {
                RC_ASSERT(waiting.erase(next->id) == 1U);
                policy.started(next->id, requestOf(chain), targets[next->choice.target],
                               next->choice, now);
                running.push_back(next->id);
            }
            if (!running.empty() && *rc::gen::inRange(0, 3) == 0) {
                policy.finished(running.back(), {}, now);
                running.pop_back();
            }
            if (*rc::gen::inRange(0, 5) == 0) {
                for (const queueing::Refusal &refusal : dispatcher.expire(now)) {
                    RC_ASSERT(waiting.erase(refusal.id) == 1U);
                }
            }
            RC_ASSERT(dispatcher.queue().size() == waiting.size());
        }
    }));
}

} // namespace teaseldrift::placement
