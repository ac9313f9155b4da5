#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace teaseldrift::hashing {

/// @brief Identifies a prompt block together with all blocks before it.
struct BlockHash
{
    uint64_t high = 0;
    uint64_t low = 0;

    friend constexpr auto operator<=>(const BlockHash &, const BlockHash &) = default;
};

} // namespace teaseldrift::hashing

/// @brief Uses half of a block hash, since block hashes are uniformly distributed.
template <>
struct std::hash<teaseldrift::hashing::BlockHash>
{
    size_t operator()(const teaseldrift::hashing::BlockHash &block) const noexcept
    {
        return block.low;
    }
};
