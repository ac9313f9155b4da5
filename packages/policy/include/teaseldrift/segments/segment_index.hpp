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

/// @brief A change of what a cache holds.
struct SegmentEvent
{
    /// Of segmentKeyOf().
    uint64_t segmentKey = 0;
    /// Tokens of the part that are held now; 0 if it is gone.
    uint32_t tokens = 0;
};

/// @brief How certain a part must be to count as held.
enum class SegmentCertainty {
    /// The cache itself has said so.
    Confirmed,
    /// It was sent there a moment ago.
    Expected,
};

/// @brief What one cache holds: a target's, or that of the kept store.
///
/// Until the cache's own events are followed, what was sent to it is all that is known; least
/// recently used parts then yield when its room is used up. With events, a part that was sent
/// counts as expected until an event confirms it or its time is over.
class SegmentIndex
{
public:
    SegmentIndex() = default;

    /// @param capacityTokens part of the room that is filled by what this VM sends
    explicit SegmentIndex(uint64_t capacityTokens);

    /// @brief The cache has been asked to read, import or use these prefixes.
    void expect(std::span<const PromptPrefix> prefixes, Instant now);

    /// @brief An answer has shown that the cache's engine has read or imported these prefixes.
    /// @return those that were only expected so far
    std::vector<SegmentEvent> confirm(std::span<const PromptPrefix> prefixes);

    /// @brief Takes what the cache says of itself.
    void apply(const SegmentEvent &event);

    /// @brief The cache's events are followed from now on, or are lost.
    void setEventsFollowed(bool areEventsFollowed);

    /// @brief Tokens of the leading prefixes that are held without a gap.
    [[nodiscard]] uint64_t heldTokens(std::span<const PromptPrefix> prefixes,
                                      SegmentCertainty certainty, Instant now) const;

    /// @brief What was expected will not come; what the cache has confirmed stays.
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
