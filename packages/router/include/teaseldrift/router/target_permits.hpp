#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "teaseldrift/allowance/types.hpp"
#include "teaseldrift/base/time.hpp"
#include "teaseldrift/telemetry/metrics.hpp"

namespace teaseldrift::router {

class AllowanceTask;

/// @brief The right to send one request to a target that names a limit.
struct TargetPermit
{
    std::string target;
    /// Passed to the allowance in refund().
    allowance::Ticket ticket;
};

/// @brief Decision about a permit.
struct PermitDecision
{
    /// Empty if the permit was refused.
    std::optional<TargetPermit> permit;
    /// Time until a permit may be granted; if it was refused.
    Duration retryAfter{0};
};

/// @brief Grants permits to send requests to targets whose load reports name a limit for all VMs
/// together.
///
/// Each limit is an allowance of one token a request, which the VMs divide as they divide those of
/// organisations: what all VMs grant never exceeds it, and a VM obtains the parts of the others.
class TargetPermits
{
public:
    TargetPermits(AllowanceTask &allowance, telemetry::Metrics &metrics)
        : m_allowance(allowance), m_metrics(metrics)
    { }

    /// @brief Sets the requests a second that a target last reported to take; empty for no limit.
    void setLimit(const std::string &target, std::optional<double> requestsPerSecond);

    /// @brief Drops the limits of all other targets.
    void retainTargets(const std::set<std::string> &targets);

    [[nodiscard]] bool isLimited(const std::string &target) const;

    /// @brief Number of targets that name a limit.
    [[nodiscard]] size_t limitedTargets() const;

    /// @brief Requests a permit.
    /// @param handler called once; from within the call if this VM can decide at once
    void acquire(const std::string &target, std::function<void(const PermitDecision &)> handler);

    /// @brief Returns a permit that was not used.
    void refund(const TargetPermit &permit);

private:
    AllowanceTask &m_allowance;
    telemetry::Metrics &m_metrics;
    /// Targets that have named a limit; empty for those that do not name one any more, so that the
    /// division of the allowance is kept for the next time.
    std::map<std::string, std::optional<double>> m_limits;
};

} // namespace teaseldrift::router
