#include "teaseldrift/targets/target_limits.hpp"

#include <array>

#include <catch2/catch.hpp>

namespace teaseldrift {

namespace {

constexpr TargetLimitKey key{.target = 7, .startedAtMs = 3};
constexpr Instant start{100s};

} // namespace

TEST_CASE("a target's limit applies from the response that names it")
{
    TargetLimits limits;
    CHECK_FALSE(limits.of(key));
    CHECK(limits.named(key, 2.0, start));
    CHECK(limits.of(key) == 2.0);
    CHECK(limits.count() == 1);
    CHECK_FALSE(limits.of({.target = 7, .startedAtMs = 4}));
    CHECK_FALSE(limits.named(key, 2.0, start + 1s));
}

TEST_CASE("a lower limit applies at once, a slightly higher one does not")
{
    TargetLimits limits;
    limits.named(key, 2.0, start);
    CHECK_FALSE(limits.named(key, 2.02, start + 1s));
    CHECK(limits.of(key) == 2.0);
    CHECK(limits.named(key, 1.99, start + 2s));
    CHECK(limits.named(key, 4.0, start + 3s));
    CHECK(limits.of(key) == 4.0);
}

TEST_CASE("a limit of zero leaves room for a request that shows its end")
{
    TargetLimits limits;
    limits.named(key, 0.0, start);
    CHECK(limits.of(key) == 0.1);
}

TEST_CASE("a limit ends when responses have lacked it for a while")
{
    TargetLimits limits;
    limits.named(key, 2.0, start);
    // The request was sent before the limit was named: its response may have been overtaken.
    CHECK_FALSE(limits.notNamed(key, start - 1ms, start + 1ms));
    CHECK_FALSE(limits.notNamed(key, start + 5ms, start + 10ms));
    // A single response without it, then one with it.
    CHECK_FALSE(limits.named(key, 2.0, start + 500ms));
    CHECK_FALSE(limits.notNamed(key, start + 510ms, start + 1500ms));
    CHECK_FALSE(limits.notNamed(key, start + 2s, start + 2400ms));
    CHECK(limits.of(key) == 2.0);
    CHECK(limits.notNamed(key, start + 2400ms, start + 2500ms));
    CHECK_FALSE(limits.of(key));
    CHECK(limits.count() == 0);
}

TEST_CASE("VMs agree on limits in whatever order they learn of them")
{
    TargetLimits first;
    TargetLimits second;
    CHECK(first.digest() == second.digest());
    first.named(key, 2.0, start);
    second.named({.target = 8}, 3.0, start);
    CHECK(first.digest() != second.digest());
    const std::vector<TargetLimit> statements = first.statements(start);
    for (const TargetLimit &limit : second.statements(start)) {
        CHECK(first.merge(limit, start));
        CHECK_FALSE(first.merge(limit, start));
    }
    for (const TargetLimit &limit : statements) {
        second.merge(limit, start);
    }
    CHECK(first.digest() == second.digest());

    SECTION("the end of a limit is passed on, and older statements do not bring it back")
    {
        first.notNamed(key, start + 1s, start + 1s);
        first.notNamed(key, start + 1s, start + 2s);
        for (const TargetLimit &limit : first.statements(start + 3s)) {
            second.merge(limit, start + 3s);
        }
        CHECK_FALSE(second.of(key));
        CHECK(first.digest() == second.digest());
        for (const TargetLimit &limit : statements) {
            CHECK_FALSE(first.merge(limit, start + 4s));
        }
    }

    SECTION("what is known of a target that is gone is dropped")
    {
        CHECK(first.remove(7));
        CHECK_FALSE(first.remove(7));
        CHECK(first.count() == 1);
    }
}

// Guards against a limit that is forgotten because the registration of a restart is read after the
// response in which the new incarnation named it (LIMIT).
TEST_CASE("a limit that the new incarnation named outlasts the reading of its registration")
{
    TargetLimits limits;
    const TargetLimitKey before = limitKeyOf("t", 1);
    const TargetLimitKey after = limitKeyOf("t", 2);
    limits.named(before, 4.0, start + 2s);
    limits.named(limitKeyOf("u", 1), 5.0, start + 2s);
    CHECK(limits.restarted(after, start + 1s));
    CHECK_FALSE(limits.of(before));
    CHECK(limits.of(after) == 4.0);
    CHECK(limits.restarted(limitKeyOf("t", 3), start + 3s));
    CHECK(limits.count() == 1);
    CHECK(limits.of(limitKeyOf("u", 1)) == 5.0);
}

TEST_CASE("the number of known limits is bounded")
{
    TargetLimits limits({.maxTargets = 2});
    CHECK(limits.named({.target = 1}, 1.0, start));
    CHECK(limits.named({.target = 2}, 1.0, start));
    CHECK_FALSE(limits.named({.target = 3}, 1.0, start));
    CHECK(limits.count() == 2);
}

} // namespace teaseldrift
