#include "teaseldrift/segments/segment_index.hpp"

namespace teaseldrift {

namespace {

/// Engines cache whole blocks only, so events may leave out the last tokens of a segment.
constexpr uint32_t blockTokens = 16;

/// Time within which an event must confirm a segment that was sent: prefill, the delay of events
/// and the polling interval.
constexpr Duration confirmationTimeout = 2500ms;

} // namespace

SegmentIndex::SegmentIndex(uint64_t capacityTokens) : m_capacityTokens(capacityTokens) { }

SegmentIndex::Entry &SegmentIndex::touch(uint64_t segmentKey)
{
    const auto found = m_entries.find(segmentKey);
    if (found != m_entries.end()) {
        m_lru.splice(m_lru.begin(), m_lru, found->second);
        return *found->second;
    }
    m_lru.push_front({.segmentKey = segmentKey});
    m_entries.emplace(segmentKey, m_lru.begin());
    return m_lru.front();
}

void SegmentIndex::expect(std::span<const PromptPrefix> prefixes, Instant now)
{
    for (const PromptPrefix &prefix : prefixes) {
        Entry &entry = touch(prefix.segmentKey);
        if (!entry.isConfirmed) {
            m_usedTokens += prefix.tokens - entry.tokens;
            entry.tokens = prefix.tokens;
        }
        entry.expectedAt = now;
    }
    evict(now);
}

void SegmentIndex::evict(Instant now)
{
    while (!m_lru.empty()) {
        const Entry &last = m_lru.back();
        const bool isOverdue = m_areEventsFollowed && !last.isConfirmed
                               && now - last.expectedAt >= confirmationTimeout;
        const bool isOverCapacity = !m_areEventsFollowed && m_usedTokens > m_capacityTokens;
        if (!isOverdue && !isOverCapacity) {
            return;
        }
        erase(last.segmentKey);
    }
}

void SegmentIndex::dropExpected(std::span<const PromptPrefix> prefixes)
{
    for (const PromptPrefix &prefix : prefixes) {
        const auto found = m_entries.find(prefix.segmentKey);
        if (found != m_entries.end() && !found->second->isConfirmed) {
            erase(prefix.segmentKey);
        }
    }
}

std::vector<SegmentEvent> SegmentIndex::confirm(std::span<const PromptPrefix> prefixes)
{
    std::vector<SegmentEvent> confirmed;
    for (const PromptPrefix &prefix : prefixes) {
        const auto found = m_entries.find(prefix.segmentKey);
        // An entry that was removed since the request was sent is not restored.
        if (found != m_entries.end() && !found->second->isConfirmed) {
            found->second->isConfirmed = true;
            confirmed.push_back({.segmentKey = prefix.segmentKey, .tokens = found->second->tokens});
        }
    }
    return confirmed;
}

void SegmentIndex::apply(const SegmentEvent &event)
{
    if (event.tokens == 0) {
        erase(event.segmentKey);
        return;
    }
    Entry &entry = touch(event.segmentKey);
    m_usedTokens += event.tokens;
    m_usedTokens -= entry.tokens;
    entry.tokens = event.tokens;
    entry.isConfirmed = true;
}

void SegmentIndex::setEventsFollowed(bool areEventsFollowed)
{
    m_areEventsFollowed = areEventsFollowed;
}

uint64_t SegmentIndex::heldTokens(std::span<const PromptPrefix> prefixes,
                                  SegmentCertainty certainty, Instant now) const
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

bool SegmentIndex::holds(const PromptPrefix &prefix, SegmentCertainty certainty, Instant now) const
{
    const auto found = m_entries.find(prefix.segmentKey);
    if (found == m_entries.end() || found->second->tokens + blockTokens <= prefix.tokens) {
        return false;
    }
    const Entry &entry = *found->second;
    if (entry.isConfirmed || (!m_areEventsFollowed && certainty == SegmentCertainty::Expected)) {
        return true;
    }
    return certainty == SegmentCertainty::Expected && now - entry.expectedAt < confirmationTimeout;
}

void SegmentIndex::erase(uint64_t segmentKey)
{
    const auto entry = m_entries.find(segmentKey);
    if (entry == m_entries.end()) {
        return;
    }
    m_usedTokens -= entry->second->tokens;
    m_lru.erase(entry->second);
    m_entries.erase(entry);
}

void SegmentIndex::clear()
{
    m_lru.clear();
    m_entries.clear();
    m_usedTokens = 0;
}

} // namespace teaseldrift
