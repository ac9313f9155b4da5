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
#include "teaseldrift/routing/fleet_definition.hpp"
#include "teaseldrift/segments/prefilled_segment_log.hpp"
#include "teaseldrift/segments/prompt_segments.hpp"
#include "teaseldrift/segments/segment_index.hpp"
#include "teaseldrift/targets/peer_load_tracker.hpp"
#include "teaseldrift/targets/queue_delay_estimator.hpp"
#include "teaseldrift/targets/target_directory.hpp"
#include "teaseldrift/weights/rollout_plan.hpp"

namespace teaseldrift {

/// @brief What a target says of its own load, over all its callers.
struct TargetLoadReport
{
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint32_t slots = 0;
};

/// @brief Bounds of the choice of targets.
struct TargetSelectorOptions
{
    /// This VM's availability zone.
    std::string availabilityZone;
    /// PrefixAvailability tokens that an engine reads in a millisecond, before any was measured.
    double prefillTokensPerMs = 100.0;
    /// Cost of another availability zone: its delay, and what its bytes are charged. More than an
    /// import of KV cache takes, less than a queue.
    Duration crossZoneCost = 25ms;
    /// A target's word about its load is trusted for this long.
    Duration loadReportMaxAge = 1s;
    /// What other VMs have under way at the targets is counted for this long after they told it.
    Duration peerLoadMaxAge = 500ms;
    /// A controller's plan is followed for this long after it was stated: several turns of telling.
    Duration rolloutPlanMaxAge = 1500ms;
    /// Time from one order of the controller to the next at the same place in its plan: a load of
    /// weights without what still runs.
    Duration rolloutRoundTime = 1s;
    /// Time to the first event of a request that meets no queue, beside the reading of its prompt.
    Duration firstEventTime = 60ms;
    /// Work that each running request adds to the first event of a new one.
    Duration costPerRunningRequest = 1ms;
    /// Work that each waiting request adds.
    Duration costPerWaitingRequest = 40ms;
    /// Cost of reading a prompt token that another target reads or has read, against the time that
    /// it takes: it spends the fleet's computing power a second time. Keeps a prefix at its place
    /// until that place is well behind the others.
    double duplicatePrefillFactor = 4.0;
    /// Part of an engine's KV cache counted as free for what this VM sends.
    double usableCacheFraction = 0.5;
    /// A target that refused work is avoided for this long; doubles with each refusal in a row.
    Duration refusalBackoff = 250ms;
    Duration maxRefusalBackoff = 1500ms;
    HealthOptions health;
};

/// @brief A request for which a target is sought.
struct TargetQuery
{
    std::string_view service;
    /// Empty for plain services.
    std::string_view model;
    std::span<const PromptSegment> segments;
    /// Organisation whose KV cache is kept apart; empty for the common one.
    std::string_view isolatedOrganisation;
    std::span<const std::string> excluded;
    /// Targets with older weights are passed over.
    uint64_t minWeights = 0;
    /// The newest weights named; targets that are about to load them are avoided.
    uint64_t newestWeights = 0;
    /// 0 is the most urgent.
    uint32_t priority = 0;
    /// How long the request is expected to run once its prompt is read.
    Duration expectedRun{0};
    /// Spreads equal choices; any number.
    uint64_t seed = 0;
};

/// @brief A chosen target and what to tell it.
struct TargetChoice
{
    std::string id;
    std::string address;
    /// Weights version that the target is expected to have; 0 for plain services.
    uint64_t weights = 0;
    std::string cacheSalt;
    std::vector<PromptPrefix> prefixes;
    /// IP:port from which the target shall import KV cache; empty for none.
    std::string importFrom;
    /// IP:port of the store that shall keep the parts; empty for none.
    std::string saveTo;
    /// Tokens that the target is expected to read.
    uint64_t prefillTokens = 0;
    /// Expected time in the target's queue.
    Duration expectedWait{0};
    /// Age of what other VMs said of their work; none if it did not count.
    std::optional<Duration> loadAge;
    uint32_t priority = 0;
    /// Set by TargetSelector::sent().
    uint64_t ticket = 0;
};

/// @brief Chooses targets by their load, their health and what their KV cache holds.
///
/// Every VM orders the targets for a prompt prefix in the same way without a message, so the
/// requests of all VMs for that prefix meet at the same target until it falls behind.
class TargetSelector
{
public:
    explicit TargetSelector(TargetSelectorOptions options = {});

    /// @brief Takes the facts of a service: room of its caches, link of its engines.
    /// @param importTokensPerMs KV cache that a link carries, in tokens; 0 if it cannot be imported
    void setService(const Service &service, double importTokensPerMs);

    /// @brief The store of kept KV cache, none if empty.
    void setCacheStore(std::string_view address, uint64_t capacityTokens);

    /// @brief Takes a change of the directory.
    void update(const TargetEntry &target, TargetChange change, Instant now);
    void remove(std::string_view id);

    /// @brief Chooses a target.
    /// @return empty if none may take the request now
    [[nodiscard]] std::optional<TargetChoice> choose(const TargetDirectory &directory,
                                                     const TargetQuery &query, Instant now) const;

    /// @brief The request is on its way.
    void sent(TargetChoice &choice, Instant now);

