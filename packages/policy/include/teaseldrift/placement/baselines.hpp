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
    /// Requests in flight per slot at which a target counts as full; unbounded sends everything on.
    double inFlightPerSlot = std::numeric_limits<double>::infinity();
    Duration maxReportAge = 2s;
    double prefillTokensPerSecond = 20000.0;
    PrefixIndexOptions index;
};

/// @brief Corrected load of targets, shared by the baselines.
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

/// @brief What the baselines have in common: they watch load and ignore cache events.
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

/// @brief Each accepting target in turn.
class RoundRobinPolicy : public BaselinePolicy
{
public:
    using BaselinePolicy::BaselinePolicy;

    Choice choose(const RequestView &request, std::span<const TargetView> targets, Instant now,
                  std::mt19937_64 &generator);

private:
    size_t m_next = 0;
};

/// @brief The target with the fewest requests per slot, ties at random.
class LeastLoadedPolicy : public BaselinePolicy
{
public:
    using BaselinePolicy::BaselinePolicy;

    Choice choose(const RequestView &request, std::span<const TargetView> targets, Instant now,
                  std::mt19937_64 &generator);
};

/// @brief The owner of the first block by rendezvous hashing; the next one if it has no room.
class FirstBlockHashPolicy : public BaselinePolicy
{
public:
    using BaselinePolicy::BaselinePolicy;

    Choice choose(const RequestView &request, std::span<const TargetView> targets, Instant now,
                  std::mt19937_64 &generator);
};

/// @brief The target that is believed to hold most of the chain; the less loaded on ties.
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
