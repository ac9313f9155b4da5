#include "teaseldrift/targets/quiet_periods.hpp"

#include <catch2/catch.hpp>

#include "teaseldrift/targets/target_selector.hpp"

namespace teaseldrift {

namespace {

const Instant start(100s);

/// A service of plain targets as one VM sees it.
struct Fixture
{
    Fixture()
    {
        put("a");
        put("b");
    }

    void put(const std::string &id, uint64_t startedAtMs = 1, const std::string &zone = "z")
    {
        const TargetEntry entry{.id = id,
                                .service = "s",
                                .address = "10.0.0.1:80",
                                .availabilityZone = zone,
                                .startedAtMs = startedAtMs};
        const TargetChange change = directory.put(entry);
        selector.update(entry, change, start);
    }

    std::optional<TargetChoice> choose(Instant now, std::span<const std::string> excluded = {})
    {
        return selector.choose(directory, {.service = "s", .excluded = excluded}, now);
    }

    TargetDirectory directory;
    TargetSelector selector;
};

} // namespace

TEST_CASE("a target is not chosen during its quiet period, even if there is no other")
{
    Fixture fixture;
    fixture.selector.startQuietPeriod("a", 1, 10s, start);
    fixture.selector.startQuietPeriod("b", 1, 5s, start);
    CHECK_FALSE(fixture.choose(start));
    CHECK_FALSE(fixture.choose(start + 4999ms));
    const std::optional<TargetAvailability> earliest
            = fixture.selector.availableFrom(fixture.directory, {.service = "s"}, start);
    REQUIRE(earliest);
    CHECK(earliest->from == start + 5s);
    CHECK(earliest->target == "b");
    REQUIRE(fixture.choose(start + 5s));
    CHECK(fixture.choose(start + 5s)->id == "b");
}

TEST_CASE("a quiet period is not shortened by a later response, a plain refusal or a change")
{
    Fixture fixture;
    const std::vector<std::string> excluded{"b"};
    fixture.selector.startQuietPeriod("a", 1, 10s, start);
    fixture.selector.startQuietPeriod("a", 1, 1s, start + 1s);
    fixture.selector.accepted("a", start + 3s);
    fixture.selector.refused("a", start + 3s);
    // The registration was gone for a moment; later a configuration changes the service.
    fixture.selector.remove("a");
    fixture.put("a");
    fixture.selector.update(*fixture.directory.find("a"), TargetChange::Changed, start + 4s);
    fixture.selector.setService({.name = "s", .slots = 2}, 0.0);
    CHECK_FALSE(fixture.choose(start + 9999ms, excluded));
    CHECK(fixture.choose(start + 10s, excluded));
}

TEST_CASE("a new incarnation is not bound by the quiet period of the one before")
{
    Fixture fixture;
    const std::vector<std::string> excluded{"b"};
    fixture.selector.startQuietPeriod("a", 1, 10s, start);
    fixture.put("a", 2);
    CHECK(fixture.choose(start + 1s, excluded));
}

// Guards against requests within a target's Retry-After because the registration of its restart is
// read after the response that stated it (BUDGET).
TEST_CASE("a quiet period that the new incarnation stated outlasts the reading of its registration")
{
    Fixture fixture;
    const std::vector<std::string> excluded{"b"};
    fixture.selector.startQuietPeriod("a", 1, 10s, start + 2s);
    fixture.put("a", 2);
    fixture.selector.keepQuietPeriod("a", 2, start + 1s);
    CHECK_FALSE(fixture.choose(start + 11s, excluded));
    CHECK(fixture.choose(start + 12s, excluded));
    fixture.selector.startQuietPeriod("b", 1, 10s, start + 2s);
    fixture.put("b", 2);
    fixture.selector.keepQuietPeriod("b", 2, start + 3s);
    CHECK(fixture.choose(start + 3s));
    // A shorter period that is stated later does not make the longer one the new incarnation's.
    fixture.selector.startQuietPeriod("b", 2, 10s, start + 4s);
    fixture.selector.startQuietPeriod("b", 2, 1s, start + 6s);
    fixture.put("b", 3);
    fixture.selector.keepQuietPeriod("b", 3, start + 5s);
    CHECK(fixture.choose(start + 6s));
}

TEST_CASE("a quiet period is not taken for ill health")
{
    Fixture fixture;
    fixture.selector.startQuietPeriod("a", 1, 1s, start);
    CHECK(fixture.selector.health().isEligible("a"));
}

// A backlog that had waited for the end of the quiet period would fill the target again at once.
TEST_CASE("after its quiet period a target gets few requests until it has accepted one")
{
    Fixture fixture;
    const std::vector<std::string> excluded{"b"};
    fixture.selector.startQuietPeriod("a", 1, 1s, start);
    int sent = 0;
    for (Instant now = start; now < start + 1500ms; now += 1ms) {
        if (std::optional<TargetChoice> choice = fixture.choose(now, excluded)) {
            fixture.selector.sent(*choice, now);
            ++sent;
        }
    }
    CHECK(sent == 5);
    fixture.selector.accepted("a", start + 1500ms);
    for (int i = 0; i < 10; ++i) {
        std::optional<TargetChoice> choice = fixture.choose(start + 1500ms, excluded);
        REQUIRE(choice);
        fixture.selector.sent(*choice, start + 1500ms);
    }
}

} // namespace teaseldrift
