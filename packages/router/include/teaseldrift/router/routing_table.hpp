#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "teaseldrift/schema/configuration.pb.h"

namespace teaseldrift::router {

/// @brief The configuration, indexed for the request path. Never changes once built.
class RoutingTable
{
public:
    /// @param revision the store's revision that `configuration` reflects
    RoutingTable(schema::Configuration configuration, uint64_t revision);
    ~RoutingTable();
    RoutingTable(const RoutingTable &) = delete;
    RoutingTable &operator=(const RoutingTable &) = delete;

    [[nodiscard]] const schema::Configuration &configuration() const;
    [[nodiscard]] uint64_t revision() const;

    /// @return the model, nullptr if there is none of that name
    [[nodiscard]] const schema::Model *findModel(std::string_view name) const;

    /// @return the route with the longest prefix of `path`, nullptr if none matches
    [[nodiscard]] const schema::Route *findRoute(std::string_view path) const;

    /// @return the organisation, nullptr if there is none of that name
    [[nodiscard]] const schema::Organisation *findOrganisation(std::string_view name) const;

    /// @return the engines configured for a model
    [[nodiscard]] const std::vector<const schema::Target *> &
    enginesOf(std::string_view model) const;

    /// @return the targets of a plain service
    [[nodiscard]] const std::vector<const schema::Target *> &
    targetsOf(std::string_view service) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::router
