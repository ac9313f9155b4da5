#include "teaseldrift/parts/part_cache.hpp"

namespace teaseldrift {

namespace {

/// Caches hold whole blocks, so the end of a part may be missing from what they say.
constexpr uint32_t blockTokens = 16;

/// Time in which an event must confirm a part that was sent: reading, the events' own delay and the
/// pace at which they are asked for.
constexpr Duration confirmationTime = 2500ms;

} // namespace

PartCache::PartCache(uint64_t roomTokens) : m_roomTokens(roomTokens) { }

PartCache::Held &PartCache::use(uint64_t partKey)
{
    const auto found = m_held.find(partKey);
    if (found != m_held.end()) {
        m_order.splice(m_order.begin(), m_order, found->second);
        return *found->second;
    }
    m_order.push_front({.partKey = partKey});
    m_held.emplace(partKey, m_order.begin());
    return m_order.front();
}

void PartCache::expect(std::span<const PromptPrefix> prefixes, Instant now)
{
    for (const PromptPrefix &prefix : prefixes) {
        Held &held = use(prefix.partKey);
        if (!held.isConfirmed) {
            m_usedTokens += prefix.tokens - held.tokens;
            held.tokens = prefix.tokens;
        }
        held.expectedAt = now;
    }
    trim(now);
}

void PartCache::trim(Instant now)
{
    while (!m_order.empty()) {
        const Held &last = m_order.back();
        const bool isOverdue
                = m_isFollowed && !last.isConfirmed && now - last.expectedAt >= confirmationTime;
        const bool isOverRoom = !m_isFollowed && m_usedTokens > m_roomTokens;
        if (!isOverdue && !isOverRoom) {
            return;
        }
        forget(last.partKey);
    }
}

void PartCache::dropExpected(std::span<const PromptPrefix> prefixes)
{
    for (const PromptPrefix &prefix : prefixes) {
        const auto found = m_held.find(prefix.partKey);
        if (found != m_held.end() && !found->second->isConfirmed) {
            forget(prefix.partKey);
        }
    }
}

std::vector<PartEvent> PartCache::confirm(std::span<const PromptPrefix> prefixes)
{
    std::vector<PartEvent> news;
    for (const PromptPrefix &prefix : prefixes) {
        const auto found = m_held.find(prefix.partKey);
        // What is no longer expected has been dropped for a reason since.
        if (found != m_held.end() && !found->second->isConfirmed) {
            found->second->isConfirmed = true;
            news.push_back({.partKey = prefix.partKey, .tokens = found->second->tokens});
        }
    }
    return news;
}

void PartCache::apply(const PartEvent &event)
{
    if (event.tokens == 0) {
        forget(event.partKey);
        return;
    }
    Held &held = use(event.partKey);
    m_usedTokens += event.tokens;
    m_usedTokens -= held.tokens;
    held.tokens = event.tokens;
    held.isConfirmed = true;
}

void PartCache::setFollowed(bool isFollowed)
{
    m_isFollowed = isFollowed;
}

uint64_t PartCache::heldTokens(std::span<const PromptPrefix> prefixes, PartCertainty certainty,
                               Instant now) const
{
    uint64_t tokens = 0;
    for (const PromptPrefix &prefix : prefixes) {
        if (!holds(prefix, certainty, now)) {
            break;
        }
        tokens += prefix.tokens;
    }
    return tokens;
}

bool PartCache::holds(const PromptPrefix &prefix, PartCertainty certainty, Instant now) const
{
    const auto found = m_held.find(prefix.partKey);
    if (found == m_held.end() || found->second->tokens + blockTokens <= prefix.tokens) {
        return false;
    }
    const Held &held = *found->second;
    if (held.isConfirmed || (!m_isFollowed && certainty == PartCertainty::Expected)) {
        return true;
    }
    return certainty == PartCertainty::Expected && now - held.expectedAt < confirmationTime;
}

void PartCache::forget(uint64_t partKey)
{
    const auto held = m_held.find(partKey);
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
