#include "teaseldrift/segments/cache_scopes.hpp"

#include <xxhash.h>

namespace teaseldrift {

namespace {

constexpr std::string_view sharedPrefix = "shared-";
constexpr std::string_view isolatedPrefix = "isolated-";

/// Hash in hexadecimal digits, the same on all architectures.
std::string digestOf(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned bitsPerDigit = 4;
    constexpr unsigned digitMask = 15;
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits(text.data(), text.size()));
    std::string digest;
    for (const unsigned char byte : canonical.digest) {
        digest += digits[byte >> bitsPerDigit];
        digest += digits[byte & digitMask];
    }
    return digest;
}

} // namespace

CacheScopes::CacheScopes(std::span<const Organisation> organisations)
{
    for (const Organisation &organisation : organisations) {
        m_sharing.insert(organisation.name);
    }
    for (const Organisation &organisation : organisations) {
        if (organisation.isIsolated) {
            m_sharing.erase(organisation.name);
        }
    }
    std::string names;
    for (const std::string &name : m_sharing) {
        // The length keeps different lists of names from giving the same text.
        names += std::to_string(name.size()) + ':' + name;
    }
    m_shared = std::string(sharedPrefix) + digestOf(names);
}

bool CacheScopes::isShared(std::string_view organisation) const
{
    return organisation.empty() || m_sharing.contains(organisation);
}

std::string CacheScopes::of(std::string_view organisation) const
{
    return isShared(organisation) ? m_shared : std::string(isolatedPrefix) + digestOf(organisation);
}

std::string cacheSalt(std::string_view model, uint64_t weights, std::string_view scope)
{
    std::string salt(model);
    salt += '/';
    salt += std::to_string(weights);
    if (!scope.empty()) {
        salt += '/';
        salt += scope;
    }
    return salt;
}

} // namespace teaseldrift
