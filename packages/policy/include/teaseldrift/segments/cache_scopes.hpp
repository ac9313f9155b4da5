#pragma once

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "teaseldrift/routing/fleet_definition.hpp"

namespace teaseldrift {

/// @brief Which organisations share KV cache, as part of the cache salt.
///
/// An isolated organisation has a scope of its own. All others share one, which is derived from
/// their names: when an organisation becomes isolated, the others get another scope, so KV cache
/// that was computed for it before is out of reach. The scopes depend on the configuration alone,
/// so a VM that has just started computes the same ones as the others.
///
/// ```cpp
/// CacheScopes scopes(definition.organisations);
/// std::string salt = cacheSalt("m", 3, scopes.of("shop"));
/// ```
class CacheScopes
{
public:
    explicit CacheScopes(std::span<const Organisation> organisations = {});

    /// @brief Scope of an organisation's requests, of bounded length.
    /// @param organisation empty for requests without one, which share KV cache; one that the
    /// configuration does not name shares none
    [[nodiscard]] std::string of(std::string_view organisation) const;

    /// @brief Whether an organisation's requests have the shared scope; see of().
    [[nodiscard]] bool isShared(std::string_view organisation) const;

    /// @brief Scope of all organisations that are not isolated.
    [[nodiscard]] const std::string &shared() const { return m_shared; }

private:
    std::set<std::string, std::less<>> m_sharing;
    std::string m_shared;
};

/// @brief Salt under which an engine caches a prompt; KV cache is found under the same salt only.
/// @param weights version of the model's weights
/// @param scope see CacheScopes
[[nodiscard]] std::string cacheSalt(std::string_view model, uint64_t weights,
                                    std::string_view scope);

} // namespace teaseldrift
