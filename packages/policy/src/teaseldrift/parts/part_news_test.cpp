#include "teaseldrift/parts/part_news.hpp"

#include <catch2/catch.hpp>

namespace teaseldrift {

namespace {

PartNews newsOf(uint64_t part)
{
    return {.targetKey = 7, .event = {.partKey = part, .tokens = 100}};
}

std::vector<uint64_t> partsOf(const std::vector<PartNews> &news)
{
    std::vector<uint64_t> parts;
    for (const PartNews &one : news) {
        parts.push_back(one.event.partKey);
    }
    return parts;
}

using Parts = std::vector<uint64_t>;

} // namespace

TEST_CASE("each listener is told all news once")
{
    PartNewsLog log;
    log.add(newsOf(1), true);
    CHECK(partsOf(log.forVm("a")) == Parts{1});
    log.add(newsOf(2), true);
    CHECK(partsOf(log.forVm("a")) == Parts{2});
    CHECK(partsOf(log.forVm("b")) == Parts{1, 2});
    CHECK(log.forVm("a").empty());
}

TEST_CASE("another zone is told what this zone brought, and nothing comes back to where it was")
{
    PartNewsLog log;
    log.add(newsOf(1), true);
    log.add(newsOf(2), false);
    CHECK(partsOf(log.forZone("south")) == Parts{1});
    CHECK(partsOf(log.forVm("a")) == Parts{1, 2});
    log.add(newsOf(3), false);
    CHECK(log.forZone("south").empty());
}

TEST_CASE("a listener that was away misses what is no longer kept, and nothing newer")
{
    PartNewsLog log({.maxNews = 2});
    CHECK(log.forVm("a").empty());
    for (uint64_t part = 1; part <= 5; ++part) {
        log.add(newsOf(part), true);
    }
    CHECK(partsOf(log.forVm("a")) == Parts{4, 5});
    CHECK(log.forVm("a").empty());
}

TEST_CASE("one message takes a bounded number; the rest follows")
{
    PartNewsLog log({.maxNews = 10, .maxAtOnce = 2});
    for (uint64_t part = 1; part <= 3; ++part) {
        log.add(newsOf(part), true);
    }
    CHECK(partsOf(log.forVm("a")) == Parts{1, 2});
    CHECK(partsOf(log.forVm("a")) == Parts{3});
}

} // namespace teaseldrift
