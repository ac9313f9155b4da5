#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/segments/prompt_segments.hpp"

namespace teaseldrift {

/// @brief A segment was stored in or evicted from a KV cache.
struct SegmentEvent
{
    /// From segmentKeyOf().
    uint64_t segmentKey = 0;
    /// Tokens of the segment that are now in the cache; 0 after eviction.
    uint32_t tokens = 0;
};

/// @brief How certain it must be that a cache holds a segment.
enum class SegmentCertainty {
    /// A cache event or a response has shown it.
    Confirmed,
    /// It is confirmed, or a request with the segment was sent there recently.
    Expected,
};

/// @brief Segments that one KV cache holds: that of a target or of the KV cache store.
///
/// Without the cache's events, the index assumes that the cache holds what was sent to it and
/// evicts the least recently used segments at capacity. With events, a segment that was sent is
/// expected until an event or a response confirms it or the confirmation time-out is over.
class SegmentIndex
{
public:
    SegmentIndex() = default;

    /// @param capacityTokens capacity for what this VM sends
    explicit SegmentIndex(uint64_t capacityTokens);

    /// @brief Marks prefixes as expected that a request makes the engine compute, import or reuse.
    void expect(std::span<const PromptPrefix> prefixes, Instant now);

    /// @brief Confirms prefixes that a response has shown to be computed or imported.
    /// @return segments that were not confirmed before
    std::vector<SegmentEvent> confirm(std::span<const PromptPrefix> prefixes);

    /// @brief Applies an event of the cache.
    void apply(const SegmentEvent &event);

    /// @brief Sets whether the cache's events are available.
    void setEventsFollowed(bool areEventsFollowed);

    /// @brief Tokens of the longest run of leading segments that the cache holds.
    [[nodiscard]] uint64_t heldTokens(std::span<const PromptPrefix> prefixes,
                                      SegmentCertainty certainty, Instant now) const;

    /// @brief Removes prefixes whose request failed, except confirmed ones.
    void dropExpected(std::span<const PromptPrefix> prefixes);

    void clear();

private:
    struct Entry
    {
        uint64_t segmentKey = 0;
        uint32_t tokens = 0;
        bool isConfirmed = false;
        Instant expectedAt;
    };

    using LruList = std::list<Entry>;

    [[nodiscard]] bool holds(const PromptPrefix &prefix, SegmentCertainty certainty,
                             Instant now) const;
    Entry &touch(uint64_t segmentKey);
    void erase(uint64_t segmentKey);
    void evict(Instant now);

    uint64_t m_capacityTokens = 0;
    uint64_t m_usedTokens = 0;
    bool m_areEventsFollowed = false;
    /// Most recently used first.
    LruList m_lru;
    std::unordered_map<uint64_t, LruList::iterator> m_entries;
};

} // namespace teaseldrift
