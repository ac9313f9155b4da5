#pragma once

#include <concepts>
#include <cstdint>
#include <random>
#include <span>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/placement/cache_aware_policy.hpp"
#include "teaseldrift/placement/cache_event.hpp"
#include "teaseldrift/placement/choice.hpp"
#include "teaseldrift/placement/views.hpp"

namespace teaseldrift::placement {

/// @brief Selects targets for requests, and is notified of what one VM observes of them.
template <typename Policy>
concept RoutingPolicy
        = requires(Policy &policy, const RequestView &request, std::span<const TargetView> targets,
                   const TargetView &target, const Choice &choice, const AttemptEnd &end,
                   const CacheEvent &event, uint64_t attemptId, Instant now,
                   std::mt19937_64 &generator)
{
    {
        policy.choose(request, targets, now, generator)
        } -> std::same_as<Choice>;
    {
        policy.started(attemptId, request, target, choice, now)
        } -> std::same_as<void>;
    {
        policy.firstToken(attemptId, now)
        } -> std::same_as<void>;
    {
        policy.finished(attemptId, end, now)
        } -> std::same_as<void>;
    {
        policy.onCacheEvent(event, now)
        } -> std::same_as<void>;
};

static_assert(RoutingPolicy<CacheAwarePolicy>);

} // namespace teaseldrift::placement
