#include "teaseldrift/segments/prefilled_segment_log.hpp"

#include <catch2/catch.hpp>

namespace teaseldrift {

namespace {

PrefilledSegment prefilled(uint64_t segment)
{
    return {.targetKey = 7, .event = {.segmentKey = segment, .tokens = 100}};
}

std::vector<uint64_t> keysOf(const std::vector<PrefilledSegment> &segments)
{
    std::vector<uint64_t> keys;
    for (const PrefilledSegment &segment : segments) {
        keys.push_back(segment.event.segmentKey);
    }
    return keys;
}

using Keys = std::vector<uint64_t>;

} // namespace

TEST_CASE("each receiver gets every segment once")
{
    PrefilledSegmentLog log;
    log.add(prefilled(1), true);
    CHECK(keysOf(log.takeForVm("a")) == Keys{1});
    log.add(prefilled(2), true);
    CHECK(keysOf(log.takeForVm("a")) == Keys{2});
    CHECK(keysOf(log.takeForVm("b")) == Keys{1, 2});
    CHECK(log.takeForVm("a").empty());
}

TEST_CASE("other zones get only segments of this zone, so that none returns to its origin")
{
    PrefilledSegmentLog log;
    log.add(prefilled(1), true);
    log.add(prefilled(2), false);
    CHECK(keysOf(log.takeForZone("south")) == Keys{1});
    CHECK(keysOf(log.takeForVm("a")) == Keys{1, 2});
    log.add(prefilled(3), false);
    CHECK(log.takeForZone("south").empty());
}

TEST_CASE("a receiver that was unreachable misses only segments that are no longer kept")
{
    PrefilledSegmentLog log({.maxEntries = 2});
    CHECK(log.takeForVm("a").empty());
    for (uint64_t segment = 1; segment <= 5; ++segment) {
        log.add(prefilled(segment), true);
    }
    CHECK(keysOf(log.takeForVm("a")) == Keys{4, 5});
    CHECK(log.takeForVm("a").empty());
}

TEST_CASE("the number of segments per message is bounded, and the rest follows")
{
    PrefilledSegmentLog log({.maxEntries = 10, .maxPerMessage = 2});
    for (uint64_t segment = 1; segment <= 3; ++segment) {
        log.add(prefilled(segment), true);
    }
    CHECK(keysOf(log.takeForVm("a")) == Keys{1, 2});
    CHECK(keysOf(log.takeForVm("a")) == Keys{3});
}

} // namespace teaseldrift
