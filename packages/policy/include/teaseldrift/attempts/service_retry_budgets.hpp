#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "teaseldrift/attempts/retry_budget.hpp"
#include "teaseldrift/base/time.hpp"
#include "teaseldrift/routing/fleet_definition.hpp"

namespace teaseldrift {

/// @brief Retries that all VMs together may send to one service.
struct FleetRetryLimits
{
    /// Retries per request for the service.
    double ratio = 0.2;
    /// Additional retries within a window.
    double slack = 50.0;
    Duration window = 10s;
};

/// @brief This VM's parts of the fleet's retry limits: one budget per service.
///
/// Retries are limited by the requests for the service that they are sent to, so a service that
/// fails cannot use what the requests for other services have earned.
///
/// ```cpp
/// budgets.setServices(definition, now);
/// RequestStateMachine machine(options, *budgets.budget(service, now));
/// ```
class ServiceRetryBudgets
{
public:
    /// @brief Until the first setVmCount(), a VM sends only retries that its own requests earn, and
    /// saves one at most.
    explicit ServiceRetryBudgets(FleetRetryLimits limits);

    /// @brief Keeps budgets for the services of all routes, and for those still in use by requests.
    void setServices(const FleetDefinition &definition, Instant now);

    /// @brief Reports the number of VMs that share the limits; to be called at least once a window.
    ///
    /// The limits are divided by the largest number of the last one to two windows, so that a list
    /// of VMs that is incomplete for a while does not raise the retries of the fleet.
    void setVmCount(size_t vms, Instant now);

    /// @brief Budget of a service. It stays valid if the service is removed.
    [[nodiscard]] std::shared_ptr<RetryBudget> budget(std::string_view service, Instant now);

    /// @brief Number of budgets.
    [[nodiscard]] size_t size() const { return m_budgets.size(); }

private:
    struct ServiceBudget
    {
        std::shared_ptr<RetryBudget> budget;
        /// Some of its requests are streams that another target can continue.
        bool hasStreams = false;
    };

    [[nodiscard]] RetryBudgetOptions optionsFor(bool hasStreams) const;
    ServiceBudget &find(std::string_view service, Instant now);
    void applyOptions(Instant now);

    FleetRetryLimits m_limits;
    /// Largest count of VMs since `m_countedSince`, and in the period before.
    size_t m_vms = 0;
    size_t m_vmsBefore = 0;
    Instant m_countedSince;
    /// Count of VMs by which the limits are divided; 0 while it is not known.
    size_t m_divisor = 0;
    std::map<std::string, ServiceBudget, std::less<>> m_budgets;
};

} // namespace teaseldrift
