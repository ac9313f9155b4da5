#include "teaseldrift/attempts/service_retry_budgets.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace teaseldrift {

ServiceRetryBudgets::ServiceRetryBudgets(FleetRetryLimits limits) : m_limits(limits) { }

void ServiceRetryBudgets::setServices(const FleetDefinition &definition, Instant now)
{
    std::set<std::string_view> current;
    std::set<std::string_view> withStreams;
    for (const Route &route : definition.routes) {
        for (const WeightedService &service : route.services) {
            current.insert(service.service);
            if (route.kind == RouteKind::ResumableStream) {
                withStreams.insert(service.service);
            }
        }
    }
    for (const std::string_view service : current) {
        find(service, now).hasStreams = withStreams.contains(service);
    }
    std::erase_if(m_budgets, [&current](const std::pair<const std::string, ServiceBudget> &entry) {
        return !current.contains(entry.first) && entry.second.budget.use_count() == 1;
    });
    applyOptions(now);
}

void ServiceRetryBudgets::setVmCount(size_t vms, Instant now)
{
    if (now - m_countedSince >= m_limits.window) {
        m_vmsBefore = m_vms;
        m_vms = 0;
        m_countedSince = now;
    }
    m_vms = std::max({m_vms, vms, size_t(1)});
    const size_t divisor = std::max(m_vms, m_vmsBefore);
    if (divisor != m_divisor) {
        m_divisor = divisor;
        applyOptions(now);
    }
}

std::shared_ptr<RetryBudget> ServiceRetryBudgets::budget(std::string_view service, Instant now)
{
    return find(service, now).budget;
}

ServiceRetryBudgets::ServiceBudget &ServiceRetryBudgets::find(std::string_view service, Instant now)
{
    const auto found = m_budgets.find(service);
    if (found != m_budgets.end()) {
        return found->second;
    }
    return m_budgets
            .emplace(service,
                     ServiceBudget{.budget = std::make_shared<RetryBudget>(optionsFor(false), now)})
            .first->second;
}

void ServiceRetryBudgets::applyOptions(Instant now)
{
    for (const std::pair<const std::string, ServiceBudget> &entry : m_budgets) {
        entry.second.budget->setOptions(optionsFor(entry.second.hasStreams), now);
    }
}

RetryBudgetOptions ServiceRetryBudgets::optionsFor(bool hasStreams) const
{
    // Leaves a margin for retries that arrive in a later window than their requests.
    constexpr double ratioFraction = 0.85;
    const double ratio = m_limits.ratio * ratioFraction;
    if (m_divisor == 0) {
        return {.ratio = ratio,
                .floor = 0.0,
                .capacity = 1.0,
                .streamReserve = 0.0,
                .floorRefillPerSecond = 0.0};
    }
    // Fractions of this VM's part of the slack that it can spend within one window: saved tokens,
    // tokens refilled, and tokens reserved for streams. The rest is a margin for VMs that do not
    // know of all others yet.
    constexpr double savedFraction = 0.65;
    constexpr double refillFraction = 0.25;
    const double reserveFraction = hasStreams ? 0.2 : 0.0;
    const double slack = m_limits.slack / static_cast<double>(m_divisor);
    const double spendable = slack * (savedFraction + refillFraction);
    // A retry takes a whole token; a VM with a smaller part saves that up rather than refilling.
    const double saved = slack * (savedFraction - reserveFraction);
    const double capacity = std::min(spendable, std::max(1.0, saved));
    const double reserve = std::min(slack * reserveFraction, spendable - capacity);
    const double refill = std::min(slack * refillFraction, spendable - capacity - reserve);
    return {.ratio = ratio,
            .floor = std::min(capacity, std::max(1.0, slack * refillFraction)),
            .capacity = capacity,
            .streamReserve = reserve,
            .floorRefillPerSecond = refill / toSeconds(m_limits.window)};
}

} // namespace teaseldrift
