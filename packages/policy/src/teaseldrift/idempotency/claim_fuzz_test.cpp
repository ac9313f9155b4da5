#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "teaseldrift/idempotency/claim_table.hpp"

namespace teaseldrift {

namespace {

constexpr size_t vmCount = 2;
constexpr int64_t requestLifeMs = 10000;

/// A store operation in flight. It may be applied long after its result was reported as unknown.
struct Operation
{
    size_t vm;
    uint32_t incarnation;
    std::string claimId;
    ClaimStep step;
    bool isAnswered = false;
    bool isApplied = false;
};

/// A request with the idempotency key under test, as seen by its caller and its target.
struct Call
{
    size_t vm;
    uint32_t incarnation;
    std::string id;
    std::string hash;
    std::optional<ClaimDecision> decision;
    bool hasRun = false;
    bool hasEnded = false;
};

/// Simulates two VMs, one store and repeated requests with one idempotency key. Asserts that the
/// request runs at most once and that only the response to an equal request is replayed.
struct ClaimSimulation
{
    std::vector<ClaimTable> tables = std::vector<ClaimTable>(vmCount);
    std::vector<uint32_t> incarnations = std::vector<uint32_t>(vmCount);
    std::optional<schema::ClaimRecord> stored;
    uint64_t storedRevision = 0;
    uint64_t revision = 0;
    std::vector<Operation> operations;
    std::vector<Call> calls;
    std::map<std::string, std::string> answers;
    uint32_t runs = 0;
    Instant now{};

    [[nodiscard]] int64_t nowUnixMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch())
                .count();
    }

    void call(size_t vm, uint32_t choice)
    {
        Call call{.vm = vm, .incarnation = incarnations[vm]};
        call.id = "claim-" + std::to_string(calls.size());
        call.hash = choice % 8 == 0 ? "other" : "same";
        calls.push_back(call);
        handleStep(calls.back(), tables[vm].begin({.organisation = "o",
                                                   .route = "/bills",
                                                   .idempotencyKey = "k",
                                                   .requestHash = call.hash,
                                                   .claimId = call.id,
                                                   .deadlineUnixMs = nowUnixMs() + requestLifeMs},
                                                  now));
    }

    void handleStep(Call &call, const ClaimStep &step)
    {
        if (step.read || step.write || step.erase) {
            operations.push_back({.vm = call.vm,
                                  .incarnation = call.incarnation,
                                  .claimId = call.id,
                                  .step = step});
        }
        if (!step.decision) {
            return;
        }
        RC_ASSERT(!call.decision.has_value());
        call.decision = step.decision;
        if (step.decision == ClaimDecision::Replay) {
            RC_ASSERT(answers.contains(step.answer.body()));
            RC_ASSERT(answers[step.answer.body()] == call.hash);
        }
    }

    /// Applies the operation to the store.
    ClaimWriteOutcome apply(Operation &operation)
    {
        operation.isApplied = true;
        const std::optional<WriteClaim> &write = operation.step.write;
        const uint64_t current = stored ? storedRevision : 0;
        const uint64_t expected
                = write ? write->expectedRevision : operation.step.erase->expectedRevision;
        if (current != expected) {
            return ClaimWriteOutcome::Conflict;
        }
        storedRevision = ++revision;
        stored = write ? std::optional(write->record) : std::nullopt;
        return ClaimWriteOutcome::Written;
    }

    void completeOperation(Operation &operation, uint32_t choice)
    {
        const bool isCurrentIncarnation = operation.incarnation == incarnations[operation.vm];
        if (operation.isAnswered) {
            if (!operation.isApplied && !operation.step.read) {
                apply(operation); // Delayed in the network and applied only now.
            }
            return;
        }
        operation.isAnswered = true;
        const std::string id = operation.claimId;
        ClaimTable &table = tables[operation.vm];
        ClaimStep next;
        if (operation.step.read) {
            ClaimReadResult result{.isAnswered = choice % 4 != 0};
            if (result.isAnswered) {
                result.record = stored;
                result.revision = storedRevision;
            }
            next = isCurrentIncarnation ? table.readDone(id, result, now, nowUnixMs())
                                        : ClaimStep();
        } else {
            const ClaimWriteOutcome outcome = outcomeOf(operation, choice);
            next = isCurrentIncarnation ? table.writeDone(id, outcome, revision, now) : ClaimStep();
        }
        handleStep(callOf(id), next);
    }

