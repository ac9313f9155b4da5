#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "teaseldrift/hashing/block_hash.hpp"

namespace teaseldrift::placement {

enum class CacheEventKind : uint8_t {
    Stored,
    Removed,
    /// The target dropped its whole cache.
    Cleared,
};

/// @brief One entry of a target's cache event stream.
struct CacheEvent
{
    std::string_view targetId;
    uint64_t incarnation = 0;
    /// Grows by one with each entry of an incarnation's stream.
    uint64_t sequence = 0;
    CacheEventKind kind = CacheEventKind::Stored;
    /// Blocks as hashed by hashing::hashChain or hashing::hashTokenChain.
    std::span<const hashing::BlockHash> blocks;
};

} // namespace teaseldrift::placement
