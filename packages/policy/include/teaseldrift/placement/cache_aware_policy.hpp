#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/placement/cache_event.hpp"
#include "teaseldrift/placement/choice.hpp"
#include "teaseldrift/placement/fleet_rates.hpp"
#include "teaseldrift/placement/hot_prefix_sketch.hpp"
#include "teaseldrift/placement/prefix_index.hpp"
#include "teaseldrift/placement/views.hpp"

namespace teaseldrift::placement {

struct CacheAwareOptions
{
    /// This VM's availability zone; empty for no preference.
    std::string availabilityZone;
    /// Tokens of a cache block; the same as in hashing::ChainOptions.
    uint32_t blockTokens = 1024;
    /// This VM's part of the model's requests, from which fleet-wide rates follow.
    double trafficShare = 1.0;
    /// Prompt tokens a target computes in a second while nothing else is known.
    double prefillTokensPerSecond = 20000.0;
    /// Round trip to a target in another availability zone beyond that to one in this zone.
    Duration crossZoneRoundTrip = 3ms;
    /// Requests in flight per slot at which a target counts as full.
    double inFlightPerSlot = 1.0;
    /// Weight of prompt computation beyond this request's own time, since it delays others.
    double prefillWeight = 1.5;
    /// Growth of that weight, and of the penalty below, when all slots are taken.
    double scarcityWeight = 5.0;
    /// Part of a target's mean reported backlog that is expected whatever its last report says.
    double meanBacklogWeight = 0.5;
    /// Cost of a target whose slots are all taken, in proportion below that.
    Duration occupancyPenalty = 200ms;
    /// Replicas of a prefix are chosen so that this part of each is used by it.
    double replicaUtilisation = 0.7;
    uint32_t maxReplicas = 16;
    /// Cost of a target outside the prefix's placement.
    Duration offPlacementPenalty = 200ms;
    /// Costs closer than this count as equal and are decided between two at random.
    Duration tieTolerance = 5ms;
    /// Load reports older than this count as stale.
    Duration maxReportAge = 2s;
    /// KV cache tokens imported in a second from a peer or a store; 0 turns imports off.
    double importTokensPerSecond = 0.0;
    /// Fixed time of one import.
    Duration importOverhead = 30ms;
    /// An import has to take less than this part of the computation that it saves.
    double maxImportCostRatio = 0.7;
    PrefixIndexOptions index;
    HotPrefixOptions hotPrefixes;
};

/// @brief How an attempt on a target ended.
struct AttemptEnd
{
    /// The target did the work; false if it failed or never got the request.
    bool completed = true;
    /// Cached prompt tokens that the answer reports; empty if it reports none.
    std::optional<uint32_t> cachedTokens;
};

/// @brief Chooses a target for each request of one model by the expected time to first token.
///
/// Pure: time and random numbers are passed in. One object serves one model on one VM; it is not
/// safe for use by two threads at once.
///
/// ```cpp
/// placement::CacheAwarePolicy chooser({.availabilityZone = "perth", .trafficShare = 1.0 / 6});
/// placement::Choice choice = chooser.choose(request, targets, now, generator);
/// if (choice.outcome == placement::ChoiceOutcome::Dispatch) {
///     chooser.started(attemptId, request, targets[choice.target], choice, now);
/// }
/// chooser.firstToken(attemptId, now);
/// chooser.finished(attemptId, {.cachedTokens = usage.cachedTokens}, now);
/// ```
class CacheAwarePolicy
{
public:
    explicit CacheAwarePolicy(CacheAwareOptions options = {});
    ~CacheAwarePolicy();
    CacheAwarePolicy(CacheAwarePolicy &&) noexcept;
    CacheAwarePolicy &operator=(CacheAwarePolicy &&) noexcept;

    /// @brief The target for a request. Changes no belief, so it may be asked again or for show.
    /// @param targets all targets that serve the model, with stores to import from
    Choice choose(const RequestView &request, std::span<const TargetView> targets, Instant now,
                  std::mt19937_64 &generator);

    /// @brief An attempt was sent to a target.
    void started(uint64_t attemptId, const RequestView &request, const TargetView &target,
                 const Choice &choice, Instant now);

    /// @brief The first token of an attempt arrived: its prompt is computed.
    void firstToken(uint64_t attemptId, Instant now);

    /// @brief An attempt ended in any way. Unknown attempts are ignored.
    void finished(uint64_t attemptId, const AttemptEnd &end, Instant now);

    /// @brief An entry of a target's cache event stream arrived.
    void onCacheEvent(const CacheEvent &event, Instant now);

    /// @brief Drops everything known of a target that has left.
    void forgetTarget(std::string_view targetId);

    /// @brief The hottest prefixes, to be sent to the peers every few seconds.
    std::vector<HotPrefix> hotPrefixes(Instant now) const;

    /// @brief Replaces a peer's table of hot prefixes, so that all VMs see the same rates.
    void setPeerHotPrefixes(std::string_view peerId, std::span<const HotPrefix> peerPrefixes,
                            Instant now);

    /// @brief Takes a peer's hottest prefixes for this VM's own, right after its start.
    void mergeHotPrefixes(std::span<const HotPrefix> peerPrefixes, Instant now);

    /// @brief Changes this VM's part of the model's requests, as VMs come and go.
    void setTrafficShare(double share);

    size_t memoryBytes() const;

private:
    struct Native;
    std::unique_ptr<Native> m_native;
};

} // namespace teaseldrift::placement
