#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "allowance_world_test.hpp"

namespace teaseldrift::allowance {

namespace {

using world::World;

struct Model
{ };

using Command = rc::state::Command<Model, World>;

enum class Move {
    Run,
    Skip,
    Deliver,
    Drop,
    Duplicate,
    Hold,
    Release,
    CopyNext,
    Admit,
    SpendAll,
    GiveBack,
    Pause,
    Resume,
    Kill,
    Replace,
    ReplaceElsewhere,
    Drain,
    RefreshList,
    StoreDown,
    StoreUp,
    AnswerStore,
};

/// One move of the adversary; the promises are checked after each.
struct Step : Command
{
    Move move;
    size_t first = *rc::gen::inRange<size_t>(0, 64);
    size_t second = *rc::gen::inRange<size_t>(0, 64);

    Step()
    {
        move = *rc::gen::weightedElement<Move>({
                {8, Move::Run},         {2, Move::Skip},
                {8, Move::Deliver},     {2, Move::Drop},
                {4, Move::Duplicate},   {2, Move::Hold},
                {8, Move::Release},     {4, Move::CopyNext},
                {14, Move::Admit},      {2, Move::SpendAll},
                {4, Move::GiveBack},    {1, Move::Pause},
                {3, Move::Resume},      {1, Move::Kill},
                {3, Move::Replace},     {1, Move::ReplaceElsewhere},
                {1, Move::Drain},       {4, Move::RefreshList},
                {1, Move::StoreDown},   {1, Move::StoreUp},
                {3, Move::AnswerStore},
        });
    }

    void run(const Model &, World &sut) const override
    {
        // Mostly small, at most half of the burst.
        const MicroTokens cost
                = static_cast<MicroTokens>(second * second) * microTokensPerToken / 2;
        switch (move) {
        case Move::Run:
            sut.run(Duration(static_cast<int64_t>(first * first) * 1000));
            break;
        case Move::Skip:
            sut.skip(Duration(static_cast<int64_t>(first * first) * 2000));
            break;
        case Move::Deliver:
            for (size_t i = 0; i <= second % 8; ++i) {
                sut.deliver(first);
            }
            break;
        case Move::Drop:
            sut.drop(first);
            break;
        case Move::Duplicate:
            sut.duplicate(first);
            break;
        case Move::Hold:
            sut.hold(first);
            break;
        case Move::Release:
            for (size_t i = 0; i <= second % 8; ++i) {
                sut.release(first);
            }
            break;
        case Move::CopyNext:
            sut.copyNext(second);
            break;
        case Move::Admit:
            sut.admit(first, cost);
            break;
        case Move::SpendAll:
            sut.spendAll();
            break;
        case Move::GiveBack:
            sut.refund(first, cost);
            break;
        case Move::Pause:
            sut.pause(first);
            break;
        case Move::Resume:
            sut.resume(first);
            break;
        case Move::Kill:
            sut.kill(first);
            break;
        case Move::Replace:
            sut.replace(first);
            break;
        case Move::ReplaceElsewhere:
            sut.replaceElsewhere(first);
            break;
        case Move::Drain:
            sut.drain(first);
            break;
        case Move::RefreshList:
            sut.refreshList(first, second);
            break;
        case Move::StoreDown:
            sut.setStoreDown(true);
            break;
        case Move::StoreUp:
            sut.setStoreDown(false);
            break;
        case Move::AnswerStore:
            sut.answerStore(first, second);
            break;
        }
        RC_ASSERT(sut.violation() == "");
    }

    void show(std::ostream &os) const override
    {
        os << "move " << static_cast<int>(move) << " " << first << " " << second;
    }
};

} // namespace

TEST_CASE("allowance: no rate is exceeded whatever happens to VMs, messages, store and list",
          "[fuzz]")
{
    REQUIRE(rc::check("rates hold, and a burst is obtainable after the faults", [] {
        const bool clocksStop = *rc::gen::arbitrary<bool>();
        const size_t vms = *rc::gen::inRange<size_t>(1, 7);
        World world(vms, clocksStop);
        world.run(*rc::gen::element<Duration>(0s, 8s, 8s));
        constexpr int moves = 300;
        const rc::state::Commands<Command> commands = *rc::gen::resize(
                moves, rc::state::gen::commands([] { return Model{}; },
                                                rc::state::gen::execOneOfWithArgs<Step>()));
        rc::state::runAll(commands, Model{}, world);
        RC_CLASSIFY(world.admissions() > 0, "tokens were admitted under faults");
        RC_CLASSIFY(world.admissions() > 20, "more than 20 requests under faults");
        world.heal();
        RC_ASSERT(world.violation() == "");
        const bool isObtainable = world.canAdmitBurst();
        RC_ASSERT(isObtainable);
        RC_ASSERT(world.violation() == "");
    }));
}

} // namespace teaseldrift::allowance
