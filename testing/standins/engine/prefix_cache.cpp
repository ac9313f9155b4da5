#include "standins/engine/prefix_cache.hpp"

#include <xxhash.h>

namespace teaseldrift::standins {

uint32_t countTokens(std::string_view text)
{
    return static_cast<uint32_t>((text.size() + charactersPerToken - 1) / charactersPerToken);
}

std::vector<uint64_t> blockChain(std::string_view prompt, std::string_view salt,
                                 uint32_t blockTokens)
{
    const size_t blockSize = blockTokens * charactersPerToken;
    std::vector<uint64_t> chain;
    uint64_t parent = XXH3_64bits(salt.data(), salt.size());
    for (size_t begin = 0; begin + blockSize <= prompt.size(); begin += blockSize) {
        parent = XXH3_64bits_withSeed(prompt.data() + begin, blockSize, parent);
        chain.push_back(parent);
    }
    return chain;
}

CacheChange PrefixCache::use(std::span<const uint64_t> chain)
{
    CacheChange change;
    while (change.hits < chain.size() && m_blocks.contains(chain[change.hits])) {
        ++change.hits;
    }
    // Touched from the last block to the first, so that blocks are evicted before their parents.
    for (auto it = chain.rbegin(); it != chain.rend(); ++it) {
        const auto found = m_blocks.find(*it);
        if (found != m_blocks.end()) {
            m_order.splice(m_order.begin(), m_order, found->second);
            continue;
        }
        m_order.push_front(*it);
        m_blocks[*it] = m_order.begin();
    }
    while (m_blocks.size() > m_capacity) {
        change.removed.push_back(m_order.back());
        m_blocks.erase(m_order.back());
        m_order.pop_back();
    }
    return change;
}

void PrefixCache::clear()
{
    m_blocks.clear();
    m_order.clear();
}

} // namespace teaseldrift::standins
