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
    /// Send the request to the chosen target now.
    Dispatch,
    /// Every target that serves the model is at its bound; keep the request queued.
    NoRoom,
    /// No target serves the model now.
    NoTarget,
};

/// @brief Which source of knowledge decided.
enum class ChoiceReason : uint8_t {
    None,
    /// The target is believed to hold most of the prompt among those considered.
    CachedPrefix,
    /// Rendezvous placement of the prefix.
    PlacedPrefix,
    /// Load alone.
    Load,
};

/// @brief Blocks to import from another target instead of computing them.
struct ImportPlan
{
    /// Index of the source in the targets passed in.
    size_t source = 0;
    uint64_t sourceIncarnation = 0;
    /// Blocks of the chain to import: [firstBlock, firstBlock + blocks).
    uint32_t firstBlock = 0;
    uint32_t blocks = 0;
};

/// @brief The chosen target and why it was chosen.
struct Choice
{
    ChoiceOutcome outcome = ChoiceOutcome::NoTarget;
    ChoiceReason reason = ChoiceReason::None;
    /// Index into the targets passed in, if the outcome is Dispatch.
    size_t target = 0;
    Duration expectedWait{};
    Duration expectedPrefill{};
    Duration expectedImport{};
    /// Target that would be cheapest if each had room, and the cost beyond that of its own.
    size_t preferred = 0;
    Duration regret{};
    /// Time that one more request ahead of this one would cost at the preferred target.
    Duration queueDelayPerRequest{};
    /// Blocks expected in the target's cache.
    double expectedBlocks = 0.0;
    /// Prompt tokens that the target is expected to compute.
    uint32_t prefillTokens = 0;
    /// Targets whose cost was compared.
    uint32_t considered = 0;
    /// Replicas over which the whole prefix is spread.
    uint32_t replicas = 0;
    std::optional<ImportPlan> import;
};

/// @brief One line for a debug header: `target=... reason=... wait_ms=... prefill_tokens=...`.
std::string explain(const Choice &choice, std::span<const TargetView> targets);

} // namespace teaseldrift::placement
