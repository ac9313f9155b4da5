#include "teaseldrift/usage/distributed_usage_limiter.hpp"

#include <catch2/catch.hpp>

namespace teaseldrift {

// Guards against a VM that has just started and knows no limits yet: the others queried it as the
// owner, and it granted everything (LIMIT, QUOTA).
TEST_CASE("a VM that does not know a limit grants nothing of it to other VMs")
{
    const Instant now = Instant() + 100s;
    DistributedUsageLimiter limiter({.vmId = "vm-1"}, now);
    const UsageVerdict verdict = limiter.answer("shop", 1.0, now);
    CHECK(verdict.outcome == UsageOutcome::NoOwner);
    CHECK(verdict.retryAfter > Duration(0));
}

} // namespace teaseldrift
