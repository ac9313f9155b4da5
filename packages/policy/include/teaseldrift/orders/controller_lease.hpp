#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/orders/order_types.hpp"

namespace teaseldrift {

/// @brief Store call that the caller must make for the controller's lease.
enum class LeaseAction {
    None,
    /// Grant a lease and create the controller's key under it, then call acquired() or lost().
    Acquire,
    /// Renew the lease, then call renewed() or lost().
    Renew,
};

/// @brief Fencing token of a controller: grows with each acquisition of its key, also when the
/// store returns from an older copy and gives out its revisions again.
/// @param epoch epoch of the store; 0 if it has none
/// @param revision store revision at which the key was created
[[nodiscard]] uint64_t fencingToken(uint64_t epoch, uint64_t revision);

/// @brief Local view of whether this process holds the controller's lease.
///
/// The lease time counts from the start of a store call, not from its response, so the local lease
/// expires before the store's. The store's lease decides who may become the controller; the local
/// lease decides when the controller must stop.
///
/// ```cpp
/// if (lease.nextAction(now) == LeaseAction::Acquire) {
///     ...
///     lease.acquired(requestedAt, fencing, now);
/// }
/// if (lease.mayIssueOrders(now)) {
///     ...
/// }
/// ```
class ControllerLease
{
public:
    explicit ControllerLease(OrderOptions options = {});

    /// @brief Store call to make now; call it at least once a second and after each response.
    LeaseAction nextAction(Instant now);

    /// @brief Records that the controller's key was created under a new lease.
    /// @param requestedAt start of the call that granted the lease
    /// @param fencing fencing token of this acquisition
    void acquired(Instant requestedAt, uint64_t fencing, Instant now);

    /// @brief Records that the lease was renewed.
    /// @param requestedAt start of the call that renewed it
    void renewed(Instant requestedAt);

    /// @brief Records that the lease has expired in the store or that another VM holds the key.
    void lost(Instant now);

    /// @brief Handles the return of the store from an older copy. The lease in the store may be
    /// gone while its holder still relies on it, so no orders may be issued until it has expired
    /// there.
    void storeRestored(Instant now);

    /// @brief Delays the next call, after a call without a response or while the key is not free.
    void retryLater(Instant now, Duration pause = 1s);

    /// @brief Whether the local lease is held.
    [[nodiscard]] bool isHeld(Instant now) const;

    /// @brief Whether orders may be issued: the lease is held and no order of an earlier holder can
    /// still arrive. Most targets do not check fencing tokens and would execute such an order.
    [[nodiscard]] bool mayIssueOrders(Instant now) const;

    /// @brief End of the local lease; no order may be sent after it.
    [[nodiscard]] Instant heldUntil() const { return m_heldUntil; }

    /// @brief Fencing token; 0 while no lease is held.
    [[nodiscard]] uint64_t fencing() const { return m_fencing; }

    [[nodiscard]] Instant acquiredAt() const { return m_acquiredAt; }

private:
    OrderOptions m_options;
    uint64_t m_fencing = 0;
    Instant m_acquiredAt;
    Instant m_heldUntil;
    Instant m_nextCallAt;
    /// End of all leases of the store's former epoch.
    Instant m_formerLeasesEndAt;
};

} // namespace teaseldrift
