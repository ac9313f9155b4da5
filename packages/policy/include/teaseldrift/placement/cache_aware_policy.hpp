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
    /// Tokens per cache block; the same as in hashing::ChainOptions.
    uint32_t blockTokens = 1024;
    /// This VM's share of the model's requests, by which its rates are scaled to the whole fleet.
    double trafficShare = 1.0;
    /// Prefill speed assumed for a target.
    double prefillTokensPerSecond = 20000.0;
    /// Additional round-trip time to a target in another availability zone.
    Duration crossZoneRoundTrip = 3ms;
    /// Requests in flight per slot at which a target counts as full.
    double inFlightPerSlot = 1.0;
    /// Additional weight of prefill time, since prefill also delays other requests.
    double prefillWeight = 1.5;
    /// Relative increase of prefillWeight and offPlacementPenalty when all slots are in use.
    double scarcityWeight = 5.0;
    /// Lower bound of the expected backlog, as a fraction of a target's mean reported backlog.
    double meanBacklogWeight = 0.5;
    /// Cost of a target whose slots are all in use; proportional to the requests in flight.
    Duration occupancyPenalty = 200ms;
    /// Utilisation of each replica by its prefix, from which the number of replicas follows.
    double replicaUtilisation = 0.7;
    uint32_t maxReplicas = 16;
    /// Cost of a target on which the prefix is not placed.
    Duration offPlacementPenalty = 200ms;
    /// Targets whose cost exceeds the lowest by at most this are tied; the less loaded of two
    /// random ones is selected.
    Duration tieTolerance = 5ms;
    /// Age from which a load report is ignored.
    Duration maxReportAge = 2s;
    /// KV cache tokens imported per second from another target; 0 disables imports.
    double importTokensPerSecond = 0.0;
    /// Fixed duration of an import.
    Duration importOverhead = 30ms;
    /// An import must take less than this fraction of the computation time that it saves.
    double maxImportCostRatio = 0.7;
    PrefixIndexOptions index;
    HotPrefixOptions hotPrefixes;
};

/// @brief How an attempt on a target ended.
struct AttemptEnd
{
    /// False if the target failed or never received the request.
    bool completed = true;
    /// Cached prompt tokens that the response reports; empty if it does not report them.
    std::optional<uint32_t> cachedTokens;
};

/// @brief Routing policy that selects targets by the expected time to first token.
///
/// It does no I/O and reads no clock: time and random numbers are passed in. An object serves one
/// model on one VM and is not thread-safe.
///
/// ```cpp
/// placement::CacheAwarePolicy policy({.availabilityZone = "perth", .trafficShare = 1.0 / 6});
/// placement::Choice choice = policy.choose(request, targets, now, generator);
/// if (choice.outcome == placement::ChoiceOutcome::Dispatch) {
///     policy.started(attemptId, request, targets[choice.target], choice, now);
/// }
/// policy.firstToken(attemptId, now);
/// policy.finished(attemptId, {.cachedTokens = usage.cachedTokens}, now);
/// ```
class CacheAwarePolicy
{
public:
    explicit CacheAwarePolicy(CacheAwareOptions options = {});
    ~CacheAwarePolicy();
    CacheAwarePolicy(CacheAwarePolicy &&) noexcept;
    CacheAwarePolicy &operator=(CacheAwarePolicy &&) noexcept;

    /// @brief Selects a target for a request. The request only counts from started() on, so this
    /// may be called repeatedly and for diagnostics.
    /// @param targets all targets that serve the model, and KV cache stores to import from
    Choice choose(const RequestView &request, std::span<const TargetView> targets, Instant now,
                  std::mt19937_64 &generator);

    /// @brief Notifies the policy that an attempt was sent to a target.
    void started(uint64_t attemptId, const RequestView &request, const TargetView &target,
                 const Choice &choice, Instant now);

    /// @brief Notifies the policy of the first token of an attempt, which ends its prefill.
    void firstToken(uint64_t attemptId, Instant now);

    /// @brief Notifies the policy that an attempt succeeded or failed. Ignores unknown attempts.
    void finished(uint64_t attemptId, const AttemptEnd &end, Instant now);

    /// @brief Applies an event of a target's cache event stream.
    void onCacheEvent(const CacheEvent &event, Instant now);

    /// @brief Discards all state of a target that has been removed.
    void forgetTarget(std::string_view targetId);

    /// @brief The hottest prefixes at this VM, to be sent to the peers every few seconds.
    std::vector<HotPrefix> hotPrefixes(Instant now) const;

    /// @brief Replaces the hot prefixes reported by a peer, so that all VMs use the same rates.
    void setPeerHotPrefixes(std::string_view peerId, std::span<const HotPrefix> peerPrefixes,
                            Instant now);

    /// @brief Merges a peer's hottest prefixes into this VM's own rates, right after start-up.
    void mergeHotPrefixes(std::span<const HotPrefix> peerPrefixes, Instant now);

    /// @brief Sets this VM's share of the model's requests, which changes with the number of VMs.
    void setTrafficShare(double share);

    size_t memoryBytes() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::placement
