#include "teaseldrift/quarantine/crash_record.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <xxhash.h>

namespace teaseldrift {

bool CrashRecord::hasSuspect() const
{
    return std::any_of(
            suspects.begin(), suspects.end(),
            [](const std::pair<const uint64_t, bool> &suspect) { return !suspect.second; });
}

bool CrashRecord::isSuspect(uint64_t segment) const
{
    const auto found = suspects.find(segment);
    return found != suspects.end() && !found->second;
}

uint64_t crashIdOf(std::string_view target, uint64_t startedAtMs, std::string_view model)
{
    const std::array<uint64_t, 2> parts{XXH3_64bits(target.data(), target.size()), startedAtMs};
    const uint64_t seed = XXH3_64bits(parts.data(), sizeof(parts));
    return XXH3_64bits_withSeed(model.data(), model.size(), seed);
}

} // namespace teaseldrift
