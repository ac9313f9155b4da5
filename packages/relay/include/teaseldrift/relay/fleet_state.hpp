#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/attempts/service_retry_budgets.hpp"
#include "teaseldrift/base/time.hpp"
#include "teaseldrift/configuration/configuration_freshness.hpp"
#include "teaseldrift/quarantine/segment_quarantine.hpp"
#include "teaseldrift/routing/route_table.hpp"
#include "teaseldrift/schema/vm_record.pb.h"
#include "teaseldrift/targets/target_directory.hpp"
#include "teaseldrift/targets/target_limits.hpp"
#include "teaseldrift/targets/target_notice.hpp"
#include "teaseldrift/targets/target_paths.hpp"
#include "teaseldrift/targets/target_selector.hpp"
#include "teaseldrift/telemetry/event_log.hpp"
#include "teaseldrift/usage/distributed_usage_limiter.hpp"
#include "teaseldrift/weights/desired_weights_history.hpp"
#include "teaseldrift/weights/weight_rollout.hpp"

namespace teaseldrift::relay {

/// @brief What is sent to targets.
enum class TargetCall { Request, CacheEvents, Report, Order };

inline constexpr std::array<std::string_view, 4> targetCallNames{"request", "cache_events",
                                                                 "report", "order"};

/// @brief Identity of this VM and the limits that the deployment configures.
struct FleetOptions
{
    std::string vmId;
    std::string availabilityZone;
    /// IP:port that callers connect to.
    std::string callerAddress;
    /// IP:port that other VMs connect to.
    std::string peerAddress;
    /// Rate of this VM's link in Mbit/s; 0 if it is not known.
    uint32_t linkMbps = 0;
    /// Retries of the whole fleet at each service.
    FleetRetryLimits retryLimits;
    /// Units by which all VMs together may exceed an organisation's usage limit within a window.
    double usageSlack = 0.0;
    /// The same as a fraction of the limit.
    double usageOverrun = 0.0;
    Duration usageWindow = 8s;
    /// Requests to a target by which all VMs together may exceed the limit that it names within
    /// `targetLimitWindow`, less one that a limit's owner grants as a burst.
    double targetLimitSlack = 4.0;
    /// The same as a fraction of the limit.
    double targetLimitOverrun = 0.5;
    Duration targetLimitWindow = 4s;
    /// Time after a change of the desired weights version during which requests may still start on
    /// older weights.
    Duration olderWeightsGracePeriod = 6s;
    /// Time after a change of the configuration from which requests must be decided by it.
    Duration configurationApplyTime = 2s;
    /// During `settlingTime` after its start, a VM may not know all others yet; it assumes at least
    /// this many VMs when it divides limits.
    size_t minVmCount = 3;
    Duration settlingTime = 3s;
    /// Targets of a service differ in speed: their speeds are measured, and all routes of a service
    /// share its queues by the shortest objective.
    bool hasUnevenTargets = false;
    /// Wall-clock time; if it is not set, all that a target stated before the registration of a new
    /// incarnation was read counts for the one before.
    std::function<int64_t()> unixMs;
    /// Difference that is allowed for between the wall clocks of targets and of this VM.
    Duration clockTolerance = 500ms;
};

/// @brief This VM's view of the fleet: configuration, targets, weights, other VMs and limits.
class FleetState
{
public:
    FleetState(FleetOptions options, telemetry::EventLog &log, Instant now);

    /// @brief Applies a configuration; one that is not newer than the present one is ignored.
    void applyDefinition(FleetDefinition definition,
                         const std::map<std::string, double, std::less<>> &importRates,
                         Instant now);

    void applyTarget(const TargetEntry &entry, Instant now);
    void removeTarget(std::string_view id, Instant now);

    /// @brief Applies what a response stated about its target.
    /// @param startedAtMs incarnation that was sent the request
    /// @param sentAt when the request was sent; empty if it is not known
    void applyNotice(std::string_view target, uint64_t startedAtMs, const TargetNotice &notice,
                     Instant now, std::optional<Instant> sentAt = std::nullopt);

    /// @brief Limits that targets name in their responses.
    [[nodiscard]] const TargetLimits &targetLimits() const { return m_targetLimits; }

