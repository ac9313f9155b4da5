#include "teaseldrift/router/target_permits.hpp"

#include <algorithm>
#include <utility>

#include "teaseldrift/router/allowance_task.hpp"
#include "teaseldrift/telemetry/log.hpp"

namespace teaseldrift::router {

namespace {

/// Lowest limit that is applied, in requests a second.
constexpr double minPerSecond = 0.1;

/// Requests that a target may get at once, and the same in seconds of its limit: enough that none
/// is lost while VMs collect parts of the allowance.
constexpr double burstRequests = 2.0;
constexpr double burstSeconds = 0.5;

/// After a refusal that says nothing about the time at which a permit will be granted.
constexpr Duration defaultRetryAfter = 100ms;

/// Colons do not occur in names of organisations.
std::string allowanceName(const std::string &target)
{
    return "target:" + target;
}

} // namespace

void TargetPermits::setLimit(const std::string &target, std::optional<double> requestsPerSecond)
{
    if (requestsPerSecond) {
        requestsPerSecond = std::max(*requestsPerSecond, minPerSecond);
    }
    const auto known = m_limits.find(target);
    const bool isUnchanged
            = known == m_limits.end() ? !requestsPerSecond : known->second == requestsPerSecond;
    if (isUnchanged) {
        return;
    }
    m_limits[target] = requestsPerSecond;
    if (requestsPerSecond) {
        m_allowance.setLimit(
                allowanceName(target),
                allowance::limitsFromTokens(*requestsPerSecond,
                                            burstRequests + *requestsPerSecond * burstSeconds));
    }
    telemetry::log(telemetry::LogLevel::Info,
                   requestsPerSecond ? "target limit named" : "target limit ended",
                   {{"target", target},
                    {"requests_per_s", std::to_string(requestsPerSecond.value_or(0.0))}});
}

void TargetPermits::retainTargets(const std::set<std::string> &targets)
{
    std::erase_if(m_limits, [&](const std::pair<const std::string, std::optional<double>> &limit) {
        const bool isRemoved = !targets.contains(limit.first);
        if (isRemoved) {
            m_allowance.removeLimit(allowanceName(limit.first));
        }
        return isRemoved;
    });
}

bool TargetPermits::isLimited(const std::string &target) const
{
    const auto found = m_limits.find(target);
    return found != m_limits.end() && found->second.has_value();
}

size_t TargetPermits::limitedTargets() const
{
    return static_cast<size_t>(
            std::count_if(m_limits.begin(), m_limits.end(),
                          [](const std::pair<const std::string, std::optional<double>> &limit) {
                              return limit.second.has_value();
                          }));
}

void TargetPermits::acquire(const std::string &target,
                            std::function<void(const PermitDecision &)> handler)
{
    m_allowance.admit(
            {.organisation = allowanceName(target), .tokens = 1.0},
            [this, target, handler = std::move(handler)](const AdmissionDecision &decision) {
                const bool isGranted = decision.code == schema::OK;
                m_metrics
                        .counter({"teaseldrift_target_permits_total", "outcome",
                                  isGranted ? "granted" : "refused"})
                        .add();
                PermitDecision permit;
                if (isGranted) {
                    permit.permit = TargetPermit{.target = target, .ticket = decision.ticket};
                } else {
                    permit.retryAfter = decision.retryAfter.value_or(defaultRetryAfter);
                }
                handler(permit);
            });
}

void TargetPermits::refund(const TargetPermit &permit)
{
    m_allowance.refund(allowanceName(permit.target), permit.ticket, 1.0);
}

} // namespace teaseldrift::router
