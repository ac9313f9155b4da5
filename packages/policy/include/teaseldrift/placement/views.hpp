#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/hashing/block_hash.hpp"

namespace teaseldrift::placement {

/// @brief A target's load as it reported it, with a lag.
struct LoadReport
{
    /// Requests in a slot.
    uint32_t running = 0;
    /// Requests accepted that wait for a slot.
    uint32_t queued = 0;
    /// Prompt tokens accepted and not yet computed.
    uint64_t prefillBacklogTokens = 0;
    /// When the target observed this, on the reader's time line; empty if it never reported.
    std::optional<Instant> reportedAt;
};

enum class TargetRole : uint8_t {
    Engine,
    /// Keeps KV cache for import and runs no requests.
    KvStore,
};

/// @brief One target that serves the request's model, as this VM sees it.
///
/// Views must outlive the call they are passed to.
struct TargetView
{
    std::string_view id;
    /// Changes whenever the target's cache starts empty.
    uint64_t incarnation = 0;
    std::string_view weightsVersion;
    std::string_view availabilityZone;
    LoadReport load;
    /// Requests it runs at once.
    uint32_t slots = 1;
    /// False for a target that is leaving, ejected or loading.
    bool accepting = true;
    TargetRole role = TargetRole::Engine;
};

/// @brief What placement knows of a request. Views must outlive the call they are passed to.
struct RequestView
{
    std::span<const hashing::BlockHash> chain;
    uint32_t promptTokens = 0;
    /// Output tokens allowed.
    uint32_t outputTokens = 0;
};

} // namespace teaseldrift::placement
