#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/orders/order_types.hpp"

namespace teaseldrift {

/// @brief What the task shall ask of the store for the controller's lease.
enum class LeaseAction {
    None,
    /// Grant a lease, create the controller's key under it, report acquired() or lost().
    Acquire,
    /// Renew the lease alive, report kept() or lost().
    Renew,
};

/// @brief Holds the controller's lease, as far as one process can know that it holds it.
///
/// Time is counted from the moment at which a call to the store was made, never from its answer,
/// so the holder's own view ends before the store's. Only the store's lease decides who may
/// begin; only this view decides when to stop.
///
/// ```cpp
/// if (lease.nextAction(now) == LeaseAction::Acquire) { ... lease.acquired(sentAt, fencing, now); }
/// if (lease.mayIssueOrders(now)) { ... }
/// ```
class ControllerLease
{
public:
    explicit ControllerLease(OrderOptions options = {});

    /// @brief What to ask of the store now; called again after each answer and each second.
    LeaseAction nextAction(Instant now);

    /// @brief The controller's key was created under a new lease.
    /// @param requestedAt when the lease was asked for
    /// @param fencing revision of the store at which the key was created
    void acquired(Instant requestedAt, uint64_t fencing, Instant now);

    /// @brief The lease was kept alive.
    void renewed(Instant requestedAt);

    /// @brief The store said that the lease is gone, or that another holds the key.
    void lost(Instant now);

    /// @brief The store did not answer, or there is nothing to be had; asks again after `pause`.
    void retryLater(Instant now, Duration pause = 1s);

    /// @brief Whether the lease is held, as far as this process can know.
    [[nodiscard]] bool isHeld(Instant now) const;

    /// @brief Whether orders may be given now: the lease is held, and no order of an earlier
    /// holder can still arrive. Most targets could not tell such an order from a newer one.
    [[nodiscard]] bool mayIssueOrders(Instant now) const;

    /// @brief End of the time in which orders may be handed over.
    [[nodiscard]] Instant heldUntil() const { return m_heldUntil; }

    /// @brief 0 while no lease is held.
    [[nodiscard]] uint64_t fencing() const { return m_fencing; }

    /// @brief When the lease was acquired.
    [[nodiscard]] Instant acquiredAt() const { return m_acquiredAt; }

private:
    OrderOptions m_options;
    uint64_t m_fencing = 0;
    Instant m_acquiredAt;
    Instant m_heldUntil;
    Instant m_nextCallAt;
};

} // namespace teaseldrift
