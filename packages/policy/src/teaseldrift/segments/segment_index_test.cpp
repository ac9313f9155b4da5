#include "teaseldrift/segments/segment_index.hpp"

#include <array>

#include <catch2/catch.hpp>

namespace teaseldrift {

namespace {

const Instant start(100s);
const std::array<PromptSegment, 2> segments{{{.id = 7, .tokens = 500}, {.id = 8, .tokens = 300}}};

} // namespace

TEST_CASE("a segment that was sent is expected until its event is overdue")
{
    SegmentIndex cache(10000);
    cache.setEventsFollowed(true);
    const std::vector<PromptPrefix> prefixes = prefixesOf(segments, "s");
    cache.expect(prefixes, start);
    CHECK(cache.heldTokens(prefixes, SegmentCertainty::Expected, start + 1s) == 800);
    CHECK(cache.heldTokens(prefixes, SegmentCertainty::Confirmed, start + 1s) == 0);
    CHECK(cache.heldTokens(prefixes, SegmentCertainty::Expected, start + 3s) == 0);
}

TEST_CASE("a response confirms segments once, and an event still evicts them")
{
    SegmentIndex cache(10000);
    cache.setEventsFollowed(true);
    const std::vector<PromptPrefix> prefixes = prefixesOf(segments, "s");
    cache.expect(prefixes, start);
    const std::vector<SegmentEvent> confirmed = cache.confirm(prefixes);
    REQUIRE(confirmed.size() == 2);
    CHECK(confirmed[1].segmentKey == segmentKeyOf("s", 8));
    CHECK(confirmed[1].tokens == 300);
    CHECK(cache.heldTokens(prefixes, SegmentCertainty::Confirmed, start + 10s) == 800);
    CHECK(cache.confirm(prefixes).empty());
    cache.apply({.segmentKey = segmentKeyOf("s", 8), .tokens = 0});
    CHECK(cache.heldTokens(prefixes, SegmentCertainty::Confirmed, start) == 500);
}

TEST_CASE("a response does not restore segments that were cleared since the request")
{
    SegmentIndex cache(10000);
    cache.setEventsFollowed(true);
    const std::vector<PromptPrefix> prefixes = prefixesOf(segments, "s");
    cache.expect(prefixes, start);
    cache.clear();
    CHECK(cache.confirm(prefixes).empty());
    CHECK(cache.heldTokens(prefixes, SegmentCertainty::Expected, start) == 0);
}

TEST_CASE("events confirm and evict segments")
{
    SegmentIndex cache(10000);
    cache.setEventsFollowed(true);
    const std::vector<PromptPrefix> prefixes = prefixesOf(segments, "s");
    cache.apply({.segmentKey = segmentKeyOf("s", 7), .tokens = 496});
    CHECK(cache.heldTokens(prefixes, SegmentCertainty::Confirmed, start) == 500);
    cache.apply({.segmentKey = segmentKeyOf("s", 8), .tokens = 300});
    CHECK(cache.heldTokens(prefixes, SegmentCertainty::Confirmed, start) == 800);
    // A segment is useless without those before it.
    cache.apply({.segmentKey = segmentKeyOf("s", 7), .tokens = 0});
    CHECK(cache.heldTokens(prefixes, SegmentCertainty::Confirmed, start) == 0);
}

TEST_CASE("a segment that is cached only in part does not count")
{
    SegmentIndex cache(10000);
    const std::vector<PromptPrefix> prefixes = prefixesOf(segments, "s");
    cache.apply({.segmentKey = segmentKeyOf("s", 7), .tokens = 128});
    CHECK(cache.heldTokens(prefixes, SegmentCertainty::Confirmed, start) == 0);
}

TEST_CASE("segments under another salt are not found")
{
    SegmentIndex cache(10000);
    cache.apply({.segmentKey = segmentKeyOf("s", 7), .tokens = 500});
    CHECK(cache.heldTokens(prefixesOf(segments, "t"), SegmentCertainty::Expected, start) == 0);
}

TEST_CASE("without events the least recently used segments are evicted")
{
    SegmentIndex cache(900);
    const std::vector<PromptPrefix> first = prefixesOf(segments, "s");
    const std::vector<PromptPrefix> second = prefixesOf(segments, "t");
    cache.expect(first, start);
    cache.expect(second, start);
    CHECK(cache.heldTokens(first, SegmentCertainty::Expected, start) == 0);
    CHECK(cache.heldTokens(second, SegmentCertainty::Expected, start) == 800);
}

TEST_CASE("a failed request removes expected segments but no confirmed ones")
{
    SegmentIndex cache(10000);
    cache.setEventsFollowed(true);
    const std::vector<PromptPrefix> prefixes = prefixesOf(segments, "s");
    cache.apply({.segmentKey = segmentKeyOf("s", 7), .tokens = 500});
    cache.expect(prefixes, start);
    cache.dropExpected(prefixes);
    CHECK(cache.heldTokens(prefixes, SegmentCertainty::Expected, start) == 500);
}

} // namespace teaseldrift
