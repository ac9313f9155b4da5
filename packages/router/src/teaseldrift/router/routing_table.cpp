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

/// A prefix matches whole path segments: "/a" matches "/a" and "/a/b" but not "/ab".
bool matchesPrefix(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
}

} // namespace

struct RoutingTable::Impl
{
    schema::Configuration configuration;
    uint64_t revision = 0;
    ByName<const schema::Model *> models;
    ByName<const schema::Organisation *> organisations;
    ByName<Targets> engines;
    ByName<Targets> services;

    void indexTarget(const schema::Target &target);
};

void RoutingTable::Impl::indexTarget(const schema::Target &target)
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
    : m_impl(std::make_unique<Impl>())
{
    m_impl->configuration = std::move(configuration);
    m_impl->revision = revision;
    for (const schema::Model &model : m_impl->configuration.fleet().models()) {
        m_impl->models[model.name()] = &model;
    }
    for (const schema::Organisation &organisation : m_impl->configuration.organisations()) {
        m_impl->organisations[organisation.name()] = &organisation;
    }
    for (const schema::Target &target : m_impl->configuration.targets()) {
        m_impl->indexTarget(target);
    }
}

RoutingTable::~RoutingTable() = default;

const schema::Configuration &RoutingTable::configuration() const
{
    return m_impl->configuration;
}

uint64_t RoutingTable::revision() const
{
    return m_impl->revision;
}

const schema::Model *RoutingTable::findModel(std::string_view name) const
{
    return find(m_impl->models, name);
}

const schema::Route *RoutingTable::findRoute(std::string_view path) const
{
    const schema::Route *longest = nullptr;
    for (const schema::Route &route : m_impl->configuration.fleet().routes()) {
        const bool longer
                = longest == nullptr || route.path_prefix().size() > longest->path_prefix().size();
        if (longer && matchesPrefix(route.path_prefix(), path)) {
            longest = &route;
        }
    }
    return longest;
}

const schema::Organisation *RoutingTable::findOrganisation(std::string_view name) const
{
    return find(m_impl->organisations, name);
}

const std::vector<const schema::Target *> &RoutingTable::enginesOf(std::string_view model) const
{
    return findTargets(m_impl->engines, model);
}

const std::vector<const schema::Target *> &RoutingTable::targetsOf(std::string_view service) const
{
    return findTargets(m_impl->services, service);
}

} // namespace teaseldrift::router
