#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace teaseldrift {

/// @brief A part of a prompt with an id. Prompts that begin with the same segments share KV cache.
struct PromptSegment
{
    uint64_t id = 0;
    uint32_t tokens = 0;
};

/// @brief A prefix of a prompt that ends with one of its segments.
struct PromptPrefix
{
    /// Hash of the cache salt and of all segments of the prefix.
    uint64_t key = 0;
    /// Key of the last segment.
    uint64_t segmentKey = 0;
    /// Tokens of the last segment alone.
    uint32_t tokens = 0;
};

/// @brief Ids as comma-separated hexadecimal numbers, for logs and operators.
std::string segmentIds(std::span<const uint64_t> ids);

/// @brief Parses one id as segmentIds() writes it.
std::optional<uint64_t> parseSegmentId(std::string_view text);

/// @brief Key of a segment in KV caches; does not depend on the segments before it.
uint64_t segmentKeyOf(std::string_view salt, uint64_t segmentId);

/// @brief All prefixes of a prompt, shortest first.
/// @param salt separates KV caches that must not be shared
std::vector<PromptPrefix> prefixesOf(std::span<const PromptSegment> segments,
                                     std::string_view salt);

/// @brief Prefixes that other requests may share: all but the last, whose segment is the request's
/// own.
[[nodiscard]] inline std::span<const PromptPrefix> sharedOf(std::span<const PromptPrefix> prefixes)
{
    return prefixes.empty() ? prefixes : prefixes.first(prefixes.size() - 1);
}

} // namespace teaseldrift
