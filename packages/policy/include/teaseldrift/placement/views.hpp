#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/hashing/block_hash.hpp"

namespace teaseldrift::placement {

/// @brief Load reported by a target, with a delay.
struct LoadReport
{
    /// Requests that occupy a slot.
    uint32_t running = 0;
    /// Accepted requests that wait for a slot.
    uint32_t queued = 0;
    /// Prompt tokens accepted and not yet computed.
    uint64_t prefillBacklogTokens = 0;
    /// When the target measured this, by the reader's clock; empty if it has never reported.
    std::optional<Instant> reportedAt;
};

enum class TargetRole : uint8_t {
    Engine,
    /// Holds KV cache for imports and runs no requests.
    KvStore,
};

/// @brief State of one target that serves the request's model, as known to this VM.
///
/// The referenced strings must outlive the call that the view is passed to.
struct TargetView
{
    std::string_view id;
    /// Changes whenever the target restarts with an empty cache.
    uint64_t incarnation = 0;
    std::string_view weightsVersion;
    std::string_view availabilityZone;
    LoadReport load;
    /// Number of requests that the target runs concurrently.
    uint32_t slots = 1;
    /// False while the target is leaving, ejected or loading.
    bool accepting = true;
    TargetRole role = TargetRole::Engine;
};

/// @brief Properties of a request that placement uses. The chain must outlive the call that the
/// view is passed to.
struct RequestView
{
    std::span<const hashing::BlockHash> chain;
    uint32_t promptTokens = 0;
    /// Maximum number of output tokens.
    uint32_t outputTokens = 0;
};

} // namespace teaseldrift::placement
