#include <algorithm>
#include <map>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "sync_fixture.hpp"

namespace teaseldrift {

namespace {

using testing::PendingChange;
using testing::SyncFixture;
using testing::SyncVm;

enum class StepKind {
    Advance,
    AdvanceLong,
    Change,
    ChangeAndPush,
    DeleteOrCreate,
    ChangeWithStoreGoingDown,
    ToggleStore,
    Pause,
    PauseAfterTick,
    Resume,
    Restart,
    RestartAll,
    RestartOthers,
    RestartOthersWithoutStore,
    ToggleIsolation,
    ToggleStoreReachability,
    Split,
    ChangeWhileIsolated,
    StallWatch,
    Replace,
    RefreshLists,
    ClearNetworkFaults,
    SetNetworkFaults,
    Last,
};

struct Step
{
    StepKind kind = StepKind::Advance;
    unsigned argument = 0;
};

void showValue(const Step &step, std::ostream &out)
{
    out << "{" << static_cast<int>(step.kind) << ", " << step.argument << "}";
}

rc::Gen<Step> anyStep()
{
    constexpr unsigned argumentLimit = 400;
    const rc::Gen<StepKind> kind = rc::gen::weightedOneOf<StepKind>({
            {12, rc::gen::element(StepKind::Advance, StepKind::AdvanceLong)},
            {17, rc::gen::map(rc::gen::inRange(0, static_cast<int>(StepKind::Last)),
                              [](int value) { return static_cast<StepKind>(value); })},
    });
    return rc::gen::build<Step>(rc::gen::set(&Step::kind, kind),
                                rc::gen::set(&Step::argument, rc::gen::inRange(0U, argumentLimit)));
}

void toggle(bool &flag)
{
    flag = !flag;
}

void perform(SyncFixture &fleet, const Step &step)
{
    const size_t index = step.argument % fleet.vms.size();
    SyncVm &vm = fleet.vms[index];
    switch (step.kind) {
    case StepKind::Advance:
        fleet.run(Duration(1ms) * step.argument);
        break;
    case StepKind::AdvanceLong:
        fleet.run(Duration(10ms) * step.argument);
        break;
    case StepKind::Change:
        fleet.change("organisation/a", false);
        break;
    case StepKind::ChangeAndPush:
        fleet.change("organisation/a", false, true);
        break;
    case StepKind::DeleteOrCreate:
        fleet.change("organisation/b", fleet.documentRevision("organisation/b") != 0);
        break;
    case StepKind::ChangeWithStoreGoingDown:
        fleet.change("organisation/a", false, step.argument % 2 == 0);
        fleet.run(Duration(10us) * step.argument);
        fleet.storeDown = true;
        break;
    case StepKind::ToggleStore:
        toggle(fleet.storeDown);
        break;
    case StepKind::Pause:
        fleet.pause(index);
        break;
    case StepKind::PauseAfterTick:
        fleet.runToNextTick();
        fleet.pause(index);
        break;
    case StepKind::Resume:
        fleet.resume(index);
        break;
    case StepKind::Restart:
        fleet.restart(index);
        break;
    case StepKind::RestartAll:
        for (size_t i = 0; i < fleet.vms.size(); ++i) {
            fleet.restart(i);
        }
        break;
    case StepKind::RestartOthersWithoutStore:
        fleet.storeDown = true;
        [[fallthrough]];
    case StepKind::RestartOthers:
        for (size_t i = 0; i < fleet.vms.size(); ++i) {
            if (i != index) {
                fleet.restart(i);
            }
        }
        break;
    case StepKind::ToggleIsolation:
        toggle(vm.isIsolated);
        break;
    case StepKind::ToggleStoreReachability:
        toggle(vm.storeUnreachable);
        break;
    case StepKind::Split:
        for (size_t i = 0; i < fleet.vms.size(); ++i) {
            fleet.vms[i].group = (step.argument >> i) % 2;
        }
        break;
    case StepKind::ChangeWhileIsolated:
        vm.isIsolated = true;
        fleet.change("organisation/a", false);
        fleet.run(4s);
        vm.isIsolated = false;
        break;
    case StepKind::StallWatch:
        vm.watchStalled = true;
        break;
    case StepKind::Replace:
        fleet.replace(index);
        break;
    case StepKind::RefreshLists:
        fleet.operatorList.clear();
        for (size_t i = 0; i < fleet.vms.size(); ++i) {
            fleet.refreshList(i);
            fleet.operatorList.push_back(fleet.vms[i].id);
        }
        break;
    case StepKind::ClearNetworkFaults:
        fleet.faults = {};
        break;
    case StepKind::SetNetworkFaults:
        fleet.faults = {
                .dropPercent = step.argument % 40,
                .duplicatePercent = step.argument % 30,
                .maxDelay = Duration(10ms) * step.argument,
        };
        break;
    case StepKind::Last:
        break;
    }
}

/// Whether the VM has an older version of the changed document.
bool servesOlder(const SyncVm &vm, const PendingChange &change)
{
    const std::vector<schema::VersionedDocument> documents = vm.sync->replica().documents();
    return std::any_of(documents.begin(), documents.end(), [&change](const auto &document) {
        return document.name() == change.name && document.has_document()
               && document.revision() < change.revision;
    });
}

/// Invariant: once a change is accepted, no VM serves requests with an API key without it.
void checkAccepted(const SyncFixture &fleet)
{
    for (const PendingChange &change : fleet.changes) {
        for (const SyncVm &vm : fleet.vms) {
            const bool serves = !vm.paused && vm.sync->isCurrent(fleet.now());
            if (change.acceptedAt.has_value() && serves && servesOlder(vm, change)) {
                RC_FAIL("accepted change of revision " + std::to_string(change.revision)
                        + " is not applied on " + vm.id);
            }
        }
    }
}

/// Invariant: no document of a process returns to an older revision, not even after a deletion.
class RevisionOracle
{
public:
    void check(const SyncFixture &fleet)
    {
        for (const SyncVm &vm : fleet.vms) {
            for (const schema::VersionedDocument &document : vm.sync->replica().documents()) {
                uint64_t &seen = m_seen[std::to_string(vm.incarnation) + document.name()];
                if (document.revision() < seen) {
                    RC_FAIL(document.name() + " returned to an older revision on " + vm.id);
                }
                seen = document.revision();
            }
        }
    }

private:
    std::map<std::string, uint64_t> m_seen;
};

} // namespace

TEST_CASE("an accepted change is applied on all serving VMs and no document returns to an older "
          "revision",
          "[fuzz]")
{
    REQUIRE(rc::check("configuration under faults", [] {
        const size_t count = *rc::gen::inRange<size_t>(1, 6);
        const uint64_t seed = *rc::gen::arbitrary<uint64_t>();
        const std::vector<Step> steps = *rc::gen::container<std::vector<Step>>(anyStep());
        SyncFixture fleet(count, seed);
        RevisionOracle revisions;
        fleet.afterEvent = [&] { checkAccepted(fleet); };
        fleet.run(2s);
        for (const Step &step : steps) {
            perform(fleet, step);
            checkAccepted(fleet);
            revisions.check(fleet);
        }
    }));
}

TEST_CASE("a fleet recovers once faults end", "[fuzz]")
{
    REQUIRE(rc::check("recovery", [] {
        const size_t count = *rc::gen::inRange<size_t>(1, 6);
        const uint64_t seed = *rc::gen::arbitrary<uint64_t>();
        const std::vector<Step> steps = *rc::gen::container<std::vector<Step>>(anyStep());
        SyncFixture fleet(count, seed);
        for (const Step &step : steps) {
            perform(fleet, step);
        }
        fleet.storeDown = false;
        fleet.faults = {};
        for (size_t i = 0; i < count; ++i) {
            fleet.vms[i].isIsolated = false;
            fleet.vms[i].storeUnreachable = false;
            fleet.vms[i].group = 0;
            fleet.resume(i);
        }
        perform(fleet, {.kind = StepKind::RefreshLists});
        // Delayed messages from before may arrive for a few more seconds.
        constexpr Duration recoveryTime = 10s;
        fleet.run(recoveryTime);
        RC_ASSERT(fleet.change("organisation/a", false));
        // A watch may still be stalled, so that only the next read reports the change.
        fleet.run(2s);
        RC_ASSERT(fleet.changes.back().acceptedAt.has_value());
        for (const SyncVm &vm : fleet.vms) {
            RC_ASSERT(vm.sync->isCurrent(fleet.now()));
            RC_ASSERT(!servesOlder(vm, fleet.changes.back()));
        }
    }));
}

} // namespace teaseldrift