    ClaimWriteOutcome outcomeOf(Operation &operation, uint32_t choice)
    {
        switch (choice % 6) {
        case 0:
            operation.isApplied = true;
            return ClaimWriteOutcome::NotSent;
        case 1:
            return ClaimWriteOutcome::Unknown;
        case 2:
            apply(operation);
            return ClaimWriteOutcome::Unknown;
        default:
            return apply(operation);
        }
    }

    Call &callOf(const std::string &id)
    {
        return *std::find_if(calls.begin(), calls.end(),
                             [&id](const Call &call) { return call.id == id; });
    }

    /// If the VM still runs the same incarnation, sends a granted request to a target, which runs
    /// it.
    void run(Call &call)
    {
        const bool isCurrentIncarnation = call.incarnation == incarnations[call.vm];
        if (call.decision == ClaimDecision::Granted && !call.hasRun && !call.hasEnded
            && isCurrentIncarnation) {
            call.hasRun = true;
            ++runs;
            RC_ASSERT(runs <= 1U);
        }
    }

    void end(Call &call, uint32_t choice)
    {
        const bool isCurrentIncarnation = call.incarnation == incarnations[call.vm];
        if (call.decision != ClaimDecision::Granted || call.hasEnded || !isCurrentIncarnation) {
            return;
        }
        call.hasEnded = true;
        schema::KeptAnswer answer;
        answer.set_body("answer of " + call.id);
        ClaimOutcome outcome = ClaimOutcome::NotRun;
        if (call.hasRun) {
            outcome = choice % 3 == 0 ? ClaimOutcome::Unknown : ClaimOutcome::Answered;
            answers[answer.body()] = call.hash;
        }
        handleStep(call, tables[call.vm].complete(call.id, outcome, answer, now));
    }

    void replaceVm(size_t vm)
    {
        ++incarnations[vm];
        tables[vm] = ClaimTable();
    }

    void advanceTime(uint32_t choice)
    {
        now += std::chrono::milliseconds(choice * 20);
        for (ClaimTable &table : tables) {
            for (const std::string &id : table.expire(now)) {
                RC_ASSERT(!callOf(id).decision.has_value());
                callOf(id).decision = ClaimDecision::Refused;
            }
        }
    }
};

struct Model
{ };

enum class Op { Call, CompleteOperation, Run, End, ReplaceVm, AdvanceTime };

struct Step : rc::state::Command<Model, ClaimSimulation>
{
    Op op = *rc::gen::weightedElement<Op>({{3, Op::Call},
                                           {10, Op::CompleteOperation},
                                           {4, Op::Run},
                                           {3, Op::End},
                                           {1, Op::ReplaceVm},
                                           {1, Op::AdvanceTime}});
    uint32_t choice = *rc::gen::arbitrary<uint8_t>();
    uint32_t age = *rc::gen::weightedElement<uint32_t>({{6, 0}, {2, 1}, {1, 2}, {1, 3}});

    void run(const Model & /*model*/, ClaimSimulation &simulation) const override
    {
        if (op == Op::Call) {
            return simulation.call(choice % vmCount, choice / vmCount);
        }
        if (op == Op::ReplaceVm) {
            return simulation.replaceVm(choice % vmCount);
        }
        if (op == Op::AdvanceTime) {
            return simulation.advanceTime(choice);
        }
        if (op == Op::CompleteOperation && !simulation.operations.empty()) {
            const size_t newest = simulation.operations.size() - 1;
            // Copied, because completeOperation() may append to operations and invalidate
            // references.
            Operation operation = simulation.operations[newest - std::min<size_t>(age, newest)];
            simulation.completeOperation(operation, choice);
            simulation.operations[newest - std::min<size_t>(age, newest)] = operation;
        } else if (op != Op::CompleteOperation && !simulation.calls.empty()) {
            const size_t newest = simulation.calls.size() - 1;
            Call &call = simulation.calls[newest - std::min<size_t>(age, newest)];
            op == Op::Run ? simulation.run(call) : simulation.end(call, choice);
        }
    }

