#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

#include "teaseldrift/parts/prompt_parts.hpp"

namespace teaseldrift {

/// @brief What one target's KV cache is expected to hold, by what was sent to it.
///
/// Least recently used parts yield when the target's room is used up. Other VMs send to the same
/// target too, so only a part of its room counts.
class PartCache
{
public:
    PartCache() = default;
    explicit PartCache(uint64_t roomTokens);

    /// @brief The target has read, imported or used these prefixes.
    void touch(std::span<const PromptPrefix> prefixes);

    /// @brief Tokens of the leading prefixes that are held without a gap.
    [[nodiscard]] uint64_t heldTokens(std::span<const PromptPrefix> prefixes) const;

    [[nodiscard]] bool holds(const PromptPrefix &prefix) const;

    void forget(uint64_t key);
    void clear();

private:
    using Order = std::list<PromptPrefix>;

    uint64_t m_roomTokens = 0;
    uint64_t m_usedTokens = 0;
    /// Most recently used first.
    Order m_order;
    std::unordered_map<uint64_t, Order::iterator> m_held;
};

} // namespace teaseldrift
