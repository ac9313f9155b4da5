#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/health/target_health.hpp"
#include "teaseldrift/rollout/version_split.hpp"
#include "teaseldrift/routing/fleet_definition.hpp"
#include "teaseldrift/segments/prefilled_segment_log.hpp"
#include "teaseldrift/segments/prompt_segments.hpp"
#include "teaseldrift/segments/segment_index.hpp"
#include "teaseldrift/targets/congestion_estimator.hpp"
#include "teaseldrift/targets/peer_load_tracker.hpp"
#include "teaseldrift/targets/queue_delay_estimator.hpp"
#include "teaseldrift/targets/quiet_periods.hpp"
#include "teaseldrift/targets/target_directory.hpp"
#include "teaseldrift/targets/target_speed.hpp"
#include "teaseldrift/weights/rollout_plan.hpp"

namespace teaseldrift {

/// @brief Load that a target reports about itself, from all senders.
struct TargetLoadReport
{
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint32_t slots = 0;
    /// Time that work takes at this moment, in percent of what is usual for the target; empty if
    /// the target does not report it.
    std::optional<uint32_t> workTimePercent = {};
};

/// @brief What is known about the speed of a target, for gauges and messages between VMs.
struct KnownTargetSpeed
{
    std::string_view id;
    /// See targetKeyOf().
    uint32_t targetKey = 0;
    SharedSpeed speed;
    /// When the speed last changed by more than its resolution in messages.
    Instant changedAt;
};

/// @brief Parameters of target selection. Durations named cost are terms of the cost by which
/// targets are compared.
struct TargetSelectorOptions
{
    std::string availabilityZone;
    /// Assumed prefill speed of an engine. Measurements replace it only for the targets of a
    /// service that report the time that work takes at present.
    double prefillTokensPerMs = 100.0;
    /// Cost of a target in another availability zone: latency and charged traffic. More than the
    /// import of a KV cache takes, so an import within the zone is preferred; less than a queue.
    Duration crossZoneCost = 25ms;
    /// Older load reports of a target are ignored.
    Duration loadReportMaxAge = 1s;
    /// Older in-flight load of the other VMs is ignored.
    Duration peerLoadMaxAge = 500ms;
    /// A rollout plan is ignored when the controller has not announced it again for this long;
    /// covers several announcement intervals.
    Duration rolloutPlanMaxAge = 1500ms;
    /// Time that one batch of a rollout takes: a load of weights, without the wait for running
    /// requests.
    Duration rolloutBatchTime = 1s;
    /// Time to the first event of a request besides prefill, without a queue.
    Duration firstEventTime = 60ms;
    /// Delay of a new request's first event by each running request.
    Duration costPerRunningRequest = 1ms;
    /// Delay of a new request's first event by each queued request.
    Duration costPerWaitingRequest = 40ms;
    /// Cost factor for the prefill of tokens that another target computes or has computed, since it
    /// spends the fleet's compute twice. Keeps a prefix at its preferred target until that target
    /// is well behind the others.
    double duplicatePrefillFactor = 4.0;
    /// Fraction of an engine's KV cache assumed to hold what this VM sends.
    double usableCacheFraction = 0.5;
    /// A target that refused a request is avoided for this long; doubles with each consecutive
    /// refusal.
    Duration refusalBackoff = 250ms;
    Duration maxRefusalBackoff = 1500ms;
    TargetSpeedOptions speed;
    HealthOptions health;
};

/// @brief Properties of a request that matter for the selection of a target.
struct TargetQuery
{
    std::string_view service;
    /// Empty for services that are not engines.
    std::string_view model;
    std::span<const PromptSegment> segments;
    /// Organisation that shares no KV cache with others; empty for the shared cache.
    std::string_view isolatedOrganisation;
    /// Whose KV cache the request may use, see CacheScopes.
    std::string_view cacheScope = {};
    std::span<const std::string> excluded;
    /// Targets with older weights are not selected.
    uint64_t minWeights = 0;
    /// Newest published version; targets that load it now or soon are avoided.
    uint64_t newestWeights = 0;
    /// 0 is the most urgent.
    uint32_t priority = 0;
    /// Expected run time after prefill.
    Duration expectedRun{0};
    /// Arbitrary number that spreads requests over equal targets.
    uint64_t seed = 0;
    /// Target that is selected if it may take the request, since the request has a permit for it;
    /// empty for none.
    std::string_view permitted = {};
    /// Software versions that may take the request; null for all.
    const VersionRule *versionRule = nullptr;
};

/// @brief When and where a request can be sent that no target may take now.
struct TargetAvailability
{
    Instant from;
    std::string_view target;
    /// See TargetEntry::startedAtMs.
    uint64_t startedAtMs = 0;
};

/// @brief A selected target and the instructions to send with the request.
struct TargetChoice
{
    std::string id;
    std::string address;
    /// Incarnation of the target, see TargetEntry::startedAtMs.
    uint64_t startedAtMs = 0;
    /// Expected weights version of the target; 0 for services that are not engines.
    uint64_t weights = 0;
    std::string cacheSalt;
    std::vector<PromptPrefix> prefixes;
    /// IP:port to import KV cache from; empty for no import.
    std::string importFrom;
    /// IP:port of the KV cache store to save the prompt's KV cache to; empty for none.
    std::string saveTo;
    /// Prompt tokens that the target is expected to compute.
    uint64_t prefillTokens = 0;
    /// Expected time by which load delays the first event.
    Duration expectedWait{0};
    /// Expected time to the first event by the known load alone; 0 if speeds are not measured.
    Duration firstEventByLoad{0};
    /// Set by TargetSelector::sent().
    Instant sentAt;
    /// Age of the other VMs' in-flight load; empty if it was unknown or too old.
    std::optional<Duration> loadAge;
    uint32_t priority = 0;
    /// Set by TargetSelector::sent() for the queue delay estimate.
    uint64_t ticket = 0;
    /// Set by TargetSelector::sent() if no prompt is known to be queued at the target: the time to
    /// the first event then shows the target's speed.
    std::optional<Instant> sentUnqueuedAt;
};

/// @brief Selects targets by load, health and the contents of their KV caches.
///
/// All VMs rank the targets for a prompt prefix by the same rendezvous hash, without messages. So
/// the requests of all VMs with that prefix go to the same target until its cost is well above the
/// others'.
class TargetSelector
{
public:
    explicit TargetSelector(TargetSelectorOptions options = {});

