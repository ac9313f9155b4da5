/// Target selection under the load patterns of peak traffic.

#include "teaseldrift/targets/target_selector.hpp"

#include <array>
#include <map>
#include <set>

#include <catch2/catch.hpp>

namespace teaseldrift {

namespace {

const Instant start(100s);
constexpr std::string_view cacheStore = "10.9.0.1:80";

/// A service of engines as one VM sees it.
class Engines
{
public:
    explicit Engines(size_t count, uint64_t weights = 1)
    {
        m_selector.setService({.name = "writer", .cacheTokens = 200000, .slots = 32}, 250.0);
        m_selector.setCacheStore(cacheStore, 1000000);
        for (size_t i = 0; i < count; ++i) {
            put(i, weights);
        }
    }

    void put(size_t number, uint64_t weights, bool isLeaving = false)
    {
        const TargetEntry entry{.id = idOf(number),
                                .service = "writer",
                                .address = addressOf(number),
                                .availabilityZone = "z",
                                .slots = 32,
                                .isLeaving = isLeaving,
                                .startedAtMs = 1,
                                .weights = {{"m", weights}}};
        const TargetChange change = m_directory.put(entry);
        m_selector.update(entry, change, start);
    }

    static std::string idOf(size_t number) { return "e" + std::to_string(number); }
    static std::string addressOf(size_t number)
    {
        return "10.0.0." + std::to_string(number) + ":80";
    }

    std::optional<TargetChoice> choose(std::span<const PromptSegment> segments, Instant now = start,
                                       std::string_view isolatedOrganisation = "",
                                       uint32_t priority = 0, uint64_t newest = 1,
                                       Duration run = 0s, std::string_view cacheScope = "")
    {
        return m_selector.choose(
                m_directory,
                {.service = "writer",
                 .model = "m",
                 .segments = segments,
                 .isolatedOrganisation = isolatedOrganisation,
                 .cacheScope = cacheScope.empty() ? isolatedOrganisation : cacheScope,
                 .newestWeights = newest,
                 .priority = priority,
                 .expectedRun = run},
                now);
    }

    TargetChoice send(std::span<const PromptSegment> segments, Instant now = start)
    {
        std::optional<TargetChoice> choice = choose(segments, now);
        REQUIRE(choice);
        m_selector.sent(*choice, now);
        return *choice;
    }

