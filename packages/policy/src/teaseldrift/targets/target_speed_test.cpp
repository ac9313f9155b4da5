#include "teaseldrift/targets/target_speed.hpp"

#include <array>

#include <catch2/catch.hpp>

#include "teaseldrift/targets/target_selector.hpp"

namespace teaseldrift {

namespace {

const Instant start(100s);

TargetSpeed reported(uint64_t startedAtMs = 1)
{
    TargetSpeed speed(startedAtMs);
    speed.reportMomentary(100, start);
    return speed;
}

} // namespace

TEST_CASE("target speed: nothing has an effect or is sent before a momentary figure is reported")
{
    TargetSpeed speed(1);
    speed.observe(3.0, start);
    CHECK(speed.factor(start) == 1.0);
    CHECK_FALSE(speed.shared(start));
}

TEST_CASE("target speed: factors stay within their bounds and lose their effect with age")
{
    TargetSpeed speed = reported();
    speed.reportMomentary(1000, start);
    CHECK(speed.factor(start) == 4.0);
    CHECK(speed.factor(start + 250ms) == Approx(2.5));
    CHECK(speed.factor(start + 500ms) == 1.0);
    speed.reportMomentary(10, start + 1s);
    CHECK(speed.factor(start + 1s) >= 0.5);
    for (int i = 0; i < 100; ++i) {
        speed.observe(1000.0, start + 2s);
    }
    CHECK(speed.factor(start + 2s) <= 4.0);
    CHECK(speed.factor(start + 2s) > 3.0);
    CHECK(speed.factor(start + 90s) == 1.0);
    // A single response must not bring the lapsed estimate back.
    speed.observe(1.0, start + 90s);
    CHECK(speed.factor(start + 90s) == Approx(1.0));
}

TEST_CASE("target speed: messages keep the estimates within their resolution")
{
    const SharedSpeed sent{.usualFactor = 1.7,
                           .samples = 9,
                           .observedAge = 1500ms,
                           .momentaryFactor = 2.5,
                           .momentaryAge = 110ms,
                           .incarnation = incarnationNumber(1771)};
    const SharedSpeed read = SharedSpeed::unpack(sent.pack());
    CHECK(read.usualFactor == Approx(1.7).epsilon(0.03));
    CHECK(read.samples == 9);
    CHECK(toSeconds(read.observedAge) == Approx(1.5).epsilon(0.25));
    CHECK(read.momentaryFactor == Approx(2.5).epsilon(0.05));
    CHECK(read.momentaryAge == 100ms);
    CHECK(read.incarnation == sent.incarnation);
}

TEST_CASE("target speed: newer estimates replace older ones in any order, those of other "
          "incarnations do not")
{
    TargetSpeed slow = reported();
    TargetSpeed newer = reported();
    for (int i = 0; i < 20; ++i) {
        slow.observe(3.0, start);
        newer.observe(0.5, start + 5s);
    }
    const Instant now = start + 6s;
    const SharedSpeed old = *slow.shared(now);
    const SharedSpeed young = *newer.shared(now);
    TargetSpeed a(1);
    a.merge(old, now);
    CHECK(a.usualFactor(now) > 1.5);
    a.merge(young, now);
    TargetSpeed b(1);
    b.merge(young, now);
    b.merge(old, now);
    CHECK(a.usualFactor(now) == Approx(b.usualFactor(now)));
    CHECK(a.usualFactor(now) < 1.0);
    TargetSpeed restarted(2);
    restarted.merge(old, now);
    CHECK_FALSE(restarted.isReported());
}

TEST_CASE("target speed: the mean speed and the fixed part of a service's time are learned")
{
    for (const double tokensPerMs : {48.2, 112.0}) {
        PrefillCurve curve(100.0, 60.0);
        for (int i = 0; i < 300; ++i) {
            const double tokens = 200.0 + 37.0 * (i % 50);
            curve.observe(tokens, 20.0 + tokens / tokensPerMs);
        }
        CHECK(1.0 / curve.msPerToken() == Approx(tokensPerMs).epsilon(0.05));
        CHECK(curve.baseMs() == Approx(20.0).epsilon(0.1));
    }
}

// Guards deployments whose load reports have three figures against any effect of measured times.
TEST_CASE("without the fourth figure measured times change no choice and nothing is sent")
{
    struct Vm
    {
        TargetDirectory directory;
        TargetSelector selector;
    };
    Vm measured;
    Vm unmeasured;
    for (Vm *vm : {&measured, &unmeasured}) {
        vm->selector.setService({.name = "writer", .cacheTokens = 200000, .slots = 8}, 250.0);
        for (int i = 0; i < 12; ++i) {
            const TargetEntry entry{.id = "e" + std::to_string(i),
                                    .service = "writer",
                                    .slots = 8,
                                    .startedAtMs = 1,
                                    .weights = {{"m", 1}}};
            vm->selector.update(entry, vm->directory.put(entry), start);
        }
    }
    Instant now = start;
    for (uint64_t i = 0; i < 500; ++i) {
        const std::array<PromptSegment, 2> segments{
                {{.id = i % 9, .tokens = 900}, {.id = 100 + i, .tokens = 700}}};
        std::array<TargetChoice, 2> choices;
        for (const bool isMeasured : {false, true}) {
            Vm &vm = isMeasured ? measured : unmeasured;
            TargetChoice choice = *vm.selector.choose(vm.directory,
                                                      {.service = "writer",
                                                       .model = "m",
                                                       .segments = segments,
                                                       .newestWeights = 1,
                                                       .seed = i},
                                                      now);
            vm.selector.sent(choice, now);
            vm.selector.reportLoad(choice.id, {.running = 1, .slots = 8}, now + 10ms);
            vm.selector.prefillFinished(choice, now + 10ms + 10ms * (i % 40), isMeasured);
            vm.selector.ended(choice, true);
            choices[isMeasured ? 1 : 0] = choice;
        }
        REQUIRE(choices[0].id == choices[1].id);
        REQUIRE(choices[0].expectedWait == choices[1].expectedWait);
        now += 7ms;
    }
    CHECK(measured.selector.speedsToSend(1, now).empty());
    CHECK_FALSE(measured.selector.meanPrefillTokensPerMs("writer"));
}

TEST_CASE("a message between VMs has a bounded number of speeds, those that changed first")
{
    TargetDirectory directory;
    TargetSelector selector;
    for (int i = 0; i < 400; ++i) {
        const TargetEntry entry{.id = "e" + std::to_string(i), .service = "s", .startedAtMs = 1};
        selector.update(entry, directory.put(entry), start);
        selector.applySpeed(targetKeyOf(entry.id),
                            {.usualFactor = 1.5, .samples = 9, .incarnation = incarnationNumber(1)},
                            start);
    }
    selector.reportLoad("e77", {.workTimePercent = 250}, start + 2s);
    const std::vector<KnownTargetSpeed> told = selector.speedsToSend(12345, start + 2s);
    CHECK(told.size() <= 32);
    CHECK(told.front().id == "e77");
}

} // namespace teaseldrift
