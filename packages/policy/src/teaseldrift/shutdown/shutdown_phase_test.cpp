#include "teaseldrift/shutdown/shutdown_phase.hpp"

#include <catch2/catch.hpp>

namespace teaseldrift {

TEST_CASE("with 8 s of grace no new requests are accepted from 3 s on, so that streams can end")
{
    CHECK(shutdownPhase(0s, 8s, 5) == ShutdownPhase::LameDuck);
    CHECK(shutdownPhase(2500ms, 8s, 5) == ShutdownPhase::LameDuck);
    CHECK(shutdownPhase(3s, 8s, 5) == ShutdownPhase::Draining);
    // A VM without open requests still serves callers with outdated directory answers.
    CHECK(shutdownPhase(1s, 8s, 0) == ShutdownPhase::LameDuck);
}

TEST_CASE("a shutdown ends with the last request, and before the forced kill in any case")
{
    CHECK(shutdownPhase(4s, 8s, 1) == ShutdownPhase::Draining);
    CHECK(shutdownPhase(4s, 8s, 0) == ShutdownPhase::Ended);
    CHECK(shutdownPhase(7400ms, 8s, 1) == ShutdownPhase::Ended);
    CHECK(shutdownPhase(800ms, 2s, 0) == ShutdownPhase::Ended);
}

TEST_CASE("all requests are answered before a shutdown ends, whatever its grace period")
{
    for (const Duration grace : {8s, 3s, 60s}) {
        const Duration answered = shutdownAnswerTime(grace);
        CHECK(answered > Duration(0));
        CHECK(shutdownPhase(answered + 100ms, grace, 1) != ShutdownPhase::Ended);
    }
    CHECK(shutdownAnswerTime(500ms) == Duration(0));
}

} // namespace teaseldrift
