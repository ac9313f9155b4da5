#include "teaseldrift/hashing/block_chain.hpp"

#include <algorithm>
#include <array>
#include <cstring>
#include <string>

#include <xxhash.h>

namespace teaseldrift::hashing {

namespace {

/// Part of the hash input, so that chains of different kinds share no hash.
enum class ChainKind : uint8_t { Text = 1, Tokens = 2, Version = 3 };

BlockHash digest(std::string_view bytes)
{
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    return {.high = hash.high64, .low = hash.low64};
}

/// Puts the length before the field, so that adjacent fields are unambiguous.
void appendField(std::string &bytes, std::string_view field)
{
    const uint64_t length = field.size();
    bytes.append(reinterpret_cast<const char *>(&length), sizeof(length));
    bytes.append(field);
}

BlockHash rootOf(ChainKind kind, const ChainSalt &salt)
{
    std::string bytes(1, static_cast<char>(kind));
    appendField(bytes, salt.organisation);
    appendField(bytes, salt.model);
    appendField(bytes, salt.adapter);
    return digest(bytes);
}

BlockHash combine(const BlockHash &parent, const BlockHash &block)
{
    const std::array<uint64_t, 4> words{parent.high, parent.low, block.high, block.low};
    return digest({reinterpret_cast<const char *>(words.data()), sizeof(words)});
}

std::vector<BlockHash> hashBlocks(BlockHash parent, std::string_view bytes, size_t blockBytes,
                                  size_t maxBlocks)
{
    const size_t wholeBlocks = blockBytes == 0 ? 0 : bytes.size() / blockBytes;
    std::vector<BlockHash> chain;
    chain.reserve(std::min(wholeBlocks, maxBlocks));
    while (chain.size() < std::min(wholeBlocks, maxBlocks)) {
        parent = combine(parent, digest(bytes.substr(chain.size() * blockBytes, blockBytes)));
        chain.push_back(parent);
    }
    return chain;
}

} // namespace

std::vector<BlockHash> hashChain(const ChainSalt &salt, std::string_view prompt,
                                 const ChainOptions &options)
{
    const size_t blockBytes = size_t{options.blockTokens} * options.bytesPerToken;
    return hashBlocks(rootOf(ChainKind::Text, salt), prompt, blockBytes, options.maxBlocks);
}

std::vector<BlockHash> hashTokenChain(const ChainSalt &salt, std::span<const uint32_t> tokens,
                                      const ChainOptions &options)
{
    const std::string_view bytes(reinterpret_cast<const char *>(tokens.data()),
                                 tokens.size_bytes());
    const size_t blockBytes = size_t{options.blockTokens} * sizeof(uint32_t);
    return hashBlocks(rootOf(ChainKind::Tokens, salt), bytes, blockBytes, options.maxBlocks);
}

uint32_t estimateTokens(std::string_view prompt, const ChainOptions &options)
{
    const size_t bytesPerToken = std::max<size_t>(1, options.bytesPerToken);
    return static_cast<uint32_t>((prompt.size() + bytesPerToken - 1) / bytesPerToken);
}

VersionSalt::VersionSalt(std::string_view weightsVersion)
{
    std::string bytes(1, static_cast<char>(ChainKind::Version));
    appendField(bytes, weightsVersion);
    m_mask = digest(bytes);
}

} // namespace teaseldrift::hashing
