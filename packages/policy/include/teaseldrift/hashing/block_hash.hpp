#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace teaseldrift::hashing {

/// @brief Identity of a prompt block together with everything in front of it.
struct BlockHash
{
    uint64_t high = 0;
    uint64_t low = 0;

    friend constexpr auto operator<=>(const BlockHash &, const BlockHash &) = default;
};

} // namespace teaseldrift::hashing

/// @brief Block hashes are uniform already, so half of one serves as its hash.
template <>
struct std::hash<teaseldrift::hashing::BlockHash>
{
    size_t operator()(const teaseldrift::hashing::BlockHash &block) const noexcept
    {
        return block.low;
    }
};
