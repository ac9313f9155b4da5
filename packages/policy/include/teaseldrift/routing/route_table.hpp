#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "teaseldrift/routing/fleet_definition.hpp"
#include "teaseldrift/segments/cache_scopes.hpp"

namespace teaseldrift {

/// @brief Index of a FleetDefinition by host and path, API key and service name.
///
/// ```cpp
/// RouteTable table(definition);
/// const Route *route = table.findRoute("rounds.example", "/books/7");
/// ```
class RouteTable
{
public:
    explicit RouteTable(FleetDefinition definition = {});
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    /// @brief The route of the host with the longest matching path prefix; null if there is none.
    /// @param host case-insensitive; a port is ignored
    /// @param path a query string is ignored
    [[nodiscard]] const Route *findRoute(std::string_view host, std::string_view path) const;

    /// @brief The organisation that an API key belongs to; null for an unknown key.
    [[nodiscard]] const Organisation *findOrganisation(std::string_view key) const;

    [[nodiscard]] const Service *findService(std::string_view name) const;

    /// @brief Shortest latency objective among the routes that use a service.
    /// @param fallback returned if no route uses it
    [[nodiscard]] Duration shortestObjective(std::string_view service, Duration fallback) const;

    /// @brief The service that is the KV cache store; null if there is none.
    [[nodiscard]] const Service *cacheStore() const { return m_cacheStore; }

    /// @brief Which organisations share KV cache.
    [[nodiscard]] const CacheScopes &cacheScopes() const { return m_cacheScopes; }

    /// @brief Chooses the service for a request, in proportion to the weights.
    /// @param requestHash hash of the request, which decides between the services
    [[nodiscard]] static std::string_view chooseService(const Route &route, uint64_t requestHash);

    [[nodiscard]] const FleetDefinition &definition() const { return m_definition; }

private:
    FleetDefinition m_definition;
    /// Routes by host, longest prefix first.
    std::map<std::string, std::vector<const Route *>, std::less<>> m_hosts;
    std::unordered_map<std::string_view, const Organisation *> m_keys;
    std::map<std::string_view, const Service *> m_services;
    /// By service.
    std::map<std::string_view, Duration> m_shortestObjectives;
    const Service *m_cacheStore = nullptr;
    CacheScopes m_cacheScopes;
};

} // namespace teaseldrift