    /// @brief The target has read the prompt: its first event, or its whole answer, is here.
    void prefillFinished(const TargetChoice &choice, Instant now);

    /// @brief The request is no longer at the target.
    void ended(const TargetChoice &choice, bool wasPrefilled);

    /// @brief Takes what a target's cache, or with an empty id the kept store's, says of itself.
    void applyCacheEvents(std::string_view id, std::span<const SegmentEvent> events);

    /// @brief Parts that own answers have shown to be read since the last call.
    std::vector<PrefilledSegment> takePrefilledSegments()
    {
        return std::exchange(m_prefilledSegments, {});
    }

    /// @brief Takes the same from other VMs.
    void applyPrefilledSegments(std::span<const PrefilledSegment> segments);

    /// @brief The cache has restarted, or some of its events are lost.
    void clearCache(std::string_view id);

    void reportLoad(std::string_view id, const TargetLoadReport &report, Instant now);

    /// @brief The target takes requests.
    void accepted(std::string_view id);

    /// @brief The target did not take a request.
    void refused(std::string_view id, Instant now);

    /// @brief What this VM has under way at all targets.
    [[nodiscard]] InFlightLoadTable inFlightLoad() const;

    /// @brief Takes what all other VMs together have under way at the targets.
    void setPeerLoad(InFlightLoadTable load, Instant now);

    /// @brief Requests that all VMs together have at a target, as far as it is known.
    [[nodiscard]] uint32_t requestsAt(std::string_view id, Instant now) const;

    /// @brief Takes the controller's plan for a model; one that another has replaced is ignored.
    /// @param announcedAt when the controller last stated it
    /// @return whether it replaces the plan known so far
    bool setRolloutPlan(const RolloutPlan &plan, Instant announcedAt);

    /// @brief The plans by which targets are chosen now.
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
        /// The target's name in tables of work.
        uint32_t targetKey = 0;
        uint32_t inFlight = 0;
        uint64_t backlogTokens = 0;
        TargetLoadReport report;
        Instant reportedAt;
        /// Own requests in flight when the report came.
        uint32_t inFlightAtReport = 0;
        Instant avoidedUntil;
        uint32_t consecutiveRefusals = 0;
        SegmentIndex cache;
        QueueDelayEstimator queue;
        /// Its registration ended while the store was away.
        bool isUnconfirmed = false;
    };

    struct Candidate
    {
        const TargetEntry *target = nullptr;
        const State *state = nullptr;
        uint64_t weights = 0;
        uint64_t held = 0;
        double costMs = 0.0;
    };

    /// A prompt's prefixes under one weights version, and who holds them for sure.
    struct PrefixAvailability
    {
        std::vector<PromptPrefix> prefixes;
        uint64_t sharedTokens = 0;
        /// Most tokens that one source holds, and that source; empty if none holds any.
        uint64_t importableTokens = 0;
        std::string importSource;
        /// Tokens that the kept store holds.
        uint64_t storedTokens = 0;
        /// The kept store holds all shared parts, or will soon.
        bool isStored = false;
        /// Some target is reading the prefix now.
        bool isBeingPrefilled = false;

        [[nodiscard]] std::span<const PromptPrefix> shared() const;
    };

    struct PreferredTargets;

    [[nodiscard]] PreferredTargets
    preferredTargetsOf(const std::vector<const TargetEntry *> &targets,
                       const TargetQuery &query) const;
    [[nodiscard]] double rolloutCostMs(const State &state, uint64_t weights,
                                       const TargetQuery &query, Instant now) const;
    [[nodiscard]] const InFlightLoad *peerLoad(const State &state, Instant now) const;
    [[nodiscard]] double waitMs(const State &state, uint32_t priority, Instant now) const;
    [[nodiscard]] double crossZoneCostMs(const TargetEntry &target) const;
    static std::string cacheSaltOf(const TargetQuery &query, uint64_t weights);
    [[nodiscard]] const State *stateOf(std::string_view id) const;
    State *mutableState(std::string_view id);
    [[nodiscard]] PrefixAvailability
    prefixAvailabilityOf(const std::vector<const TargetEntry *> &targets, const TargetQuery &query,
                         uint64_t weights, Instant now) const;
    [[nodiscard]] double cacheCostMs(const PrefixAvailability &availability, uint64_t held,
                                     double importRate, bool isPrimary) const;
    void addImport(TargetChoice &choice, const PrefixAvailability &availability,
                   uint64_t held) const;
    SegmentIndex *cacheOf(std::string_view id);

    TargetSelectorOptions m_options;
    TargetHealth m_health;
    std::map<std::string, ServiceCapacity, std::less<>> m_services;
    std::map<std::string, State, std::less<>> m_states;
    std::string m_cacheStoreAddress;
    SegmentIndex m_cacheStore;
    std::map<std::string, AnnouncedRolloutPlan, std::less<>> m_rolloutPlans;
    std::vector<PrefilledSegment> m_prefilledSegments;
    /// Targets by their names in tables of work.
    std::map<uint32_t, std::string> m_idsByKey;
    InFlightLoadTable m_peerLoad;
    Instant m_peerLoadAt;
};

} // namespace teaseldrift
