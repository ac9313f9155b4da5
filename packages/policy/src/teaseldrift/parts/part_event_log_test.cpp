#include "teaseldrift/parts/part_event_log.hpp"

#include <array>

#include <catch2/catch.hpp>

namespace teaseldrift {

TEST_CASE("a log gives what follows a number, and says when it no longer reaches back")
{
    PartEventLog log(7, 3);
    CHECK(log.next() == 0);
    const std::array<PartEvent, 2> two{{{.partKey = 1, .tokens = 10}, {.partKey = 2, .tokens = 0}}};
    log.append(two);
    CHECK(log.next() == 2);
    REQUIRE(log.since(1).size() == 1);
    CHECK(log.since(1).front().partKey == 2);
    CHECK(log.since(2).empty());
    CHECK(log.since(99).empty());
    log.append(two);
    // Of four events the first is gone.
    CHECK_FALSE(log.reachesBack(0));
    CHECK(log.reachesBack(1));
    CHECK(log.since(0).size() == 3);
    CHECK(log.next() == 4);
}

} // namespace teaseldrift
