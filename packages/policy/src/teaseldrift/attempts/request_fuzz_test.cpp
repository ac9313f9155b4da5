#include "request_fuzz_test.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/state.h>

namespace teaseldrift {

namespace {

using namespace requestfuzz;

struct Model
{ };

enum class Op {
    Advance,
    SelectTarget,
    Connect,
    Run,
    Head,
    Data,
    Break,
    Complete,
    AdvanceTime,
    DisconnectCaller,
    ExpireDrain
};

/// One step of the simulation. Steps that do not apply in the current state have no effect.
struct Step : rc::state::Command<Model, RequestSimulation>
{
    Op op = *rc::gen::weightedElement<Op>({{40, Op::Advance},
                                           {2, Op::SelectTarget},
                                           {2, Op::Connect},
                                           {2, Op::Run},
                                           {2, Op::Head},
                                           {4, Op::Data},
                                           {3, Op::Break},
                                           {2, Op::Complete},
                                           {3, Op::AdvanceTime},
                                           {1, Op::DisconnectCaller},
                                           {1, Op::ExpireDrain}});
    uint32_t choice = *rc::gen::arbitrary<uint8_t>();
    /// Selects the newest attempt or, less often, one that was aborted.
    uint32_t age = *rc::gen::weightedElement<uint32_t>({{6, 0}, {1, 1}, {1, 2}});

    void run(const Model & /*model*/, RequestSimulation &simulation) const override
    {
        const size_t newest = simulation.attempts.size() - 1;
        FakeAttempt &attempt = simulation.attempts[newest - std::min<size_t>(age, newest)];
        switch (op) {
        case Op::Advance:
            return simulation.advance(choice);
        case Op::SelectTarget:
            return simulation.selectTarget(choice);
        case Op::Connect:
            return simulation.connect(choice % 4 != 0);
        case Op::Run:
            return simulation.run(attempt, choice);
        case Op::Head:
            return simulation.head(attempt, choice);
        case Op::Data:
            return simulation.data(attempt, size_t{3} * choice);
        case Op::Break:
            return attempt.isSent ? simulation.perform(
                           simulation.machine.attemptFailed(attempt.action.id, simulation.now))
                                  : void();
        case Op::Complete:
            return simulation.complete(attempt);
        case Op::AdvanceTime:
            return simulation.advanceTime(std::chrono::milliseconds(choice * 40));
        case Op::DisconnectCaller:
            return choice % 8 == 0 ? simulation.callerGone() : void();
        default:
            return choice % 8 == 0 ? simulation.perform(
                           simulation.machine.drainDeadlineExpired(simulation.now))
                                   : void();
        }
    }

    void show(std::ostream &os) const override
    {
        os << "Step(" << static_cast<int>(op) << ", " << choice << ", " << age << ")";
    }
};

void fuzz(schema::RouteClass routeClass, ResponseMode mode)
{
    const uint64_t stopsAfter = *rc::gen::inRange<uint64_t>(1, allowedTokens + 3);
    RequestSimulation simulation(routeClass, mode, stopsAfter,
                                 *rc::gen::element(true, true, false));
    rc::state::check(Model(), simulation, rc::state::gen::execOneOfWithArgs<Step>());
    simulation.drain();
}

} // namespace

TEST_CASE("a non-idempotent request runs at most once", "[fuzz]")
{
    REQUIRE(rc::check([] { fuzz(schema::NON_IDEMPOTENT, ResponseMode::Buffered); }));
}

TEST_CASE("an idempotent request gets one complete response", "[fuzz]")
{
    REQUIRE(rc::check([] { fuzz(schema::IDEMPOTENT, ResponseMode::Buffered); }));
}

TEST_CASE("a completed stream is whole and in order despite target failures", "[fuzz]")
{
    REQUIRE(rc::check([] { fuzz(schema::GENERATION, ResponseMode::Streamed); }));
}

} // namespace teaseldrift
