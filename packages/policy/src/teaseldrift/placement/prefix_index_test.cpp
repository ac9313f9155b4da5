#include "teaseldrift/placement/prefix_index.hpp"

#include <map>
#include <set>
#include <string>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace teaseldrift::placement {

namespace {

using hashing::BlockHash;
using hashing::VersionSalt;

BlockHash blockOf(uint64_t number)
{
    // Few buckets and tags, so that blocks collide.
    return {.high = number % 7, .low = number};
}

size_t holdersOf(const PrefixIndex &index, const BlockHash &block, std::string_view version,
                 Instant now)
{
    std::array<Holder, PrefixIndex::holdersPerBlock> holders;
    return index.holders(block, VersionSalt(version), now, holders);
}

/// Blocks that a target is known to have held since its start: the index may attribute no others to
/// it.
struct ReferenceTarget
{
    uint64_t incarnation = 1;
    std::string version = "1";
    uint64_t sequence = 0;
    std::set<uint64_t> heldBlocks;
};

struct IndexFuzzer
{
    PrefixIndex index{{.capacityBlocks = 64}};
    std::map<std::string, ReferenceTarget> targets;
    Instant now{};
    uint64_t incarnations = 1;

    std::string anyTarget() { return "t" + std::to_string(*rc::gen::inRange(0, 4)); }
    uint64_t anyBlock() { return *rc::gen::inRange<uint64_t>(0, 200); }

    TargetHandle observe(const std::string &id)
    {
        const ReferenceTarget &target = targets[id];
        return index.registerTarget(id, target.incarnation, target.version);
    }

    void sendEvent(const std::string &id, uint64_t incarnation, uint64_t sequence,
                   CacheEventKind kind, uint64_t number)
    {
        const std::array<BlockHash, 1> blocks{blockOf(number)};
        index.onCacheEvent({.targetId = id,
                            .incarnation = incarnation,
                            .sequence = sequence,
                            .kind = kind,
                            .blocks = blocks},
                           now);
    }

    void step()
    {
        const std::string id = anyTarget();
        ReferenceTarget &target = targets[id];
        const uint64_t number = anyBlock();
        const std::array<BlockHash, 1> blocks{blockOf(number)};
        now += Duration(*rc::gen::inRange(0, 2000000));
        switch (*rc::gen::inRange(0, 7)) {
        case 0:
            target = {.incarnation = ++incarnations, .version = target.version};
            observe(id);
            break;
        case 1:
            target = {.incarnation = target.incarnation,
                      .version = target.version + "1",
                      .sequence = target.sequence};
            observe(id);
            break;
        case 2:
            index.forgetTarget(id);
            targets.erase(id);
            break;
        case 3: {
            // A late event of another incarnation.
            const uint64_t former = *rc::gen::inRange<uint64_t>(1, incarnations + 1);
            if (former != target.incarnation) {
                sendEvent(id, former, 1, CacheEventKind::Stored, number);
            }
            break;
        }
        case 4:
            observe(id);
            target.sequence += *rc::gen::inRange<uint64_t>(1, 3);
            if (*rc::gen::arbitrary<bool>()) {
                target.heldBlocks.insert(number);
                sendEvent(id, target.incarnation, target.sequence, CacheEventKind::Stored, number);
            } else {
                target.heldBlocks.erase(number);
                sendEvent(id, target.incarnation, target.sequence, CacheEventKind::Removed, number);
            }
            break;
        default:
            target.heldBlocks.insert(number);
            index.recordUse(observe(id), blocks, now);
        }
    }

    void check(size_t memory)
    {
        for (const auto &[id, target] : targets) {
            const TargetHandle handle = observe(id);
            for (uint64_t number = 0; number < 200; ++number) {
                for (const std::string &version : {target.version, target.version + "1"}) {
                    std::array<Holder, PrefixIndex::holdersPerBlock> holders;
                    const size_t count
                            = index.holders(blockOf(number), VersionSalt(version), now, holders);
                    for (const Holder &holder : std::span(holders).first(count)) {
                        RC_ASSERT(holder.probability > 0.0F);
                        RC_ASSERT(holder.probability <= 1.0F);
                        const bool isHolder = holder.handle == handle;
                        RC_ASSERT(!isHolder || target.version == version);
                        RC_ASSERT(!isHolder || target.heldBlocks.contains(number));
                    }
                }
            }
        }
        RC_ASSERT(index.memoryBytes() <= memory);
    }
};

} // namespace

TEST_CASE("the index attributes to a target only blocks that its current incarnation has held",
          "[fuzz]")
{
    REQUIRE(rc::check("indexed blocks are a subset of the blocks held", [] {
        IndexFuzzer fuzzer;
        const size_t memory = fuzzer.index.memoryBytes() + size_t{64} * 1024;
        const int steps = *rc::gen::inRange(1, 80);
        for (int step = 0; step < steps; ++step) {
            fuzzer.step();
        }
        fuzzer.check(memory);
    }));
}

TEST_CASE("records stay invalid when the generation wraps around")
{
    PrefixIndex index({.capacityBlocks = 64});
    const std::array<BlockHash, 1> blocks{blockOf(5)};
    index.recordUse(index.registerTarget("a", 0, "1"), blocks, Instant{});
    REQUIRE(holdersOf(index, blocks[0], "1", Instant{}) == 1);
    for (uint64_t incarnation = 1; incarnation <= 65536; ++incarnation) {
        index.registerTarget("a", incarnation, "1");
    }
    CHECK(holdersOf(index, blocks[0], "1", Instant{}) == 0);
}

TEST_CASE("after a gap in the events, probability depends on age")
{
    PrefixIndex index;
    const std::array<BlockHash, 1> blocks{blockOf(5)};
    index.registerTarget("a", 1, "1");
    const auto store = [&index, &blocks](uint64_t sequence, Instant now) {
        index.onCacheEvent(
                {.targetId = "a", .incarnation = 1, .sequence = sequence, .blocks = blocks}, now);
    };
    const auto other = [&index](uint64_t sequence, Instant now) {
        const std::array<BlockHash, 1> otherBlocks{blockOf(6)};
        index.onCacheEvent(
                {.targetId = "a", .incarnation = 1, .sequence = sequence, .blocks = otherBlocks},
                now);
    };
    constexpr Duration longAfter = 100s;
    store(1, Instant{});
    other(2, Instant(longAfter));
    CHECK(holdersOf(index, blocks[0], "1", Instant(longAfter)) == 1);
    other(4, Instant(longAfter));
    CHECK(holdersOf(index, blocks[0], "1", Instant(longAfter)) == 0);
}

TEST_CASE("the lifetime of blocks is learned from responses")
{
    PrefixIndex index;
    const TargetHandle handle = index.registerTarget("a", 1, "1");
    const Duration before = index.blockLifetime(handle);
    for (int answer = 0; answer < 50; ++answer) {
        index.updateLifetime(handle, false, 4s);
    }
    CHECK(index.blockLifetime(handle) < before);
    CHECK(index.blockLifetime(handle) >= 3s);
    for (int answer = 0; answer < 50; ++answer) {
        index.updateLifetime(handle, true, 60s);
    }
    CHECK(index.blockLifetime(handle) > before);
}

} // namespace teaseldrift::placement
