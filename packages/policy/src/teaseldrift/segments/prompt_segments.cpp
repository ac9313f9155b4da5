#include "teaseldrift/segments/prompt_segments.hpp"

#include <array>
#include <charconv>

#include <xxhash.h>

namespace teaseldrift {

namespace {

constexpr int hexadecimalBase = 16;

} // namespace

std::string segmentIds(std::span<const uint64_t> ids)
{
    std::string text;
    for (const uint64_t id : ids) {
        std::array<char, 2 * sizeof(uint64_t)> digits{};
        const std::to_chars_result end
                = std::to_chars(digits.data(), digits.data() + digits.size(), id, hexadecimalBase);
        text += text.empty() ? "" : ",";
        text.append(digits.data(), end.ptr);
    }
    return text;
}

std::optional<uint64_t> parseSegmentId(std::string_view text)
{
    uint64_t id = 0;
    const char *end = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(text.data(), end, id, hexadecimalBase);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(id) : std::nullopt;
}

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
