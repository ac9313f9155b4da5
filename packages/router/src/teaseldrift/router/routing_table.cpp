#include "teaseldrift/router/routing_table.hpp"

#include <functional>
#include <map>
#include <string>

namespace teaseldrift::router {

namespace {

template <typename Value>
using ByName = std::map<std::string, Value, std::less<>>;

using Targets = std::vector<const schema::Target *>;

template <typename Value>
const Value *find(const ByName<const Value *> &index, std::string_view name)
{
    const auto found = index.find(name);
    return found == index.end() ? nullptr : found->second;
}

const Targets &findTargets(const ByName<Targets> &index, std::string_view name)
{
    static const Targets none;
    const auto found = index.find(name);
    return found == index.end() ? none : found->second;
}

/// A prefix ends at a path segment: "/a" covers "/a" and "/a/b" but not "/ab".
bool covers(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
}

} // namespace

struct RoutingTable::Native
{
    schema::Configuration configuration;
    uint64_t revision = 0;
    ByName<const schema::Model *> models;
    ByName<const schema::Organisation *> organisations;
    ByName<Targets> engines;
    ByName<Targets> services;

    void indexTarget(const schema::Target &target);
};

void RoutingTable::Native::indexTarget(const schema::Target &target)
{
    if (target.kind() == schema::PLAIN_SERVICE) {
        services[target.service()].push_back(&target);
        return;
    }
    if (target.kind() != schema::ENGINE) {
        return;
    }
    for (const std::string &model : target.models()) {
        engines[model].push_back(&target);
    }
}

RoutingTable::RoutingTable(schema::Configuration configuration, uint64_t revision)
    : m_native(std::make_unique<Native>())
{
    m_native->configuration = std::move(configuration);
    m_native->revision = revision;
    for (const schema::Model &model : m_native->configuration.fleet().models()) {
        m_native->models[model.name()] = &model;
    }
    for (const schema::Organisation &organisation : m_native->configuration.organisations()) {
        m_native->organisations[organisation.name()] = &organisation;
    }
    for (const schema::Target &target : m_native->configuration.targets()) {
        m_native->indexTarget(target);
    }
}

RoutingTable::~RoutingTable() = default;

const schema::Configuration &RoutingTable::configuration() const
{
    return m_native->configuration;
}

uint64_t RoutingTable::revision() const
{
    return m_native->revision;
}

const schema::Model *RoutingTable::findModel(std::string_view name) const
{
    return find(m_native->models, name);
}

const schema::Route *RoutingTable::findRoute(std::string_view path) const
{
    const schema::Route *longest = nullptr;
    for (const schema::Route &route : m_native->configuration.fleet().routes()) {
        const bool longer
                = longest == nullptr || route.path_prefix().size() > longest->path_prefix().size();
        if (longer && covers(route.path_prefix(), path)) {
            longest = &route;
        }
    }
    return longest;
}

const schema::Organisation *RoutingTable::findOrganisation(std::string_view name) const
{
    return find(m_native->organisations, name);
}

const std::vector<const schema::Target *> &RoutingTable::enginesOf(std::string_view model) const
{
    return findTargets(m_native->engines, model);
}

const std::vector<const schema::Target *> &RoutingTable::targetsOf(std::string_view service) const
{
    return findTargets(m_native->services, service);
}

} // namespace teaseldrift::router
