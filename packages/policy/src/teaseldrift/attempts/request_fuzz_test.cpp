#include "request_fuzz_test.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/state.h>

namespace teaseldrift {

namespace {

using namespace requestfuzz;

struct Model
{ };

enum class Op { GoOn, Choose, Connect, Run, Head, Data, Break, Complete, Pass, Gone, Stop };

/// One adversarial step; steps that do not apply change nothing.
struct Step : rc::state::Command<Model, RequestWorld>
{
    Op op = *rc::gen::weightedElement<Op>({{40, Op::GoOn},
                                           {2, Op::Choose},
                                           {2, Op::Connect},
                                           {2, Op::Run},
                                           {2, Op::Head},
                                           {4, Op::Data},
                                           {3, Op::Break},
                                           {2, Op::Complete},
                                           {3, Op::Pass},
                                           {1, Op::Gone},
                                           {1, Op::Stop}});
    uint32_t choice = *rc::gen::arbitrary<uint8_t>();
    /// Mostly the newest attempt, sometimes one that was given up.
    uint32_t age = *rc::gen::weightedElement<uint32_t>({{6, 0}, {1, 1}, {1, 2}});

    void run(const Model & /*model*/, RequestWorld &world) const override
    {
        const size_t newest = world.attempts.size() - 1;
        FakeAttempt &attempt = world.attempts[newest - std::min<size_t>(age, newest)];
        switch (op) {
        case Op::GoOn:
            return world.goOn(choice);
        case Op::Choose:
            return world.choose(choice);
        case Op::Connect:
            return world.connect(choice % 4 != 0);
        case Op::Run:
            return world.run(attempt, choice);
        case Op::Head:
            return world.head(attempt, choice);
        case Op::Data:
            return world.data(attempt, size_t{3} * choice);
        case Op::Break:
            return attempt.isSent ? world.perform(
                           world.machine.attemptFailed(attempt.action.id, world.now))
                                  : void();
        case Op::Complete:
            return world.complete(attempt);
        case Op::Pass:
            return world.pass(std::chrono::milliseconds(choice * 40));
        case Op::Gone:
            return choice % 8 == 0 ? world.callerGone() : void();
        default:
            return choice % 8 == 0 ? world.perform(world.machine.drainDeadlineExpired(world.now))
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
    RequestWorld world(routeClass, mode, stopsAfter, *rc::gen::element(true, true, false));
    rc::state::check(Model(), world, rc::state::gen::execOneOfWithArgs<Step>());
    world.drain();
}

} // namespace

TEST_CASE("a non-idempotent request runs at most once", "[fuzz]")
{
    REQUIRE(rc::check([] { fuzz(schema::NON_IDEMPOTENT, ResponseMode::Buffered); }));
}

TEST_CASE("an idempotent request gets one whole answer", "[fuzz]")
{
    REQUIRE(rc::check([] { fuzz(schema::IDEMPOTENT, ResponseMode::Buffered); }));
}

TEST_CASE("a stream is complete and in order whatever its targets do", "[fuzz]")
{
    REQUIRE(rc::check([] { fuzz(schema::GENERATION, ResponseMode::Streamed); }));
}

} // namespace teaseldrift
