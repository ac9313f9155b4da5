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

/// @brief Brings the models on the targets in line with the configuration.
///
/// Every VM has one; only the holder of the lease gives orders.
///
/// ```cpp
/// controller.setDesiredModels(models);
/// controller.setTargets(targets);
/// controller.report(report);
/// LeaseAction step = controller.lease().nextAction(now);
/// OrderPlan plan = controller.plan(now);
/// ```
class OrderController
{
public:
    explicit OrderController(OrderOptions options = {});

    ControllerLease &lease() { return m_lease; }

    /// @brief Replaces what the configuration asks for.
    void setDesiredModels(std::span<const DesiredModel> desired);

    /// @brief Replaces the targets that can be given orders.
    void setTargets(std::span<const OrderTarget> targets);

    /// @brief Takes a target's report; one older than the last is ignored.
    void report(const TargetReport &report);

    /// @brief What to do now; called about every second and after each report.
    OrderPlan plan(Instant now);

    /// @brief An order's connection ended and the target cannot have it.
    void orderNotDelivered(std::string_view target);

    /// @brief Whether new requests for a model may go to a target, by its last report.
    [[nodiscard]] bool isServing(std::string_view target, std::string_view model) const;

    /// @brief Weight loads that are or may be under way.
    [[nodiscard]] uint32_t loadsInProgress(Instant now) const;

private:
    struct State
    {
        OrderTarget target;
        std::optional<TargetReport> report;
        /// The order that a report has yet to confirm.
        std::optional<Order> pending;
        Instant orderedAt;
        /// A report made earlier may be overtaken by an order.
        Instant reportsValidFrom;
        /// Empty while the target gets requests.
        std::optional<Instant> withdrawnAt;
        /// Chosen for a load in this pass of plan().
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
