#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "teaseldrift/hashing/block_hash.hpp"

namespace teaseldrift::placement {

enum class CacheEventKind : uint8_t {
    Stored,
    Removed,
    /// The target discarded its whole cache.
    Cleared,
};

/// @brief One event of a target's cache event stream.
struct CacheEvent
{
    std::string_view targetId;
    uint64_t incarnation = 0;
    /// Increases by one with each event of an incarnation.
    uint64_t sequence = 0;
    CacheEventKind kind = CacheEventKind::Stored;
    /// Hashes as computed by hashing::hashChain() or hashing::hashTokenChain().
    std::span<const hashing::BlockHash> blocks;
};

} // namespace teaseldrift::placement