    /// @brief Sets cache capacity, slots and import speed of a service's targets.
    /// @param importTokensPerMs speed of KV cache imports; 0 if the targets cannot import
    void setService(const Service &service, double importTokensPerMs);

    /// @brief Sets the KV cache store; an empty address stands for none.
    void setCacheStore(std::string_view address, uint64_t capacityTokens);

    /// @brief Applies a change of the target directory.
    void update(const TargetEntry &target, TargetChange change, Instant now);
    void remove(std::string_view id);

    /// @brief Selects the target with the lowest cost.
    /// @return empty if no target may take the request now
    [[nodiscard]] std::optional<TargetChoice> choose(const TargetDirectory &directory,
                                                     const TargetQuery &query, Instant now) const;

    /// @brief Earliest time at which some target may take the request, regardless of
    /// TargetQuery::excluded; not after `now` if at once.
    /// @return empty if no target can be expected to take it
    [[nodiscard]] std::optional<TargetAvailability>
    availableFrom(const TargetDirectory &directory, const TargetQuery &query, Instant now) const;

    /// @brief Records that a target has asked this VM to send it nothing for some time.
    /// @param startedAtMs incarnation that was sent the request
    void startQuietPeriod(std::string_view id, uint64_t startedAtMs, Duration time, Instant now)
    {
        m_quietPeriods.start(id, startedAtMs, time, now);
    }

    /// @brief Applies to a new incarnation the quiet period that it may have stated before its
    /// registration was read.
    /// @param since time from which responses are those of the new incarnation
    void keepQuietPeriod(std::string_view id, uint64_t startedAtMs, Instant since)
    {
        m_quietPeriods.restarted(id, startedAtMs, since);
    }

    /// @brief Whether a target has asked this VM to send it nothing at present.
    [[nodiscard]] bool isQuiet(const TargetEntry &target, Instant now) const
    {
        return m_quietPeriods.isQuiet(target.id, target.startedAtMs, now);
    }

    /// @brief Records that no request may be sent to a target that names a limit before a time.
    void setPermitAvailable(std::string_view id, Instant from);
    /// @param targetKey targetKeyOf() of the target
    void setPermitAvailable(uint32_t targetKey, Instant from)
    {
        setPermitAvailable(idOf(targetKey), from);
    }

    /// @brief Id of the target with a key; empty if it is not known.
    [[nodiscard]] std::string_view idOf(uint32_t targetKey) const;