    void show(std::ostream &os) const override
    {
        os << "Step(" << static_cast<int>(op) << ", " << choice << ", " << age << ")";
    }
};

} // namespace

TEST_CASE("requests with one key run once despite two VMs, lost store responses and VM replacement",
          "[fuzz]")
{
    REQUIRE(rc::check([] {
        ClaimSimulation simulation;
        rc::state::check(Model(), simulation, rc::state::gen::execOneOfWithArgs<Step>());
        RC_CLASSIFY(simulation.runs == 1U, "ran");
        RC_CLASSIFY(std::any_of(simulation.calls.begin(), simulation.calls.end(),
                                [](const Call &call) {
                                    return call.decision == ClaimDecision::Replay;
                                }),
                    "replayed");
    }));
}

TEST_CASE("a claim whose write result was lost is recognised by its id")
{
    ClaimTable table;
    const Instant now{};
    const ClaimStep first = table.begin({.idempotencyKey = "k", .claimId = "c"}, now);
    REQUIRE(first.write.has_value());
    CHECK(table.writeDone("c", ClaimWriteOutcome::Unknown, 0, now).read.has_value());
    const ClaimReadResult result{.isAnswered = true, .record = first.write->record, .revision = 5};
    CHECK(table.readDone("c", result, now, 0).decision == ClaimDecision::Granted);
}

TEST_CASE("a claim that times out is refused, and released when the store responds")
{
    ClaimTable table;
    const Instant now{};
    const ClaimStep first = table.begin({.idempotencyKey = "k", .claimId = "c"}, now);
    CHECK(table.expire(now + 10s) == std::vector<std::string>{"c"});
    const ClaimStep late = table.writeDone("c", ClaimWriteOutcome::Written, 7, now + 11s);
    CHECK_FALSE(late.decision.has_value());
    REQUIRE(late.erase.has_value());
    CHECK(late.erase->expectedRevision == 7);
    table.writeDone("c", ClaimWriteOutcome::Written, 8, now + 11s);
    CHECK(table.size() == 0);
}

TEST_CASE("store keys of different organisations and routes do not collide")
{
    CHECK(ClaimTable::storeKey("a", "b", "c") != ClaimTable::storeKey("ab", "", "c"));
    CHECK(ClaimTable::storeKey("a", "b", "c") != ClaimTable::storeKey("a", "bc", ""));
    CHECK(ClaimTable::storeKey("a", "b", "c") == ClaimTable::storeKey("a", "b", "c"));
}

TEST_CASE("the number of claims per VM is limited")
{
    ClaimTable table({.maxClaims = 1});
    table.begin({.idempotencyKey = "k", .claimId = "c"}, Instant());
    const ClaimStep step = table.begin({.idempotencyKey = "l", .claimId = "d"}, Instant());
    CHECK(step.code == schema::IDEMPOTENCY_CLAIM_FAILED);
}

TEST_CASE("a response over the size limit is not stored")
{
    ClaimTable table({.maxAnswerBytes = 8});
    table.begin({.idempotencyKey = "k", .claimId = "c"}, Instant());
    table.writeDone("c", ClaimWriteOutcome::Written, 1, Instant());
    schema::KeptAnswer answer;
    answer.set_body("0123456789");
    const ClaimStep step = table.complete("c", ClaimOutcome::Answered, answer, Instant());
    REQUIRE(step.write.has_value());
    CHECK(step.write->record.state() == schema::COMPLETED);
    CHECK_FALSE(step.write->record.has_answer());
}

} // namespace teaseldrift
