#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/orders/controller_lease.hpp"
#include "teaseldrift/orders/order_types.hpp"

namespace teaseldrift {

/// @brief Reconciles the models on the targets with the configuration.
///
/// Every VM runs one; only the holder of the controller's lease issues orders.
///
/// ```cpp
/// controller.setDesiredModels(models);
/// controller.setTargets(targets);
/// controller.report(report);
/// LeaseAction action = controller.lease().nextAction(now);
/// OrderPlan plan = controller.plan(now);
/// ```
class OrderController
{
public:
    explicit OrderController(OrderOptions options = {});

    ControllerLease &lease() { return m_lease; }

    /// @brief Replaces the desired state of all models.
    void setDesiredModels(std::span<const DesiredModel> desired);

    /// @brief Replaces the list of targets; state of targets that stay is kept.
    void setTargets(std::span<const OrderTarget> targets);

    /// @brief Records a target's report, unless a newer one is known.
    void report(const TargetReport &report);

    /// @brief Computes the orders to send now; call it about every second and after each report.
    OrderPlan plan(Instant now);

    /// @brief Drops the pending order of a target that certainly has not received it.
    void orderNotDelivered(std::string_view target);

    /// @brief Whether a target may get new requests for a model, according to its last report.
    [[nodiscard]] bool isServing(std::string_view target, std::string_view model) const;

    /// @brief Number of weight loads that are or may be in progress.
    [[nodiscard]] uint32_t loadsInProgress(Instant now) const;

private:
    struct State
    {
        OrderTarget target;
        std::optional<TargetReport> report;
        /// Order that no report has confirmed yet.
        std::optional<Order> pending;
        Instant orderedAt;
        /// Earlier reports are ignored, since an order may have arrived after them.
        Instant reportsValidFrom;
        /// Empty while the target gets new requests.
        std::optional<Instant> withdrawnAt;
        /// Selected for a load in the current call of plan().
        bool isChosen = false;
    };

    using States = std::map<std::string, State, std::less<>>;

    void startTerm(Instant now);
    void resolvePending(State &state, Instant now) const;
    void planModel(const DesiredModel &desired, Instant now, OrderPlan &plan);
    void planAdapters(const DesiredModel &desired, Instant now, OrderPlan &plan);
    void loadOrWithdraw(State &state, const DesiredModel &desired, Instant now, OrderPlan &plan);
    void issueOrder(State &state, Order order, Instant now, OrderPlan &plan);
    State *chooseTarget(const DesiredModel &desired);
    void restoreToService(OrderPlan &plan);
    [[nodiscard]] bool isDrained(const State &state, Instant now) const;
    [[nodiscard]] bool mayBeLoading(const State &state, Instant now) const;
    static bool isReportCurrent(const State &state);
    [[nodiscard]] bool isAvailable(const State &state) const;
    [[nodiscard]] bool isSurplus(const State &state) const;
    [[nodiscard]] bool mayTakeOutOfService(const State &state, const DesiredModel &desired) const;
    [[nodiscard]] const DesiredModel *findDesired(std::string_view model) const;
    [[nodiscard]] uint32_t countServing(std::string_view model) const;
    [[nodiscard]] uint32_t countHolding(std::string_view model) const;
    [[nodiscard]] uint32_t loadSlotsInUse(Instant now) const;
    [[nodiscard]] Order makeOrder(const State &state, schema::OrderKind kind,
                                  const DesiredModel &desired, Instant now) const;

    OrderOptions m_options;
    ControllerLease m_lease;
    std::vector<DesiredModel> m_desiredModels;
    States m_states;
    uint64_t m_termFencing = 0;
    Instant m_termStartedAt;
};

} // namespace teaseldrift
