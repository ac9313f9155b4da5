#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "teaseldrift/schema/configuration.pb.h"

namespace teaseldrift::router {

/// @brief Immutable configuration with indexes for the request path.
class RoutingTable
{
public:
    /// @param revision store revision of `configuration`
    RoutingTable(schema::Configuration configuration, uint64_t revision);
    ~RoutingTable();
    RoutingTable(const RoutingTable &) = delete;
    RoutingTable &operator=(const RoutingTable &) = delete;

    [[nodiscard]] const schema::Configuration &configuration() const;
    [[nodiscard]] uint64_t revision() const;

    /// @return the model, or nullptr if it is not configured
    [[nodiscard]] const schema::Model *findModel(std::string_view name) const;

    /// @return the route with the longest path prefix that matches `path`, or nullptr
    [[nodiscard]] const schema::Route *findRoute(std::string_view path) const;

    /// @return the organisation, or nullptr if it is not configured
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
