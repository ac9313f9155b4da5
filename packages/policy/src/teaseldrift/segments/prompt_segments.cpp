#include "teaseldrift/segments/prompt_segments.hpp"

#include <array>

#include <xxhash.h>

namespace teaseldrift {

uint64_t segmentKeyOf(std::string_view salt, uint64_t segmentId)
{
    return XXH3_64bits_withSeed(salt.data(), salt.size(), segmentId);
}

std::vector<PromptPrefix> prefixesOf(std::span<const PromptSegment> segments, std::string_view salt)
{
    std::vector<PromptPrefix> prefixes;
    prefixes.reserve(segments.size());
    uint64_t key = XXH3_64bits(salt.data(), salt.size());
    for (const PromptSegment &segment : segments) {
        const std::array<uint64_t, 3> link{key, segment.id, segment.tokens};
        key = XXH3_64bits(link.data(), sizeof(link));
        prefixes.push_back({.key = key,
                            .segmentKey = segmentKeyOf(salt, segment.id),
                            .tokens = segment.tokens});
    }
    return prefixes;
}

} // namespace teaseldrift
