#include "teaseldrift/parts/prompt_parts.hpp"

#include <array>

#include <xxhash.h>

namespace teaseldrift {

uint64_t partKeyOf(std::string_view salt, uint64_t partId)
{
    return XXH3_64bits_withSeed(salt.data(), salt.size(), partId);
}

std::vector<PromptPrefix> prefixesOf(std::span<const PromptPart> parts, std::string_view salt)
{
    std::vector<PromptPrefix> prefixes;
    prefixes.reserve(parts.size());
    uint64_t key = XXH3_64bits(salt.data(), salt.size());
    for (const PromptPart &part : parts) {
        const std::array<uint64_t, 3> link{key, part.id, part.tokens};
        key = XXH3_64bits(link.data(), sizeof(link));
        prefixes.push_back(
                {.key = key, .partKey = partKeyOf(salt, part.id), .tokens = part.tokens});
    }
    return prefixes;
}

} // namespace teaseldrift
