#include "teaseldrift/orders/controller_lease.hpp"

#include <catch2/catch.hpp>

namespace teaseldrift {

namespace {

constexpr OrderOptions options{.leaseTtl = 3s, .maxOrderLifetime = 1s};
const Instant start(100s);

} // namespace

// A restored store gives out revisions again; targets would reject or confuse the orders.
TEST_CASE("a fencing token of a newer epoch is larger at any revision")
{
    CHECK(fencingToken(0, 43) == 43);
    CHECK(fencingToken(1, 5) > fencingToken(0, 4'000'000'000));
    CHECK(fencingToken(2, 1) > fencingToken(1, 60'000'000'000));
    CHECK(fencingToken(1, 6) > fencingToken(1, 5));
    constexpr uint64_t maxExactDouble = uint64_t{1} << 53U;
    CHECK(fencingToken(UINT64_MAX, UINT64_MAX) < maxExactDouble);
}

// The former holder may rely on a lease that the restored store no longer has.
TEST_CASE("no orders are issued until all leases of the store's former epoch have ended")
{
    ControllerLease lease(options);
    lease.acquired(start, 43, start);
    CHECK(lease.mayIssueOrders(start + 2s));
    lease.storeRestored(start + 2s);
    CHECK_FALSE(lease.isHeld(start + 2s));

    lease.acquired(start + 2100ms, fencingToken(1, 9), start + 2100ms);
    lease.renewed(start + 4s);
    CHECK_FALSE(lease.mayIssueOrders(start + 4900ms));
    CHECK(lease.mayIssueOrders(start + 5100ms));
}

} // namespace teaseldrift
