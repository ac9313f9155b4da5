#include "teaseldrift/base/suspension_detector.hpp"

#include <catch2/catch.hpp>

namespace teaseldrift {

namespace {

const Instant start(100s);

} // namespace

TEST_CASE("regular ticks show no suspension")
{
    SuspensionDetector detector(start);
    CHECK(detector.tick(start + 100ms) == Duration(0));
    CHECK(detector.tick(start + 900ms) == Duration(0));
    CHECK_FALSE(detector.suspendedSince(start + 1s).has_value());
}

TEST_CASE("a suspension is known before the first tick after it and until messages have settled")
{
    SuspensionDetector detector(start);
    detector.tick(start + 100ms);
    CHECK(detector.suspendedSince(start + 4s) == start + 100ms);
    CHECK(detector.tick(start + 4s) == 3900ms);
    detector.tick(start + 4100ms);
    CHECK(detector.suspendedSince(start + 4200ms) == start + 100ms);
    detector.tick(start + 5s);
    detector.tick(start + 6s);
    CHECK_FALSE(detector.suspendedSince(start + 6100ms).has_value());
}

} // namespace teaseldrift
