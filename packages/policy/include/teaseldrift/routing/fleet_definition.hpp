#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief What may be done with a request more than once.
enum class RouteKind {
    Idempotent,
    NonIdempotent,
    /// A stream that must not be repeated once a target may have begun it.
    Stream,
    /// A stream that another target can continue after the last event delivered.
    ResumableStream,
};

/// @brief A service of a route with its part of the requests.
struct WeightedService
{
    std::string service;
    uint32_t weight = 1;
};

/// @brief Where requests of a host and path prefix go, and within which bounds.
struct Route
{
    std::string name;
    std::string host;
    std::string prefix;
    RouteKind kind = RouteKind::NonIdempotent;
    std::vector<WeightedService> services;
    /// Longest time that a caller is kept waiting.
    Duration timeout = 30s;
    /// Time within which an answer, or the first event of a stream, is on time.
    Duration latencyObjective = 1s;
    /// 0 is the most urgent.
    uint32_t priority = 0;
    /// Targets that may run one request.
    uint32_t maxAttempts = 1;
    /// Needs no key.
    bool allowsAnonymous = false;
};

/// @brief A set of like targets.
struct Service
{
    std::string name;
    std::string healthPath;
    /// IP:port of a store of kept KV cache; empty for a service with targets.
    std::string cacheStoreAddress;
    std::string cacheStoreZone;
    /// Tokens of KV cache that a target, or the store, has room for; 0 for plain services.
    uint64_t cacheTokens = 0;
    uint32_t slots = 0;
};

/// @brief An organisation with its keys and its rate.
struct Organisation
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<uint32_t> priority;
    /// Shares no KV cache with other organisations.
    bool isIsolated = false;
    /// Rate and burst count tokens; otherwise requests.
    bool countsTokens = false;
    /// Tokens of a request that states none.
    uint64_t defaultRequestTokens = 1;
    /// 0 for no limit.
    double unitsPerSecond = 0.0;
    double burst = 0.0;
};

/// @brief What callers may send.
struct CallerLimits
{
    size_t maxHeaderBytes = 16384;
    size_t maxBodyBytes = 4U << 20U;
    Duration headerTimeout = 3s;
    Duration idleTimeout = 15s;
};

/// @brief One version of the operators' configuration, whole.
struct FleetDefinition
{
    uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Organisation> organisations;
    CallerLimits limits;
};

} // namespace teaseldrift
