#include "teaseldrift/configuration/configuration_freshness.hpp"

#include <catch2/catch.hpp>

namespace teaseldrift {

namespace {

constexpr Duration applyTime = 2s;
constexpr Instant start{100s};

} // namespace

TEST_CASE("a configuration is outdated once its confirmation is older than changes may be unknown")
{
    ConfigurationFreshness freshness(applyTime);
    CHECK_FALSE(freshness.isOutdated(start));
    freshness.confirmed(start, "vm-2");
    CHECK(freshness.relayedBy() == "vm-2");
    CHECK_FALSE(freshness.isOutdated(start + applyTime));
    CHECK(freshness.isOutdated(start + applyTime + 1us));
    // A response that was sent earlier confirms nothing later.
    freshness.confirmed(start - 1s, {});
    CHECK(freshness.isOutdated(start + applyTime + 1us));
    freshness.confirmed(start + 1s, {});
    CHECK_FALSE(freshness.isOutdated(start + applyTime + 1us));
}

TEST_CASE("a VM is behind while another one has a newer version that is confirmed")
{
    ConfigurationFreshness freshness(applyTime);
    freshness.applied(4);
    freshness.confirmed(start, {});
    const Instant now = start + 5s;
    CHECK_FALSE(freshness.isBehind(now));
    freshness.announced(4, now);
    CHECK_FALSE(freshness.isBehind(now));
    freshness.announced(5, now);
    CHECK(freshness.isBehind(now));
    freshness.announced(4, now + 1s);
    // The store has responded to no VM since.
    CHECK_FALSE(freshness.isBehind(now + applyTime + 1us));
    freshness.announced(5, now + 1s);
    CHECK(freshness.isBehind(now + applyTime + 1us));
    freshness.applied(5);
    CHECK_FALSE(freshness.isBehind(now));
}

// The store may return from an older copy, so that the newest version is confirmed no more.
TEST_CASE("an old announcement of a higher version does not hide a recent one of a newer version")
{
    ConfigurationFreshness freshness(applyTime);
    freshness.applied(4);
    freshness.confirmed(start, {});
    const Instant now = start + 60s;
    freshness.announced(6, start);
    CHECK_FALSE(freshness.isBehind(now));
    freshness.announced(5, now);
    CHECK(freshness.isBehind(now));
    freshness.announced(6, start + 1s);
    CHECK(freshness.isBehind(now));
}

TEST_CASE("a VM whose configuration is confirmed is not behind another one that is faster")
{
    ConfigurationFreshness freshness(applyTime);
    freshness.applied(4);
    freshness.confirmed(start, {});
    freshness.announced(5, start);
    CHECK_FALSE(freshness.isBehind(start + applyTime));
}

} // namespace teaseldrift