    /// @brief Records that the request was sent to the target.
    void sent(TargetChoice &choice, Instant now);

    /// @brief Records the end of prefill, shown by the first event or the complete response.
    /// @param isFirstEvent whether the first event has just arrived; a complete response shows the
    /// time of all of the work, not that to the first event
    void prefillFinished(const TargetChoice &choice, Instant now, bool isFirstEvent = false);

    /// @brief Records that the request is no longer in flight.
    /// @param wasPrefilled whether prefillFinished() was called for it
    void ended(const TargetChoice &choice, bool wasPrefilled);

    /// @brief Applies events of a target's KV cache; the KV cache store has an empty id.
    void applyCacheEvents(std::string_view id, std::span<const SegmentEvent> events);

    /// @brief Segments that responses to this VM have shown to be prefilled since the last call.
    std::vector<PrefilledSegment> takePrefilledSegments()
    {
        return std::exchange(m_prefilledSegments, {});
    }

    /// @brief Applies prefilled segments that other VMs have reported.
    void applyPrefilledSegments(std::span<const PrefilledSegment> segments);

    /// @brief Forgets the contents of a cache that has restarted or some of whose events are lost.
    void clearCache(std::string_view id);

    /// @brief Forgets the contents of all caches.
    void clearCaches();

    void reportLoad(std::string_view id, const TargetLoadReport &report, Instant now);

    /// @brief Speeds of the targets about which something was learned.
    [[nodiscard]] std::vector<KnownTargetSpeed> speeds(Instant now) const;

    /// @brief Speeds for one message to another VM: those that changed last, and some of the others
    /// in case an earlier message was lost or the receiver has restarted.
    /// @param seed arbitrary number that differs between messages
    [[nodiscard]] std::vector<KnownTargetSpeed> speedsToSend(uint64_t seed, Instant now) const;

    /// @brief Applies what another VM has learned about a target's speed.
    void applySpeed(uint32_t targetKey, const SharedSpeed &speed, Instant now);

    /// @brief Mean prefill speed learned of a service's targets, in prompt tokens per millisecond.
    /// @return empty if no target of the service reports the time that work takes at present
    [[nodiscard]] std::optional<double> meanPrefillTokensPerMs(std::string_view service) const;

    /// @brief Resets the backoff after the target has accepted a request.
    void accepted(std::string_view id, Instant now);

    /// @brief Starts the backoff after the target has refused a request.
    void refused(std::string_view id, Instant now);

    /// @brief This VM's own load on the targets.
    [[nodiscard]] InFlightLoadTable inFlightLoad() const;

    /// @brief Replaces the total load of the other VMs.
    void setPeerLoad(InFlightLoadTable load, Instant now);

    /// @brief Requests of all VMs in flight at a target, as far as known.
    [[nodiscard]] uint32_t requestsAt(std::string_view id, Instant now) const;

    /// @brief Sets the controller's plan for a model; a superseded plan is ignored.
    /// @param announcedAt when the controller last announced it
    /// @return whether it supersedes the plan known so far
    bool setRolloutPlan(const RolloutPlan &plan, Instant announcedAt);

    /// @brief Rollout plans that are not older than TargetSelectorOptions::rolloutPlanMaxAge.
    [[nodiscard]] std::vector<AnnouncedRolloutPlan> rolloutPlans(Instant now) const;

    TargetHealth &health() { return m_health; }

private:
    struct ServiceCapacity
    {
        uint64_t cacheTokens = 0;
        double importTokensPerMs = 0.0;
        uint32_t slots = 0;
    };

    struct State
    {
        std::string service;
        uint32_t targetKey = 0;
        uint32_t inFlight = 0;
        uint64_t backlogTokens = 0;
        TargetLoadReport report;
        Instant reportedAt;
        /// Own requests in flight when the load report arrived.
        uint32_t inFlightAtReport = 0;
        Instant avoidedUntil;
        /// The target names a limit, and no permit is available before this time.
        Instant permitAvailableFrom;
        uint32_t consecutiveRefusals = 0;
        SegmentIndex cache;
        QueueDelayEstimator queue;
        TargetSpeed speed;
        /// Mean of the service, shared by its targets.
        std::shared_ptr<PrefillCurve> curve;
        /// Of the service, shared by its targets.
        std::shared_ptr<CongestionEstimator> congestion;
        /// The registration ended during a store outage.
        bool isUnconfirmed = false;
    };

