#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/attempts/retry_budget.hpp"
#include "teaseldrift/base/time.hpp"
#include "teaseldrift/routing/route_table.hpp"
#include "teaseldrift/schema/vm_record.pb.h"
#include "teaseldrift/targets/target_directory.hpp"
#include "teaseldrift/targets/target_selector.hpp"
#include "teaseldrift/telemetry/event_log.hpp"
#include "teaseldrift/usage/usage_limiter.hpp"
#include "teaseldrift/weights/weight_rollout.hpp"

namespace teaseldrift::relay {

/// @brief What this VM is, and the bounds that the deployment sets.
struct FleetOptions
{
    std::string vmId;
    std::string availabilityZone;
    /// IP:port for callers.
    std::string callerAddress;
    /// IP:port for other VMs.
    std::string peerAddress;
    /// Retries that the whole fleet may make in a window for each request in it.
    double retryRatio = 0.2;
    /// Further retries of the whole fleet in a window.
    double retrySlack = 50.0;
    Duration retryWindow = 10s;
    /// Units by which all VMs together may exceed an organisation's limit for a while.
    double usageSlack = 0.0;
    /// Time from the naming of new weights after which nothing may begin on older ones.
    Duration olderWeightsGracePeriod = 6s;
    /// A VM that has just started does not know yet how many there are; it takes part as if there
    /// were at least as many as its settings name.
    size_t minVmCount = 3;
    Duration settlingTime = 3s;
};

/// @brief What this VM believes about the fleet, and when it learned it.
class FleetState
{
public:
    FleetState(FleetOptions options, telemetry::EventLog &log, Instant now);

    /// @brief Takes a configuration; an older one is ignored.
    void applyDefinition(FleetDefinition definition,
                         const std::map<std::string, double, std::less<>> &importRates,
                         Instant now);

    void applyTarget(const TargetEntry &entry, Instant now);
    void removeTarget(std::string_view id, Instant now);

    /// @brief Takes the targets of a whole read; those that are missing are removed.
    void applyAllTargets(const std::map<std::string, TargetEntry, std::less<>> &entries,
                         Instant now);

    /// @brief Takes the named weights of a model.
    /// @param age time since they were named
    void setDesiredWeights(std::string_view model, uint64_t version, Duration age, Instant now);

    /// @brief Takes all VMs that are known to the store.
    void applyVms(std::map<std::string, schema::VmRecord, std::less<>> vms, Instant now);

    void storeLost(Instant now);
    void storeRegained(Instant now);

    /// @brief Regular work: ends targets whose grace is over.
    void tick(Instant now);

    /// @brief The configuration in force; null before the first.
    [[nodiscard]] const std::shared_ptr<const RouteTable> &table() const { return m_table; }

    [[nodiscard]] const TargetDirectory &directory() const { return m_directory; }
    TargetSelector &targetSelector() { return m_targetSelector; }
    [[nodiscard]] const TargetSelector &targetSelector() const { return m_targetSelector; }
    RetryBudget &retryBudget() { return m_retryBudget; }
    WeightRollout &weightRollout() { return m_weightRollout; }

    /// @brief Whether an organisation's use is bounded.
    [[nodiscard]] bool hasLimit(std::string_view organisation) const;

    /// @brief The VM that keeps an organisation's limit; null if it is this one.
    [[nodiscard]] const schema::VmRecord *usageOwner(std::string_view organisation) const;

    /// @brief The VM of this availability zone that reads a cache for the others; null if it is
    /// this one.
    [[nodiscard]] const schema::VmRecord *cachePoller(std::string_view cache) const;

    /// @brief The VM that speaks for the others of an availability zone; null if it is this one, or
    /// if there is none.
    /// @param isExcluded VMs that cannot be asked now
    [[nodiscard]] const schema::VmRecord *
    zoneRepresentative(std::string_view availabilityZone,
                       const std::function<bool(const std::string &)> &isExcluded) const;

    /// @brief Availability zones of the other VMs, but this VM's own.
    [[nodiscard]] std::set<std::string> otherZones() const;

    /// @brief An organisation's whole limit, as this VM keeps it.
    UsageLimiter &ownedUsageLimiter(std::string_view organisation);

    /// @brief This VM's part of a limit while its keeper does not answer.
    UsageLimiter &fallbackUsageLimiter(std::string_view organisation);

    /// @brief Oldest weights of a model on which a request may begin now.
    [[nodiscard]] uint64_t minWeights(std::string_view model, Instant now) const;

    /// @brief Takes a controller's plan; one that another has replaced is ignored.
    /// @param announcedAt when the controller last stated it
    void applyRolloutPlan(const RolloutPlan &plan, Instant announcedAt);

    /// @brief The plans that are still in force, for other VMs.
    [[nodiscard]] std::vector<AnnouncedRolloutPlan> rolloutPlans(Instant now) const
    {
        return m_targetSelector.rolloutPlans(now);
    }

    /// @brief Learned from an answer.
    void updateLoadedWeights(std::string_view target, std::string_view model, uint64_t version);

    /// @brief VMs among which limits are divided now.
    [[nodiscard]] size_t vmCount() const { return std::max<size_t>(1, m_limitDivisor); }

    /// @brief Whether the other VMs have been read from the store.
    [[nodiscard]] bool hasVmList() const { return !m_vms.empty(); }

    /// @brief Place of this VM among all by name; spreads work that one of them must do.
    [[nodiscard]] size_t rank() const;

    /// @brief Addresses for callers of an availability zone: the VMs of that zone and some others,
    /// so that its loss leaves callers somewhere to go.
    [[nodiscard]] std::vector<std::string> callerAddresses(std::string_view availabilityZone) const;

    void setLeaving() { m_isLeaving = true; }
    [[nodiscard]] bool isLeaving() const { return m_isLeaving; }
    [[nodiscard]] const FleetOptions &options() const { return m_options; }

private:
    struct DesiredWeights
    {
        uint64_t version = 0;
        Instant changedAt;
    };

    void divideUsageLimits(Instant now);
    /// @param localScore rendezvous score of this VM; 0 if it does not take part
    /// @return null if this VM comes first by rendezvous hashing among those that `isCandidate`
    /// takes
    [[nodiscard]] const schema::VmRecord *
    rendezvousWinner(uint64_t key, double localScore,
                     const std::function<bool(const schema::VmRecord &)> &isCandidate) const;
    [[nodiscard]] double localScore(uint64_t key) const;
    [[nodiscard]] UsageLimit limitOf(std::string_view organisation) const;
    void logTarget(const TargetEntry &entry, TargetChange change);

    FleetOptions m_options;
    telemetry::EventLog &m_log;
    Instant m_startedAt;
    std::shared_ptr<const RouteTable> m_table;
    TargetDirectory m_directory;
    TargetSelector m_targetSelector;
    RetryBudget m_retryBudget;
    WeightRollout m_weightRollout;
    std::map<std::string, std::vector<DesiredWeights>, std::less<>> m_desiredWeights;
    std::map<std::string, UsageLimiter, std::less<>> m_ownedUsageLimiters;
    std::map<std::string, UsageLimiter, std::less<>> m_fallbackUsageLimiters;
    std::map<std::string, schema::VmRecord, std::less<>> m_vms;
    size_t m_limitDivisor = 0;
    bool m_isLeaving = false;
};

} // namespace teaseldrift::relay
