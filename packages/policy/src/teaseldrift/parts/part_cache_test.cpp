#include "teaseldrift/parts/part_cache.hpp"

#include <array>

#include <catch2/catch.hpp>

namespace teaseldrift {

namespace {

const Instant start(100s);
const std::array<PromptPart, 2> parts{{{.id = 7, .tokens = 500}, {.id = 8, .tokens = 300}}};

} // namespace

TEST_CASE("a part that was sent counts until its event is overdue")
{
    PartCache cache(10000);
    cache.setFollowed(true);
    const std::vector<PromptPrefix> prefixes = prefixesOf(parts, "s");
    cache.expect(prefixes, start);
    CHECK(cache.heldTokens(prefixes, PartCertainty::Expected, start + 1s) == 800);
    CHECK(cache.heldTokens(prefixes, PartCertainty::Confirmed, start + 1s) == 0);
    CHECK(cache.heldTokens(prefixes, PartCertainty::Expected, start + 3s) == 0);
}

TEST_CASE("an answer confirms what was sent, once, and an event still takes it away")
{
    PartCache cache(10000);
    cache.setFollowed(true);
    const std::vector<PromptPrefix> prefixes = prefixesOf(parts, "s");
    cache.expect(prefixes, start);
    const std::vector<PartEvent> news = cache.confirm(prefixes);
    REQUIRE(news.size() == 2);
    CHECK(news[1].partKey == partKeyOf("s", 8));
    CHECK(news[1].tokens == 300);
    CHECK(cache.heldTokens(prefixes, PartCertainty::Confirmed, start + 10s) == 800);
    CHECK(cache.confirm(prefixes).empty());
    cache.apply({.partKey = partKeyOf("s", 8), .tokens = 0});
    CHECK(cache.heldTokens(prefixes, PartCertainty::Confirmed, start) == 500);
}

TEST_CASE("an answer does not bring back what has been taken away since it was sent")
{
    PartCache cache(10000);
    cache.setFollowed(true);
    const std::vector<PromptPrefix> prefixes = prefixesOf(parts, "s");
    cache.expect(prefixes, start);
    cache.clear();
    CHECK(cache.confirm(prefixes).empty());
    CHECK(cache.heldTokens(prefixes, PartCertainty::Expected, start) == 0);
}

TEST_CASE("events confirm parts and take them away")
{
    PartCache cache(10000);
    cache.setFollowed(true);
    const std::vector<PromptPrefix> prefixes = prefixesOf(parts, "s");
    cache.apply({.partKey = partKeyOf("s", 7), .tokens = 496});
    CHECK(cache.heldTokens(prefixes, PartCertainty::Confirmed, start) == 500);
    cache.apply({.partKey = partKeyOf("s", 8), .tokens = 300});
    CHECK(cache.heldTokens(prefixes, PartCertainty::Confirmed, start) == 800);
    // A part without those before it is of no use.
    cache.apply({.partKey = partKeyOf("s", 7), .tokens = 0});
    CHECK(cache.heldTokens(prefixes, PartCertainty::Confirmed, start) == 0);
}

TEST_CASE("a part that is held in part is not held")
{
    PartCache cache(10000);
    const std::vector<PromptPrefix> prefixes = prefixesOf(parts, "s");
    cache.apply({.partKey = partKeyOf("s", 7), .tokens = 128});
    CHECK(cache.heldTokens(prefixes, PartCertainty::Confirmed, start) == 0);
}

TEST_CASE("parts under another salt are never found")
{
    PartCache cache(10000);
    cache.apply({.partKey = partKeyOf("s", 7), .tokens = 500});
    CHECK(cache.heldTokens(prefixesOf(parts, "t"), PartCertainty::Expected, start) == 0);
}

TEST_CASE("without events the least recently used parts yield")
{
    PartCache cache(900);
    const std::vector<PromptPrefix> first = prefixesOf(parts, "s");
    const std::vector<PromptPrefix> second = prefixesOf(parts, "t");
    cache.expect(first, start);
    cache.expect(second, start);
    CHECK(cache.heldTokens(first, PartCertainty::Expected, start) == 0);
    CHECK(cache.heldTokens(second, PartCertainty::Expected, start) == 800);
}

TEST_CASE("a failed request takes back what it promised, but nothing confirmed")
{
    PartCache cache(10000);
    cache.setFollowed(true);
    const std::vector<PromptPrefix> prefixes = prefixesOf(parts, "s");
    cache.apply({.partKey = partKeyOf("s", 7), .tokens = 500});
    cache.expect(prefixes, start);
    cache.dropExpected(prefixes);
    CHECK(cache.heldTokens(prefixes, PartCertainty::Expected, start) == 500);
}

} // namespace teaseldrift