    /// @brief Applies another VM's statement about a target's limit.
    void applyTargetLimit(const schema::TargetLimit &message, Instant now);

    /// @brief Requests that limited targets take from all VMs together.
    DistributedUsageLimiter &targetLimiter() { return m_targetLimiter; }

    /// @brief Services whose targets fall over if they refuse many requests (brittle targets), by
    /// brittleServiceKey(); the limits are the refusals a second that each target bears.
    [[nodiscard]] const TargetLimits &brittleServices() const { return m_brittleServices; }

    /// @brief Refusals a second that an incarnation of a target bears; empty if it is not brittle.
    ///
    /// All targets of a service count as brittle if one of them says so, since one that has just
    /// started has not answered yet.
    [[nodiscard]] std::optional<double> bearableRefusals(TargetLimitKey target) const;

    /// @brief Applies another VM's statement about the targets of a service.
    void applyBrittleService(const schema::TargetLimit &message, Instant now);

    /// @brief Decides which VM limits the requests at each brittle target. Its units mean nothing:
    /// a VM that is granted one owns the limit.
    DistributedUsageLimiter &concurrencyOwnership();

    /// @brief Whether limits that targets name have changed since `since`.
    [[nodiscard]] bool haveTargetLimitsChangedSince(Instant since) const
    {
        return m_targetLimitsChangedAt && *m_targetLimitsChangedAt > since;
    }

    /// @brief Counts a call to a target, if that target names a limit.
    void countTargetCall(std::string_view target, uint64_t startedAtMs, TargetCall call);

    /// @brief Calls to targets that named a limit at that time.
    [[nodiscard]] uint64_t limitedTargetCalls(TargetCall call) const
    {
        return m_limitedTargetCalls[static_cast<size_t>(call)];
    }

    /// @brief Number of headers of targets that were ignored or capped, see InvalidHeader.
    [[nodiscard]] uint64_t invalidTargetHeaders() const { return m_invalidTargetHeaders; }

    /// @brief Applies a snapshot of all targets; targets missing from it are removed.
    void applyAllTargets(const std::map<std::string, TargetEntry, std::less<>> &entries,
                         Instant now);

    /// @brief Sets a desired weights version of a model, or adds a source of its change time.
    /// @param age time since the desired version changed; ignored for ChangeTimeSource::Unknown
    void setDesiredWeights(std::string_view model, uint64_t version, Duration age,
                           ChangeTimeSource source, Instant now);

    /// @brief Sets which version of a model was the desired one before `version`, see
    /// DesiredWeightsHistory::setPrevious().
    void setPreviousWeights(std::string_view model, uint64_t version, uint64_t previous);

    /// @brief Changes of a model's desired weights whose time is known, oldest first.
    [[nodiscard]] std::vector<DesiredWeights> knownDesiredWeights(std::string_view model) const;

    /// @brief Time since a weights version became the desired one; 0 if it is not known.
    [[nodiscard]] Duration desiredWeightsAge(std::string_view model, uint64_t version,
                                             Instant now) const;

    /// @brief Desired weights versions that this VM or another one observed, by model.
    [[nodiscard]] std::map<std::string, std::vector<DesiredWeights>> observedDesiredWeights() const;

    /// @brief Replaces the list of VMs by the one read from the store.
    /// @param readAt when the read began
    void applyVms(std::map<std::string, schema::VmRecord, std::less<>> vms, Instant readAt,
                  Instant now);

    void storeLost(Instant now);
    void storeRegained(Instant now);

    /// @brief Handles the store's return from an older copy: targets missing from it are kept until
    /// they have had time to register again.
    void storeRestored(Instant now);

    /// @brief Periodic work: removes targets whose grace period has expired and redivides the
    /// limits.
    void tick(Instant now);

    /// @brief How recent the configuration is.
    ConfigurationFreshness &configurationFreshness() { return m_configurationFreshness; }
    [[nodiscard]] const ConfigurationFreshness &configurationFreshness() const
    {
        return m_configurationFreshness;
    }

    /// @brief The current configuration; null before the first one is applied.
    [[nodiscard]] const std::shared_ptr<const RouteTable> &table() const { return m_table; }

