#include "teaseldrift/routing/route_table.hpp"

#include <algorithm>
#include <cctype>
#include <utility>

namespace teaseldrift {

namespace {

std::string lowerCaseHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return name;
}

} // namespace

RouteTable::RouteTable(FleetDefinition definition)
    : m_definition(std::move(definition)), m_cacheScopes(m_definition.organisations)
{
    for (const Route &route : m_definition.routes) {
        m_hosts[lowerCaseHost(route.host)].push_back(&route);
        for (const WeightedService &service : route.services) {
            if (service.weight == 0 || route.latencyObjective <= Duration(0)) {
                continue;
            }
            const auto known
                    = m_shortestObjectives.emplace(service.service, route.latencyObjective).first;
            known->second = std::min(known->second, route.latencyObjective);
        }
    }
    for (auto it = m_hosts.begin(); it != m_hosts.end(); ++it) {
        std::stable_sort(it->second.begin(), it->second.end(), [](const Route *a, const Route *b) {
            return a->prefix.size() > b->prefix.size();
        });
    }
    for (const Organisation &organisation : m_definition.organisations) {
        for (const std::string &key : organisation.keys) {
            m_keys.emplace(key, &organisation);
        }
    }
    for (const Service &service : m_definition.services) {
        m_services.emplace(service.name, &service);
        if (!service.cacheStoreAddress.empty()) {
            m_cacheStore = &service;
        }
    }
}

const Route *RouteTable::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = m_hosts.find(lowerCaseHost(host));
    if (found == m_hosts.end()) {
        return nullptr;
    }
    const std::string_view pathOnly = path.substr(0, path.find('?'));
    for (const Route *route : found->second) {
        if (pathOnly.starts_with(route->prefix)) {
            return route;
        }
    }
    return nullptr;
}

Duration RouteTable::shortestObjective(std::string_view service, Duration fallback) const
{
    const auto found = m_shortestObjectives.find(service);
    return found == m_shortestObjectives.end() ? fallback : found->second;
}

const Organisation *RouteTable::findOrganisation(std::string_view key) const
{
    const auto found = m_keys.find(key);
    return found == m_keys.end() ? nullptr : found->second;
}

const Service *RouteTable::findService(std::string_view name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : found->second;
}

std::string_view RouteTable::chooseService(const Route &route, uint64_t requestHash)
{
    uint64_t total = 0;
    for (const WeightedService &candidate : route.services) {
        total += candidate.weight;
    }
    if (total == 0) {
        return route.services.empty() ? std::string_view() : route.services.front().service;
    }
    uint64_t position = requestHash % total;
    for (const WeightedService &candidate : route.services) {
        if (position < candidate.weight) {
            return candidate.service;
        }
        position -= candidate.weight;
    }
    return route.services.back().service;
}

} // namespace teaseldrift
