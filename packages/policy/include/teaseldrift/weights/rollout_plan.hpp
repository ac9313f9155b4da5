#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief What the controller does about a model's newest weights, as the other VMs need to know
/// it. Targets stand by targetKeyOf().
struct RolloutPlan
{
    std::string model;
    uint64_t version = 0;
    /// Fencing token of the controller.
    uint64_t fencing = 0;
    /// Grows with each change of the plan.
    uint64_t sequence = 0;
    /// Targets that load the weights now.
    std::vector<uint32_t> loading;
    /// Targets that will, in this order.
    std::vector<uint32_t> waiting;
    /// Targets that have the weights.
    std::vector<uint32_t> loaded;
    /// How many load at once.
    size_t batchSize = 1;

    /// @brief Whether nothing that a reader needs has changed since another plan.
    [[nodiscard]] bool hasSameContent(const RolloutPlan &other) const;

    /// @brief Whether this plan replaces another one.
    [[nodiscard]] bool supersedes(const RolloutPlan &other) const;

    /// @brief Turns until a target is ordered: 0 if it loads now, empty if it is not concerned.
    [[nodiscard]] std::optional<size_t> roundsUntilLoad(uint32_t target) const;
};

/// @brief A controller's plan and when it was last stated.
struct AnnouncedRolloutPlan
{
    RolloutPlan plan;
    Instant announcedAt;
};

} // namespace teaseldrift
