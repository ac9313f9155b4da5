#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/placement/views.hpp"

namespace teaseldrift::placement {

enum class ChoiceOutcome : uint8_t {
    /// The request can be sent to the chosen target now.
    Dispatch,
    /// Every target that serves the model is full; the request stays queued.
    NoRoom,
    /// No accepting target serves the model.
    NoTarget,
};

/// @brief Basis of a choice.
enum class ChoiceReason : uint8_t {
    None,
    /// The target holds a prefix of the prompt according to the prefix index.
    CachedPrefix,
    /// The index has no block of the prompt for the target, but the prefix is placed on it by
    /// rendezvous hashing.
    PlacedPrefix,
    /// Load, without a cached or placed prefix.
    Load,
};

/// @brief Blocks to import from another target's KV cache instead of computing them.
struct ImportPlan
{
    /// Index of the source in the `targets` passed to the policy.
    size_t source = 0;
    uint64_t sourceIncarnation = 0;
    /// Range of the chain to import: [firstBlock, firstBlock + blocks).
    uint32_t firstBlock = 0;
    uint32_t blocks = 0;
};

/// @brief Result of a routing policy: the chosen target with the estimates behind the choice.
struct Choice
{
    ChoiceOutcome outcome = ChoiceOutcome::NoTarget;
    ChoiceReason reason = ChoiceReason::None;
    /// Index into the `targets` passed to the policy; valid if the outcome is Dispatch.
    size_t target = 0;
    Duration expectedWait{};
    Duration expectedPrefill{};
    Duration expectedImport{};
    /// Cheapest target, whether it is full or not.
    size_t preferred = 0;
    /// Cost of `target` beyond that of `preferred`; zero if `preferred` is not full.
    Duration regret{};
    /// Wait that each request ahead of this one adds at `preferred`.
    Duration queueDelayPerRequest{};
    /// Expected number of the chain's blocks in the target's cache.
    double expectedBlocks = 0.0;
    /// Prompt tokens that the target is expected to compute.
    uint32_t prefillTokens = 0;
    /// Number of targets that were compared and are not full.
    uint32_t considered = 0;
    /// Number of targets on which the whole chain is placed.
    uint32_t replicas = 0;
    std::optional<ImportPlan> import;
};

/// @brief Formats a choice as one line for a debug header: `outcome=... target=... reason=...`.
std::string explain(const Choice &choice, std::span<const TargetView> targets);

} // namespace teaseldrift::placement
