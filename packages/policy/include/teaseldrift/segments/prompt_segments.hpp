#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace teaseldrift {

/// @brief A named part of a prompt. Requests that begin with the same parts share their KV cache.
struct PromptSegment
{
    uint64_t id = 0;
    uint32_t tokens = 0;
};

/// @brief A prefix of a prompt: all parts up to one of them.
struct PromptPrefix
{
    /// Hash of the cache salt and of all parts of the prefix.
    uint64_t key = 0;
    /// Key of the prefix's last part.
    uint64_t segmentKey = 0;
    /// Tokens of the prefix's last part.
    uint32_t tokens = 0;
};

/// @brief What one part of a prompt is known by in a cache, whatever stands before it.
uint64_t segmentKeyOf(std::string_view salt, uint64_t segmentId);

/// @brief The prefixes of a prompt, shortest first.
/// @param salt what separates caches that must not be mixed
std::vector<PromptPrefix> prefixesOf(std::span<const PromptSegment> segments,
                                     std::string_view salt);

} // namespace teaseldrift
