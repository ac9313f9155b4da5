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
/// controller.setDemand(models);
/// controller.setTargets(targets);
/// controller.report(report);
/// LeaseStep step = controller.lease().nextStep(now);
/// OrderPlan plan = controller.plan(now);
/// ```
class OrderController
{
public:
    explicit OrderController(OrderOptions options = {});

    ControllerLease &lease() { return m_lease; }

    /// @brief Replaces what the configuration asks for.
    void setDemand(std::span<const ModelDemand> demand);

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
    [[nodiscard]] uint32_t loadsUnderWay(Instant now) const;

private:
    struct State
    {
        OrderTarget target;
        std::optional<TargetReport> report;
        /// The order that a report has yet to confirm.
        std::optional<Order> pending;
        Instant orderedAt;
        /// A report made earlier may be overtaken by an order.
        Instant reportsFrom;
        /// Empty while the target gets requests.
        std::optional<Instant> withdrawnAt;
        /// Chosen for a load in this pass of plan().
        bool isChosen = false;
    };

    using States = std::map<std::string, State, std::less<>>;

    void beginTerm(Instant now);
    void settle(State &state, Instant now) const;
    void planModel(const ModelDemand &demand, Instant now, OrderPlan &plan);
    void planAdapters(const ModelDemand &demand, Instant now, OrderPlan &plan);
    void loadOrWithdraw(State &state, const ModelDemand &demand, Instant now, OrderPlan &plan);
    void give(State &state, Order order, Instant now, OrderPlan &plan);
    State *choose(const ModelDemand &demand);
    void finishPass(OrderPlan &plan);
    [[nodiscard]] bool isDrained(const State &state, Instant now) const;
    [[nodiscard]] bool mayBeLoading(const State &state, Instant now) const;
    static bool isReportCurrent(const State &state);
    [[nodiscard]] bool isChoosable(const State &state) const;
    [[nodiscard]] bool isFree(const State &state) const;
    [[nodiscard]] bool mayReplace(const State &state, const ModelDemand &demand) const;
    [[nodiscard]] const ModelDemand *demandFor(std::string_view model) const;
    [[nodiscard]] uint32_t countServing(std::string_view model) const;
    [[nodiscard]] uint32_t countHolding(std::string_view model) const;
    [[nodiscard]] uint32_t slotsUsed(Instant now) const;
    [[nodiscard]] Order makeOrder(const State &state, schema::OrderKind kind,
                                  const ModelDemand &demand, Instant now) const;

    OrderOptions m_options;
    ControllerLease m_lease;
    std::vector<ModelDemand> m_demand;
    States m_states;
    uint64_t m_termFencing = 0;
    Instant m_termBegun;
};

} // namespace teaseldrift
