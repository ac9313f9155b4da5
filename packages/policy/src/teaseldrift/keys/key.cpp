#include "teaseldrift/keys/key.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <vector>

#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace teaseldrift {

namespace {

constexpr size_t digestBytes = 32;
constexpr size_t idBytes = 8;
constexpr size_t saltBytes = 16;
constexpr std::string_view keyPrefix = "td-";
/// Longer texts are rejected without being parsed.
constexpr size_t maxTextLength = 256;

using Digest = std::array<uint8_t, digestBytes>;

std::string toHex(std::span<const uint8_t> bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned nibbleBits = 4;
    constexpr unsigned nibbleMask = 0xF;
    std::string text;
    for (const uint8_t byte : bytes) {
        text += digits[byte >> nibbleBits];
        text += digits[byte & nibbleMask];
    }
    return text;
}

Digest sha256(std::string_view first, std::string_view second)
{
    Digest digest{};
    std::string input;
    input.reserve(first.size() + second.size());
    input += first;
    input += second;
    EVP_Digest(input.data(), input.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
    OPENSSL_cleanse(input.data(), input.size());
    return digest;
}

std::string_view toView(std::span<const uint8_t> bytes)
{
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

struct KeyText
{
    std::string_view id;
    std::string_view secret;
};

std::optional<KeyText> parse(std::string_view text)
{
    if (text.size() > maxTextLength || !text.starts_with(keyPrefix)) {
        return std::nullopt;
    }
    const std::string_view rest = text.substr(keyPrefix.size());
    const size_t dash = rest.find('-');
    if (dash == std::string_view::npos || dash == 0 || dash + 1 == rest.size()) {
        return std::nullopt;
    }
    return KeyText{.id = rest.substr(0, dash), .secret = rest.substr(dash + 1)};
}

} // namespace

NewKey createKey(std::span<const uint8_t, keyRandomBytes> randomBytes, int64_t nowUnixMs)
{
    const std::string id = toHex(randomBytes.first(idBytes));
    const std::string secret = toHex(randomBytes.subspan(idBytes));
    // Derived from all random bytes by a one-way function, so that it differs for each key and
    // reveals nothing about the secret.
    const Digest salt = sha256("teaseldrift key salt", toView(randomBytes));
    NewKey key;
    key.text = std::string(keyPrefix) + id + "-" + secret;
    key.record.set_id(id);
    key.record.set_salt(toView(salt).substr(0, saltBytes).data(), saltBytes);
    const Digest hash = sha256(key.record.salt(), secret);
    key.record.set_hash(hash.data(), hash.size());
    key.record.set_created_unix_ms(nowUnixMs);
    return key;
}

std::string_view keyIdOf(std::string_view text)
{
    const std::optional<KeyText> parsed = parse(text);
    return parsed.has_value() ? parsed->id : std::string_view();
}

struct KeyRing::Impl
{
    struct Entry
    {
        size_t organisation = 0;
        std::string salt;
        Digest hash{};
    };

    std::vector<std::string> organisations;
    std::map<std::string, Entry, std::less<>> entries;
    /// Compared against if the id is unknown, so that the same work is done.
    Entry dummyEntry{.salt = std::string(saltBytes, '\0')};
};

KeyRing::KeyRing() : m_impl(std::make_unique<Impl>()) { }

KeyRing::KeyRing(const google::protobuf::RepeatedPtrField<schema::Organisation> &organisations)
    : m_impl(std::make_unique<Impl>())
{
    for (const schema::Organisation &organisation : organisations) {
        m_impl->organisations.push_back(organisation.name());
        for (const schema::KeyRecord &key : organisation.keys()) {
            if (key.hash().size() != digestBytes) {
                continue;
            }
            Impl::Entry entry{
                    .organisation = m_impl->organisations.size() - 1,
                    .salt = key.salt(),
            };
            std::copy(key.hash().begin(), key.hash().end(), entry.hash.begin());
            m_impl->entries.emplace(key.id(), std::move(entry));
        }
    }
}

KeyRing::~KeyRing() = default;
KeyRing::KeyRing(KeyRing &&other) noexcept = default;
KeyRing &KeyRing::operator=(KeyRing &&other) noexcept = default;

std::optional<std::string_view> KeyRing::findOrganisation(std::string_view bearer) const
{
    const std::optional<KeyText> parsed = parse(bearer);
    if (!parsed.has_value()) {
        return std::nullopt;
    }
    const auto found = m_impl->entries.find(parsed->id);
    const bool known = found != m_impl->entries.end();
    const Impl::Entry &entry = known ? found->second : m_impl->dummyEntry;
    const Digest digest = sha256(entry.salt, parsed->secret);
    const bool equal = CRYPTO_memcmp(digest.data(), entry.hash.data(), digest.size()) == 0;
    if (!known || !equal) {
        return std::nullopt;
    }
    return m_impl->organisations[entry.organisation];
}

} // namespace teaseldrift