    TargetSelector &selector() { return m_selector; }

private:
    TargetDirectory m_directory;
    TargetSelector m_selector{{.availabilityZone = "z"}};
};

using Segments = std::array<PromptSegment, 2>;

Segments promptOf(uint64_t shared, uint64_t own, uint32_t sharedTokens = 5000,
                  uint32_t ownTokens = 100)
{
    return {{{.id = shared, .tokens = sharedTokens}, {.id = own, .tokens = ownTokens}}};
}

} // namespace

TEST_CASE("all VMs select the same engine for a new prefix without messages")
{
    Engines vmA(9);
    Engines vmB(9);
    for (uint64_t shared = 1; shared < 30; ++shared) {
        const Segments segments = promptOf(shared, 1000 + shared);
        CHECK(vmA.choose(segments)->id == vmB.choose(segments)->id);
    }
}

TEST_CASE("load pattern, hot segment: requests go to the engine that computes it, then spread by "
          "imports")
{
    Engines engines(6);
    const std::string first = engines.send(promptOf(7, 100)).id;
    // The segment is being computed there; any other engine would compute it a second time.
    CHECK(engines.send(promptOf(7, 101)).id == first);
    const std::array<SegmentEvent, 1> stored{
            {{.segmentKey = segmentKeyOf("m/1", 7), .tokens = 5000}}};
    engines.selector().applyCacheEvents(first, stored);
    std::set<std::string> used;
    for (uint64_t own = 200; own < 240; ++own) {
        const TargetChoice choice = engines.send(promptOf(7, own, 5000, 1500), start + 1s);
        used.insert(choice.id);
        if (choice.id != first) {
            CHECK_FALSE(choice.importFrom.empty());
            CHECK(choice.prefillTokens == 1500);
        }
    }
    CHECK(used.size() >= 3);
}

TEST_CASE("load pattern, long prompts before short ones: the short ones go elsewhere")
{
    Engines engines(4);
    const TargetChoice busy = engines.send(promptOf(7, 100, 5000, 50000));
    const Segments question = promptOf(7, 101, 300, 500);
    std::optional<TargetChoice> choice = engines.choose(question);
    REQUIRE(choice);
    CHECK(choice->id != busy.id);
    CHECK(choice->expectedWait < 20ms);
}

TEST_CASE("load pattern, a third of the engines unreachable: none is selected after three failures")
{
    Engines engines(9);
    for (size_t dark = 0; dark < 3; ++dark) {
        for (int i = 0; i < 3; ++i) {
            engines.selector().health().report(Engines::idOf(dark),
                                               HealthObservation::ConnectFailed, start);
        }
    }
    for (uint64_t shared = 1; shared < 100; ++shared) {
        const std::string id = engines.choose(promptOf(shared, 1000 + shared))->id;
        CHECK((id != "e0" && id != "e1" && id != "e2"));
    }
}

namespace {

RolloutPlan planOf(std::initializer_list<size_t> loading, std::initializer_list<size_t> waiting)
{
    RolloutPlan plan{.model = "m", .version = 2, .batchSize = 2};
    for (const size_t number : loading) {
        plan.loading.push_back(targetKeyOf(Engines::idOf(number)));
    }
    for (const size_t number : waiting) {
        plan.waiting.push_back(targetKeyOf(Engines::idOf(number)));
    }
    return plan;
}

} // namespace

TEST_CASE("load pattern, rollout under load: engines that load weights now are a last resort")
{
    Engines engines(8, 1);
    engines.selector().setRolloutPlan(planOf({3, 5}, {0, 1, 2, 4, 6, 7}), start);
    std::map<std::string, int> chosen;
    for (uint64_t shared = 1; shared < 200; ++shared) {
        ++chosen[engines.choose(promptOf(shared, 1000 + shared), start, "", 0, 2)->id];
    }
    CHECK_FALSE(chosen.contains("e3"));
    CHECK_FALSE(chosen.contains("e5"));
    CHECK(chosen.size() == 6);
}

TEST_CASE("an engine is used again when the controller no longer announces its rollout plan")
{
    Engines engines(2, 1);
    engines.selector().setRolloutPlan(planOf({0}, {1}), start);
    std::set<std::string> chosen;
    for (uint64_t shared = 1; shared < 50; ++shared) {
        chosen.insert(engines.choose(promptOf(shared, 1000 + shared), start + 3s, "", 0, 2)->id);
    }
    CHECK(chosen.size() == 2);
}

TEST_CASE("load pattern, rollout under load: long requests avoid engines that load weights soon")
{
    Engines engines(6, 1);
    engines.selector().setRolloutPlan(planOf({}, {0, 1, 2, 3, 4, 5}), start);
    std::map<std::string, int> shortRuns;
    std::map<std::string, int> longRuns;
    for (uint64_t shared = 1; shared < 200; ++shared) {
        const Segments segments = promptOf(shared, 1000 + shared, 100);
        ++shortRuns[engines.choose(segments, start, "", 0, 2, 100ms)->id];
        ++longRuns[engines.choose(segments, start, "", 0, 2, 2500ms)->id];
    }
    CHECK(shortRuns["e0"] > 0);
    CHECK(shortRuns["e1"] > 0);
    CHECK(longRuns["e0"] + longRuns["e1"] < (shortRuns["e0"] + shortRuns["e1"]) / 2);
    CHECK(longRuns["e4"] + longRuns["e5"] > shortRuns["e4"] + shortRuns["e5"]);
}

TEST_CASE("load pattern, other VMs fill an engine: their backlog moves requests away")
{
    Engines engines(3);
    const Segments segments = promptOf(7, 100, 200, 100);
    const std::string first = engines.choose(segments)->id;
    engines.selector().setPeerLoad({{targetKeyOf(first), {.backlogTokens = 40000, .requests = 9}}},
                                   start);
    CHECK(engines.choose(segments)->id != first);
    CHECK(engines.selector().requestsAt(first, start) == 9);
    // Load that has not been reported again for a second no longer counts.
    CHECK(engines.choose(segments, start + 1s)->id == first);
    CHECK(engines.selector().requestsAt(first, start + 1s) == 0);
}

TEST_CASE("a request counts as in-flight load until it has ended")
{
    Engines engines(1);
    const TargetChoice choice = engines.send(promptOf(7, 100, 200, 100));
    const InFlightLoadTable beforePrefill{
            {targetKeyOf("e0"), {.backlogTokens = 300, .requests = 1}}};
    CHECK(engines.selector().inFlightLoad() == beforePrefill);
    engines.selector().prefillFinished(choice, start);
    const InFlightLoadTable afterPrefill{{targetKeyOf("e0"), {.backlogTokens = 0, .requests = 1}}};
    CHECK(engines.selector().inFlightLoad() == afterPrefill);
    engines.selector().ended(choice, true);
    CHECK(engines.selector().inFlightLoad().empty());
}

TEST_CASE("load pattern, one engine queues for all VMs: its waits move requests away")
{
    Engines engines(3);
    const Segments segments = promptOf(7, 100, 200, 100);
    const std::string first = engines.choose(segments)->id;
    TargetChoice choice = engines.send(segments);
    REQUIRE(choice.id == first);
    engines.selector().prefillFinished(choice, start + 900ms);
    engines.selector().ended(choice, true);
    CHECK(engines.choose(promptOf(7, 101, 200, 100), start + 900ms)->id != first);
}

TEST_CASE("KV cache of other weights or of an isolated organisation is never requested")
{
    Engines engines(2);
    const Segments segments = promptOf(7, 100);
    const std::optional<TargetChoice> shared = engines.choose(segments);
    const std::optional<TargetChoice> isolated = engines.choose(segments, start, "shop");
    REQUIRE(shared);
    REQUIRE(isolated);
    CHECK(shared->cacheSalt != isolated->cacheSalt);
    CHECK(shared->prefixes.back().segmentKey != isolated->prefixes.back().segmentKey);
    Engines newer(2, 2);
    CHECK(newer.choose(segments, start, "", 0, 2)->cacheSalt != shared->cacheSalt);
}

// After an organisation has become isolated, KV cache of the former scope must be out of reach by
// every way: as a hit, as an import from another target and as a copy in the KV cache store.
TEST_CASE("an organisation becomes isolated: cache of the former scope is no hit and not imported")
{
    Engines engines(2);
    const std::array<SegmentEvent, 1> stored{
            {{.segmentKey = segmentKeyOf("m/1/before", 7), .tokens = 5000}}};
    for (const std::string_view cache : {"", "e0", "e1"}) {
        engines.selector().applyCacheEvents(cache, stored);
    }
    const std::optional<TargetChoice> before
            = engines.choose(promptOf(7, 100), start, "", 0, 1, 0s, "before");
    REQUIRE(before);
    CHECK(before->prefillTokens == 100);
    CHECK(before->saveTo.empty());
    const std::optional<TargetChoice> after
            = engines.choose(promptOf(7, 100), start, "", 0, 1, 0s, "after");
    REQUIRE(after);
    CHECK(after->cacheSalt == "m/1/after");
    CHECK(after->prefillTokens == 5100);
    CHECK(after->importFrom == cacheStore);
    CHECK(after->saveTo == cacheStore);
    // The prefix keeps its preferred target.
    CHECK(after->id == before->id);
    engines.selector().clearCaches();
    CHECK(engines.choose(promptOf(7, 100), start, "", 0, 1, 0s, "before")->prefillTokens == 5100);
}

TEST_CASE("an import names only a source that has confirmed the segment")
{
    Engines engines(2);
    const TargetChoice first = engines.send(promptOf(7, 100));
    // No source is confirmed yet, so the request imports from the KV cache store and saves to it.
    CHECK(first.importFrom == cacheStore);
    CHECK(first.saveTo == cacheStore);
    const std::array<SegmentEvent, 1> stored{
            {{.segmentKey = segmentKeyOf("m/1", 7), .tokens = 5000}}};
    engines.selector().applyCacheEvents("", stored);
    const TargetChoice second = engines.send(promptOf(7, 101));
    CHECK(second.saveTo.empty());
}

TEST_CASE("load pattern, many VMs and one segment: what one VM has seen prefilled is imported by "
          "others")
{
    Engines vmA(3);
    Engines vmB(3);
    const TargetChoice first = vmA.send(promptOf(7, 100));
    CHECK(vmA.selector().takePrefilledSegments().empty());
    vmA.selector().prefillFinished(first, start);
    const std::vector<PrefilledSegment> prefilled = vmA.selector().takePrefilledSegments();
    REQUIRE(prefilled.size() == 1);
    CHECK(prefilled.front().event.tokens == 5000);
    CHECK(vmA.selector().takePrefilledSegments().empty());
    vmB.selector().applyPrefilledSegments(prefilled);
    // The engine that holds the segment is full, so another engine is selected and imports it.
    vmB.selector().setPeerLoad({{targetKeyOf(first.id), {.backlogTokens = 90000}}}, start);
    const std::optional<TargetChoice> second = vmB.choose(promptOf(7, 101));
    REQUIRE(second);
    CHECK(second->id != first.id);
    CHECK(second->importFrom == first.address);
    CHECK(second->prefillTokens == 100);
}

TEST_CASE("prefilled segments of an unknown target are ignored")
{
    Engines engines(1);
    const std::array<PrefilledSegment, 1> prefilled{
            {{.targetKey = targetKeyOf("other"),
              .event = {.segmentKey = segmentKeyOf("m/1", 7), .tokens = 5000}}}};
    engines.selector().applyPrefilledSegments(prefilled);
    CHECK(engines.choose(promptOf(7, 100))->prefillTokens == 5100);
}

TEST_CASE("a prompt is not saved if its own segment is longer than the shared ones")
{
    Engines engines(2);
    CHECK(engines.choose(promptOf(7, 100, 500, 4000))->saveTo.empty());
}

TEST_CASE("the backoff of an engine grows with each refusal until it accepts a request")
{
    Engines engines(2);
    const Segments segments = promptOf(7, 100);
    const std::string first = engines.choose(segments)->id;
    engines.selector().refused(first, start);
    CHECK(engines.choose(segments, start + 200ms)->id != first);
    CHECK(engines.choose(segments, start + 300ms)->id == first);
    engines.selector().refused(first, start + 300ms);
    CHECK(engines.choose(segments, start + 700ms)->id != first);
    engines.selector().accepted(first, start + 1s);
    CHECK(engines.choose(segments, start + 700ms)->id == first);
}

TEST_CASE("a leaving engine is not selected, and without an engine the selection is empty")
{
    Engines engines(1);
    engines.put(0, 1, true);
    CHECK_FALSE(engines.choose(promptOf(7, 100)));
}

TEST_CASE("targets with too old weights are not selected")
{
    TargetDirectory directory;
    TargetSelector selector;
    const TargetEntry entry{
            .id = "e", .service = "writer", .address = "10.0.0.1:80", .weights = {{"m", 4}}};
    selector.update(entry, directory.put(entry), start);
    const TargetQuery query{.service = "writer", .model = "m", .minWeights = 5};
    CHECK_FALSE(selector.choose(directory, query, start));
}

} // namespace teaseldrift
