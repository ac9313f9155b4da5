#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "teaseldrift/hashing/block_hash.hpp"

namespace teaseldrift::hashing {

/// @brief What separates the caches of two prompts with equal text.
struct ChainSalt
{
    std::string_view organisation;
    std::string_view model;
    /// Empty for the model itself.
    std::string_view adapter;
};

/// @brief How a prompt is cut into blocks.
struct ChainOptions
{
    /// Tokens of one cache block of the engines.
    uint32_t blockTokens = 1024;
    /// Mean bytes of a token, from which a block's length in a text prompt follows.
    uint32_t bytesPerToken = 4;
    /// Blocks after this many are left out, which bounds the work for one prompt.
    size_t maxBlocks = 4096;
};

/// @brief Chain of block hashes of a text prompt: `H(parent, block)` for each whole block.
///
/// A rest that does not fill a block is left out, so a prompt shorter than a block has an empty
/// chain. Prompts that share their first blocks share the first hashes.
///
/// ```cpp
/// std::vector<BlockHash> chain = hashChain(
///         {.organisation = "acreage", .model = "estimator"}, prompt, {.blockTokens = 1000});
/// ```
std::vector<BlockHash> hashChain(const ChainSalt &salt, std::string_view prompt,
                                 const ChainOptions &options = {});

/// @brief Chain of block hashes of a prompt given as token ids.
std::vector<BlockHash> hashTokenChain(const ChainSalt &salt, std::span<const uint32_t> tokens,
                                      const ChainOptions &options = {});

/// @brief Tokens of a text prompt by the mean bytes of a token.
uint32_t estimateTokens(std::string_view prompt, const ChainOptions &options = {});

/// @brief Salt of one version of a model's weights.
///
/// Placement uses the chain as it is, so that a prefix keeps its targets while a version rolls
/// out. What is believed about caches is kept under versioned hashes, so that blocks of other
/// weights differ by construction.
class VersionSalt
{
public:
    VersionSalt() = default;
    explicit VersionSalt(std::string_view weightsVersion);

    /// @brief The hash of a block as computed by this version of the weights.
    BlockHash apply(const BlockHash &block) const
    {
        return {.high = block.high ^ m_mask.high, .low = block.low ^ m_mask.low};
    }

    friend bool operator==(const VersionSalt &, const VersionSalt &) = default;

private:
    BlockHash m_mask;
};

} // namespace teaseldrift::hashing
