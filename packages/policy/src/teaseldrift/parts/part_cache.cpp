#include "teaseldrift/parts/part_cache.hpp"

namespace teaseldrift {

PartCache::PartCache(uint64_t roomTokens) : m_roomTokens(roomTokens) { }

void PartCache::touch(std::span<const PromptPrefix> prefixes)
{
    for (const PromptPrefix &prefix : prefixes) {
        const auto held = m_held.find(prefix.key);
        if (held != m_held.end()) {
            m_order.splice(m_order.begin(), m_order, held->second);
            continue;
        }
        m_order.push_front(prefix);
        m_held.emplace(prefix.key, m_order.begin());
        m_usedTokens += prefix.tokens;
    }
    while (m_usedTokens > m_roomTokens && !m_order.empty()) {
        forget(m_order.back().key);
    }
}

uint64_t PartCache::heldTokens(std::span<const PromptPrefix> prefixes) const
{
    uint64_t tokens = 0;
    for (const PromptPrefix &prefix : prefixes) {
        if (!holds(prefix)) {
            break;
        }
        tokens += prefix.tokens;
    }
    return tokens;
}

bool PartCache::holds(const PromptPrefix &prefix) const
{
    return m_held.contains(prefix.key);
}

void PartCache::forget(uint64_t key)
{
    const auto held = m_held.find(key);
    if (held == m_held.end()) {
        return;
    }
    m_usedTokens -= held->second->tokens;
    m_order.erase(held->second);
    m_held.erase(held);
}

void PartCache::clear()
{
    m_order.clear();
    m_held.clear();
    m_usedTokens = 0;
}

} // namespace teaseldrift
