#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief State of a rollout of a model's weights, which the controller announces to the other VMs.
/// Targets are given by targetKeyOf().
struct RolloutPlan
{
    std::string model;
    uint64_t version = 0;
    /// Fencing token of the controller.
    uint64_t fencing = 0;
    /// Incremented with each change of the plan.
    uint64_t sequence = 0;
    /// Targets that load the new weights now.
    std::vector<uint32_t> loading;
    /// Targets that will load them, in this order.
    std::vector<uint32_t> waiting;
    /// Targets that have loaded them.
    std::vector<uint32_t> loaded;
    /// Targets that load at the same time.
    size_t batchSize = 1;

    /// @brief Whether both plans are equal apart from model, fencing token and sequence number.
    [[nodiscard]] bool hasSameContent(const RolloutPlan &other) const;

    /// @brief Whether this plan is newer: by fencing token, then by sequence number.
    [[nodiscard]] bool supersedes(const RolloutPlan &other) const;

    /// @brief Batches until a target loads: 0 if it loads now, empty if the plan does not list it
    /// as loading or waiting.
    [[nodiscard]] std::optional<size_t> batchesUntilLoad(uint32_t target) const;
};

/// @brief A rollout plan and the time at which the controller last announced it.
struct AnnouncedRolloutPlan
{
    RolloutPlan plan;
    Instant announcedAt;
};

} // namespace teaseldrift
