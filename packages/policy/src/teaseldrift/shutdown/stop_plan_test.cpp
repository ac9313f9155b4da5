#include "teaseldrift/shutdown/stop_plan.hpp"

#include <catch2/catch.hpp>

namespace teaseldrift {

TEST_CASE("a stopping VM takes nothing new from 3 s on, so that long streams end within the grace")
{
    CHECK(stopPhase(0s, 8s, 5) == StopPhase::Lingering);
    CHECK(stopPhase(2500ms, 8s, 5) == StopPhase::Lingering);
    CHECK(stopPhase(3s, 8s, 5) == StopPhase::Finishing);
    // A VM without open requests still waits for callers with old directory answers.
    CHECK(stopPhase(1s, 8s, 0) == StopPhase::Lingering);
}

TEST_CASE("a stop ends with the last request, and before the kill in any case")
{
    CHECK(stopPhase(4s, 8s, 1) == StopPhase::Finishing);
    CHECK(stopPhase(4s, 8s, 0) == StopPhase::Ended);
    CHECK(stopPhase(7400ms, 8s, 1) == StopPhase::Ended);
    CHECK(stopPhase(800ms, 2s, 0) == StopPhase::Ended);
}

} // namespace teaseldrift