    struct Candidate
    {
        const TargetEntry *target = nullptr;
        const State *state = nullptr;
        uint64_t weights = 0;
        uint64_t heldTokens = 0;
        double costMs = 0.0;
    };

    /// Where the prefixes of a prompt are available under one weights version.
    struct PrefixAvailability
    {
        std::vector<PromptPrefix> prefixes;
        uint64_t sharedTokens = 0;
        /// Most tokens confirmed at one source, and that source's IP:port; empty if there is none.
        uint64_t importableTokens = 0;
        std::string importSource;
        /// Tokens confirmed in the KV cache store.
        uint64_t storedTokens = 0;
        /// The KV cache store holds all shared segments or is expected to.
        bool isStored = false;
        /// Some target is expected to be computing the prefix.
        bool isBeingPrefilled = false;

        [[nodiscard]] std::span<const PromptPrefix> shared() const;
        /// Tokens of the last segment, which no other request shares.
        [[nodiscard]] uint64_t ownTokens() const
        {
            return prefixes.empty() ? 0 : prefixes.back().tokens;
        }
    };

    struct PreferredTargets;

    [[nodiscard]] Instant availableFrom(const TargetEntry &target, Instant now) const;
    [[nodiscard]] bool mayTake(const TargetEntry &target, const TargetQuery &query,
                               Instant now) const;
    [[nodiscard]] PreferredTargets
    preferredTargetsOf(const std::vector<const TargetEntry *> &targets, const TargetQuery &query,
                       Instant now) const;
    [[nodiscard]] double rolloutCostMs(const State &state, uint64_t weights,
                                       const TargetQuery &query, Instant now) const;
    [[nodiscard]] const InFlightLoad *peerLoad(const State &state, Instant now) const;
    [[nodiscard]] double waitMs(const State &state, uint32_t priority, Instant now) const;
    [[nodiscard]] bool isQueueEmpty(const State &state, Instant now) const;
    static void observeSpeed(State &state, const TargetChoice &choice, Instant now);
    [[nodiscard]] std::shared_ptr<PrefillCurve> curveOf(const std::string &service);
    static void observeCongestion(const State &state, const TargetChoice &choice, Instant now);
    void addCongestion(const State &state, TargetChoice &choice, Instant now) const;
    [[nodiscard]] std::shared_ptr<CongestionEstimator> congestionOf(const std::string &service);
    [[nodiscard]] double msPerToken(const State &state, Instant now) const;
    [[nodiscard]] double firstEventMs(const State &state, Instant now) const;
    [[nodiscard]] double ownPrefillCostMs(const State &state, uint64_t tokens, uint64_t seed,
                                          Instant now) const;
    [[nodiscard]] double crossZoneCostMs(const TargetEntry &target) const;
    [[nodiscard]] const State *stateOf(std::string_view id) const;
    State *mutableState(std::string_view id);
    [[nodiscard]] PrefixAvailability
    prefixAvailabilityOf(const std::vector<const TargetEntry *> &targets, const TargetQuery &query,
                         uint64_t weights, Instant now) const;
    [[nodiscard]] double cacheCostMs(const PrefixAvailability &availability, uint64_t heldTokens,
                                     double importRate, double msPerToken, bool isPrimary) const;
    void addImport(TargetChoice &choice, const PrefixAvailability &availability,
                   uint64_t heldTokens) const;
    SegmentIndex *cacheOf(std::string_view id);

    TargetSelectorOptions m_options;
    TargetHealth m_health;
    std::map<std::string, ServiceCapacity, std::less<>> m_services;
    std::map<std::string, State, std::less<>> m_states;
    /// By service.
    std::map<std::string, std::shared_ptr<PrefillCurve>, std::less<>> m_curves;
    /// By service.
    std::map<std::string, std::shared_ptr<CongestionEstimator>, std::less<>> m_congestion;
    /// Some target's speed has been reported or is measured.
    bool m_knowsSpeeds = false;
    std::string m_cacheStoreAddress;
    SegmentIndex m_cacheStore;
    std::map<std::string, AnnouncedRolloutPlan, std::less<>> m_rolloutPlans;
    std::vector<PrefilledSegment> m_prefilledSegments;
    /// Target ids by targetKeyOf().
    std::map<uint32_t, std::string> m_idsByKey;
    QuietPeriods m_quietPeriods;
    InFlightLoadTable m_peerLoad;
    Instant m_peerLoadAt;
};

} // namespace teaseldrift