    [[nodiscard]] const TargetDirectory &directory() const { return m_directory; }
    TargetSelector &targetSelector() { return m_targetSelector; }
    [[nodiscard]] const TargetSelector &targetSelector() const { return m_targetSelector; }
    /// @brief Which targets this VM reaches itself.
    TargetPaths &targetPaths() { return m_targetPaths; }
    [[nodiscard]] const TargetPaths &targetPaths() const { return m_targetPaths; }
    /// @brief Budget for retries at a service; stays valid if the service is removed.
    [[nodiscard]] std::shared_ptr<RetryBudget> retryBudget(std::string_view service, Instant now)
    {
        return m_retryBudgets.budget(service, now);
    }
    WeightRollout &weightRollout() { return m_weightRollout; }

    /// @brief Segments of prompts that crash targets.
    SegmentQuarantine &quarantine() { return m_quarantine; }

    /// @brief Lifts the quarantine of a segment on behalf of an operator; all VMs learn of it.
    /// @return false if the segment is not suspected of any crash
    bool liftQuarantine(std::string_view model, uint64_t segment, Instant now);

    /// @brief Logs a record of the system in the store that cannot be parsed and is ignored.
    void logInvalidRecord(std::string_view key);

    /// @brief Usage limits of the organisations.
    DistributedUsageLimiter &usage() { return m_usage; }

    /// @brief This VM's record is in the store, see DistributedUsageLimiter::leaseRenewed().
    void leaseRenewed(Instant sentAt, Duration term, Instant now)
    {
        m_usage.leaseRenewed(sentAt, term, now);
        m_targetLimiter.leaseRenewed(sentAt, term, now);
        m_concurrencyOwnership.leaseRenewed(sentAt, term, now);
    }

    /// @brief Address of a VM for other VMs; empty if it is not known.
    [[nodiscard]] std::string peerAddress(std::string_view vmId) const;

    /// @brief Records the address of a VM that may not be in the list.
    void setPeerAddress(std::string_view vmId, std::string_view address, Instant now);

    /// @brief A VM in the list read from the store; null if it is not there.
    [[nodiscard]] const schema::VmRecord *findVm(std::string_view vmId) const;

    /// @brief The VMs in the list read from the store, by id.
    [[nodiscard]] const std::map<std::string, schema::VmRecord, std::less<>> &vms() const
    {
        return m_vms;
    }

    /// @brief The VM of this availability zone that polls a cache on behalf of the others; null if
    /// it is this one.
    [[nodiscard]] const schema::VmRecord *cachePoller(std::string_view cache) const;

    /// @brief The VM that represents an availability zone, one of those with the fastest links: it
    /// exchanges messages with all others of its zone. Null if it is this one, or if there is none.
    /// @param isExcluded returns true for VMs that cannot be queried at present
    [[nodiscard]] const schema::VmRecord *
    zoneRepresentative(std::string_view availabilityZone,
                       const std::function<bool(const std::string &)> &isExcluded) const;

    /// @brief Whether this VM is among the first `count` VMs in rendezvous order for a key.
    [[nodiscard]] bool isAmongFirst(std::string_view key, size_t count) const;

    /// @brief Whether the store has answered this VM without interruption since `since`.
    [[nodiscard]] bool isStoreConnectedSince(Instant since) const;

    /// @brief Availability zones that have VMs, except this VM's own zone.
    [[nodiscard]] std::set<std::string> otherZones() const;

    /// @brief Oldest weights version of a model on which a request may be sent to a target now.
    [[nodiscard]] uint64_t minWeights(std::string_view model, Instant now) const;

    /// @brief Latest time at which a request may begin on a version of a model's weights; empty if
    /// no newer one is known.
    [[nodiscard]] std::optional<Instant> latestStart(std::string_view model,
                                                     uint64_t version) const;

    /// @brief Applies a controller's rollout plan; a superseded one is ignored.
    /// @param announcedAt when the controller last announced it
    void applyRolloutPlan(const RolloutPlan &plan, Instant announcedAt);

    /// @brief Rollout plans that are still valid, to be forwarded to other VMs.
    [[nodiscard]] std::vector<AnnouncedRolloutPlan> rolloutPlans(Instant now) const
    {
        return m_targetSelector.rolloutPlans(now);
    }

