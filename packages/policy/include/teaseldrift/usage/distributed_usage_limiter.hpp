#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/usage/refund_pool.hpp"
#include "teaseldrift/usage/usage_limiter.hpp"

namespace teaseldrift {

/// @brief Configuration of a DistributedUsageLimiter.
struct DistributedUsageLimiterOptions
{
    std::string vmId;
    /// Units by which all VMs together may exceed a limit within `window`.
    double slack = 0.0;
    /// The same as a fraction of the limit.
    double overrun = 0.0;
    Duration window = 8s;
    /// During `settlingTime` after its start, a VM may not know all others yet; it assumes at least
    /// this many VMs.
    size_t minVmCount = 3;
    Duration settlingTime = 3s;
};

/// @brief An organisation's usage limit, for all VMs together.
struct OrganisationLimit
{
    std::string organisation;
    /// 0 for no limit.
    double unitsPerSecond = 0.0;
    double burst = 0.0;
};

/// @brief A VM in the list of VMs.
struct UsageVm
{
    std::string id;
    bool isLeaving = false;
};

/// @brief Decision about a request for units.
enum class UsageOutcome {
    Granted,
    Refused,
    /// The limit's owner must be queried.
    QueryOwner,
};

/// @brief Result of a request for units.
struct UsageVerdict
{
    UsageOutcome outcome = UsageOutcome::Refused;
    /// Time until the units are available; for `Refused`.
    Duration retryAfter{0};
    /// When a limiter granted the units; for `Granted`. Passed to refund().
    Instant grantedAt;
    /// For `QueryOwner`; valid until the list of VMs changes.
    std::string_view owner;
};

/// @brief Enforces usage limits that all VMs share; one VM's part of the decision.
///
/// One VM owns each limit. All VMs determine it by rendezvous hashing over the list of VMs, and
/// query it. While the owner does not respond, a VM grants units from its part of the excess over
/// the limit that is allowed, since the owner may be granting the whole limit to other VMs.
///
/// ```cpp
/// UsageVerdict verdict = limiter.acquire("shop", 100, now);
/// if (verdict.outcome == UsageOutcome::QueryOwner) {
///     // On the owner: verdict = limiter.answer("shop", 100, now);
///     // If it does not respond: verdict = limiter.acquireFallback("shop", 100, now);
/// }
/// ```
class DistributedUsageLimiter
{
public:
    DistributedUsageLimiter(DistributedUsageLimiterOptions options, Instant now);

    /// @brief Replaces the limits.
    void setLimits(std::span<const OrganisationLimit> limits, Instant now);

    /// @brief Replaces the list of VMs by one read from the store.
    /// @param readAt when the read began
    void setVms(std::span<const UsageVm> vms, Instant readAt, Instant now);

    /// @brief This VM is about to stop and no longer owns limits.
    void setLeaving(Instant now);

    /// @brief Counts the VMs among which limits are divided anew.
    void tick(Instant now);

    /// @brief Number of VMs among which limits are divided: those in the list and those that were
    /// in it within the last window, as they may still be granting.
    [[nodiscard]] size_t vmCount() const { return m_vmCount; }

    /// @brief The VM that owns a limit by the list of VMs; empty if there is none.
    [[nodiscard]] std::string_view ownerOf(std::string_view organisation) const;

    /// @brief Requests units for this VM.
    [[nodiscard]] UsageVerdict acquire(std::string_view organisation, double units, Instant now);

    /// @brief Requests units from this VM's own part, because the owner did not decide.
    [[nodiscard]] UsageVerdict acquireFallback(std::string_view organisation, double units,
                                               Instant now);

    /// @brief Decides as the owner about another VM's request.
    [[nodiscard]] UsageVerdict answer(std::string_view organisation, double units, Instant now);

    /// @brief Refunds units of a request that did not run.
    /// @param grantedAt as in the verdict that granted them
    void refund(std::string_view organisation, double units, Instant grantedAt, Instant now);

private:
    struct Entry
    {
        OrganisationLimit limit;
        UsageLimiter owned;
        bool hasOwned = false;
        UsageLimiter fallback;
        bool hasFallback = false;
        RefundPool refunds;
    };

    [[nodiscard]] UsageVerdict decide(UsageLimiter &limiter, double units, Instant now);
    UsageLimiter &owned(Entry &entry, Instant now);
    void divide(Instant now);
    [[nodiscard]] UsageLimit limitOf(const Entry &entry) const;
    [[nodiscard]] UsageLimit fallbackLimitOf(const Entry &entry) const;
    [[nodiscard]] double allowedExcess(const Entry &entry) const;
    [[nodiscard]] Duration maxRefundAge(const Entry &entry) const;

    DistributedUsageLimiterOptions m_options;
    Instant m_startedAt;
    std::map<std::string, Entry, std::less<>> m_entries;
    std::map<std::string, bool, std::less<>> m_vms;
    /// When each VM was last in the list.
    std::map<std::string, Instant, std::less<>> m_listedAt;
    size_t m_vmCount = 1;
    bool m_isLeaving = false;
};

} // namespace teaseldrift
