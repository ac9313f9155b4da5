#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief Whether and how a request of a route may be retried.
enum class RouteKind {
    Idempotent,
    NonIdempotent,
    /// A stream that must not be retried once a target may have started it.
    Stream,
    /// A stream that another target can continue after the last delivered event.
    ResumableStream,
};

/// @brief A service of a route and its weight in the division of requests.
struct WeightedService
{
    std::string service;
    uint32_t weight = 1;
};

/// @brief Services, timeouts and limits for requests of a host and path prefix.
struct Route
{
    std::string name;
    std::string host;
    std::string prefix;
    RouteKind kind = RouteKind::NonIdempotent;
    std::vector<WeightedService> services;
    /// Maximum time that a caller waits.
    Duration timeout = 30s;
    /// Latency up to which a response, or the first event of a stream, counts as on time.
    Duration latencyObjective = 1s;
    /// 0 is the most urgent.
    uint32_t priority = 0;
    /// Maximum number of attempts per request.
    uint32_t maxAttempts = 1;
    /// Requests need no API key.
    bool allowsAnonymous = false;
};

/// @brief A group of equivalent targets, or the KV cache store.
struct Service
{
    std::string name;
    std::string healthPath;
    /// IP:port of a KV cache store; empty for a service with targets.
    std::string cacheStoreAddress;
    /// Availability zone of the KV cache store.
    std::string cacheStoreZone;
    /// KV cache capacity of each target, or of the KV cache store, in tokens; 0 for plain services.
    uint64_t cacheTokens = 0;
    /// Requests that a target processes concurrently.
    uint32_t slots = 0;
};

/// @brief An organisation with its API keys and its rate limit.
struct Organisation
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<uint32_t> priority;
    /// Shares no KV cache with other organisations.
    bool isIsolated = false;
    /// Rate and burst are in tokens, otherwise in requests.
    bool countsTokens = false;
    /// Token cost of a request that does not state its own.
    uint64_t defaultRequestTokens = 1;
    /// Rate limit; 0 for none.
    double unitsPerSecond = 0.0;
    double burst = 0.0;
};

/// @brief Limits on what callers send.
struct CallerLimits
{
    size_t maxHeaderBytes = 16384;
    size_t maxBodyBytes = 4U << 20U;
    Duration headerTimeout = 3s;
    Duration idleTimeout = 15s;
};

/// @brief A complete version of the operators' configuration.
struct FleetDefinition
{
    uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Organisation> organisations;
    CallerLimits limits;
};

} // namespace teaseldrift
