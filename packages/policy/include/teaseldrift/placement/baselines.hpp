#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/placement/prefix_index.hpp"
#include "teaseldrift/placement/routing_policy.hpp"
#include "teaseldrift/placement/target_load.hpp"

namespace teaseldrift::placement {

struct BaselineOptions
{
    /// Requests in flight per slot at which a target counts as full; by default no target is ever
    /// full, so every request is dispatched at once.
    double inFlightPerSlot = std::numeric_limits<double>::infinity();
    Duration maxReportAge = 2s;
    double prefillTokensPerSecond = 20000.0;
    PrefixIndexOptions index;
};

/// @brief Load of targets for the baseline policies: their reports, corrected by this VM's
/// attempts.
class LoadTracker
{
public:
    explicit LoadTracker(const BaselineOptions &options) : m_options(options) { }

    /// @brief Requests in flight per slot.
    double occupancy(const TargetView &target, Instant now);
    bool hasRoom(const TargetView &target, Instant now);

    void started(uint64_t attemptId, std::string_view targetId, Instant now);
    void finished(uint64_t attemptId, Instant now);

private:
    BaselineOptions m_options;
    std::unordered_map<std::string, TargetLoad, TargetIdHash, std::equal_to<>> m_loads;
    std::unordered_map<uint64_t, std::string> m_attempts;
};

/// @brief Base of the baseline policies. Tracks the load of targets and ignores cache events.
class BaselinePolicy
{
public:
    explicit BaselinePolicy(const BaselineOptions &options = {}) : m_loadTracker(options) { }

    void started(uint64_t attemptId, const RequestView &request, const TargetView &target,
                 const Choice &choice, Instant now);
    void firstToken(uint64_t attemptId, Instant now);
    void finished(uint64_t attemptId, const AttemptEnd &end, Instant now);
    void onCacheEvent(const CacheEvent &event, Instant now);

protected:
    LoadTracker &loadTracker() { return m_loadTracker; }

private:
    LoadTracker m_loadTracker;
};

/// @brief Selects the accepting targets in turn, skipping those that are full.
class RoundRobinPolicy : public BaselinePolicy
{
public:
    using BaselinePolicy::BaselinePolicy;

    Choice choose(const RequestView &request, std::span<const TargetView> targets, Instant now,
                  std::mt19937_64 &generator);

private:
    size_t m_next = 0;
};

/// @brief Selects the target with the fewest requests in flight per slot; ties are broken at
/// random.
class LeastLoadedPolicy : public BaselinePolicy
{
public:
    using BaselinePolicy::BaselinePolicy;

    Choice choose(const RequestView &request, std::span<const TargetView> targets, Instant now,
                  std::mt19937_64 &generator);
};

/// @brief Selects the owner of the prompt's first block by rendezvous hashing, or the next target
/// in rendezvous order if the owner is full.
class FirstBlockHashPolicy : public BaselinePolicy
{
public:
    using BaselinePolicy::BaselinePolicy;

    Choice choose(const RequestView &request, std::span<const TargetView> targets, Instant now,
                  std::mt19937_64 &generator);
};

/// @brief Selects the target estimated to hold the longest prefix of the chain; ties are broken by
/// load.
class LongestMatchPolicy : public BaselinePolicy
{
public:
    explicit LongestMatchPolicy(const BaselineOptions &options = {})
        : BaselinePolicy(options), m_index(options.index)
    { }

    Choice choose(const RequestView &request, std::span<const TargetView> targets, Instant now,
                  std::mt19937_64 &generator);
    void started(uint64_t attemptId, const RequestView &request, const TargetView &target,
                 const Choice &choice, Instant now);
    void onCacheEvent(const CacheEvent &event, Instant now);

private:
    uint32_t matchedBlocks(const RequestView &request, const TargetView &target, Instant now);

    PrefixIndex m_index;
};

static_assert(RoutingPolicy<RoundRobinPolicy>);
static_assert(RoutingPolicy<LeastLoadedPolicy>);
static_assert(RoutingPolicy<FirstBlockHashPolicy>);
static_assert(RoutingPolicy<LongestMatchPolicy>);

} // namespace teaseldrift::placement