    /// @brief Records the weights version that a target has loaded, as its response stated.
    void updateLoadedWeights(std::string_view target, std::string_view model, uint64_t version);

    /// @brief Number of VMs among which limits are currently divided.
    [[nodiscard]] size_t vmCount() const { return m_usage.vmCount(); }

    /// @brief Whether the list of VMs has been read from the store.
    [[nodiscard]] bool hasVmList() const { return !m_vms.empty(); }

    /// @brief Index of this VM in the list of VM ids; used to stagger work that only one VM has to
    /// do.
    [[nodiscard]] size_t rank() const;

    /// @brief Addresses for callers in an availability zone: its own VMs and some of other zones,
    /// so that callers can still connect if the zone fails.
    [[nodiscard]] std::vector<std::string> callerAddresses(std::string_view availabilityZone) const;

    void setLeaving(Instant now);
    [[nodiscard]] bool isLeaving() const { return m_isLeaving; }
    [[nodiscard]] const FleetOptions &options() const { return m_options; }

private:
    struct UnlistedPeer
    {
        std::string address;
        Instant knownAt;
    };

    /// Divides what the VMs share anew if their number has changed.
    void divideLimits(Instant now);
    /// @param localScore score of this VM; 0 if it is no candidate
    /// @param scoreOf score of another VM; 0 if it is no candidate
    /// @return VM with the highest score; null if it is this VM
    [[nodiscard]] const schema::VmRecord *
    highestScore(double localScore,
                 const std::function<double(const schema::VmRecord &)> &scoreOf) const;
    [[nodiscard]] double localScore(uint64_t key) const;
    void logTarget(const TargetEntry &entry, TargetChange change);
    void logQuarantine(Instant now);
    void applyLimit(std::string_view target, uint64_t startedAtMs, const TargetNotice &notice,
                    std::optional<Instant> sentAt, Instant now);
    void logLimit(std::string_view target, TargetLimitKey key, std::string_view source);
    void applyBearableRefusals(std::string_view target, const TargetNotice &notice,
                               std::optional<Instant> sentAt, Instant now);
    void brittleServiceChanged(std::string_view service, std::string_view source, Instant now);
    /// Targets or brittle services have changed.
    void updateConcurrencyOwnership(Instant now);
    /// Applies limits that have changed.
    void updateTargetLimiter(Instant now);
    void removeLimits(std::string_view target, Instant now);
    [[nodiscard]] std::optional<Instant> respondsSince(const TargetEntry &target,
                                                       Instant now) const;
    [[nodiscard]] uint64_t respondingIncarnation(std::string_view target, uint64_t startedAtMs,
                                                 Instant sentAt, Instant now) const;
    void keepStatements(const TargetEntry &target, Instant now);
    void logInvalid(std::string_view target, const std::optional<InvalidHeader> &header);

    FleetOptions m_options;
    telemetry::EventLog &m_log;
    std::shared_ptr<const RouteTable> m_table;
    ConfigurationFreshness m_configurationFreshness;
    TargetDirectory m_directory;
    TargetSelector m_targetSelector;
    TargetPaths m_targetPaths;
    ServiceRetryBudgets m_retryBudgets;
    WeightRollout m_weightRollout;
    SegmentQuarantine m_quarantine;
    TargetLimits m_targetLimits;
    DistributedUsageLimiter m_targetLimiter;
    std::optional<Instant> m_targetLimitsChangedAt;
    TargetLimits m_brittleServices;
    DistributedUsageLimiter m_concurrencyOwnership;
    bool m_isConcurrencyOutdated = false;
    std::array<uint64_t, targetCallNames.size()> m_limitedTargetCalls{};
    std::map<std::string, DesiredWeightsHistory, std::less<>> m_desiredWeights;
    DistributedUsageLimiter m_usage;
    std::map<std::string, schema::VmRecord, std::less<>> m_vms;
    /// Addresses of VMs that may not be in the list: former ones, and ones that have just joined.
    std::map<std::string, UnlistedPeer, std::less<>> m_unlistedPeers;
    size_t m_limitDivisor = 0;
    uint64_t m_invalidTargetHeaders = 0;
    bool m_isLeaving = false;
    bool m_isStoreConnected = false;
    Instant m_storeConnectedAt;
};

} // namespace teaseldrift::relay
