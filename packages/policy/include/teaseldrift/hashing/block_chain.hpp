#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "teaseldrift/hashing/block_hash.hpp"

namespace teaseldrift::hashing {

/// @brief Properties that separate the cached blocks of prompts with equal text.
struct ChainSalt
{
    std::string_view organisation;
    std::string_view model;
    /// Empty for the model without an adapter.
    std::string_view adapter;
};

/// @brief How a prompt is split into blocks.
struct ChainOptions
{
    /// Tokens per cache block of the engines.
    uint32_t blockTokens = 1024;
    /// Mean bytes per token, which determines the length of a block in a text prompt.
    uint32_t bytesPerToken = 4;
    /// Maximum number of blocks hashed, which bounds the work per prompt.
    size_t maxBlocks = 4096;
};

/// @brief Chain of block hashes of a text prompt: `H(parent, block)` for each whole block.
///
/// A partial last block is ignored, so a prompt shorter than a block has an empty chain. Prompts
/// that share their first blocks share the first hashes.
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

/// @brief Estimated number of tokens of a text prompt, from the mean bytes per token.
uint32_t estimateTokens(std::string_view prompt, const ChainOptions &options = {});

/// @brief Salt of one version of a model's weights.
///
/// Placement uses unsalted hashes, so that a prefix keeps its targets during a rollout of new
/// weights. The prefix index uses salted ones, so that blocks computed by different weights never
/// match.
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
