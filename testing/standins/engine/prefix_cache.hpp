#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace teaseldrift::standins {

/// Characters that the stand-in counts as one token.
inline constexpr size_t charactersPerToken = 4;

/// @brief The number of tokens that the stand-in counts in a text.
uint32_t countTokens(std::string_view text);

/// @brief Hashes of the full blocks of a prompt, each over the block and the preceding hash.
/// @param salt separates the blocks of different organisations and weights
std::vector<uint64_t> blockChain(std::string_view prompt, std::string_view salt,
                                 uint32_t blockTokens);

/// @brief Changes that one prompt made to the cache.
struct CacheChange
{
    /// Number of leading blocks that were already cached.
    size_t hits = 0;
    std::vector<uint64_t> removed;
};

/// @brief Prefix cache with a limited number of blocks and LRU eviction.
class PrefixCache
{
public:
    explicit PrefixCache(size_t capacity) : m_capacity(capacity) { }

    /// @brief Marks the blocks of a prompt as used, stores the missing ones and evicts beyond
    /// capacity.
    CacheChange use(std::span<const uint64_t> chain);

    /// @brief Removes all blocks.
    void clear();

    [[nodiscard]] size_t size() const { return m_blocks.size(); }

private:
    size_t m_capacity;
    /// Most recently used first.
    std::list<uint64_t> m_order;
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_blocks;
};

} // namespace teaseldrift::standins
