#include "teaseldrift/segments/segment_event_log.hpp"

#include <array>

#include <catch2/catch.hpp>

namespace teaseldrift {

TEST_CASE("a log returns the events from a sequence number on and shows when some are lost")
{
    SegmentEventLog log(7, 3);
    CHECK(log.next() == 0);
    const std::array<SegmentEvent, 2> two{
            {{.segmentKey = 1, .tokens = 10}, {.segmentKey = 2, .tokens = 0}}};
    log.append(two);
    CHECK(log.next() == 2);
    REQUIRE(log.since(1).size() == 1);
    CHECK(log.since(1).front().segmentKey == 2);
    CHECK(log.since(2).empty());
    CHECK(log.since(99).empty());
    log.append(two);
    // The log keeps three of the four events.
    CHECK_FALSE(log.covers(0));
    CHECK(log.covers(1));
    CHECK(log.since(0).size() == 3);
    CHECK(log.next() == 4);
}

} // namespace teaseldrift
