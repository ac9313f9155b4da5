#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "teaseldrift/schema/configuration.pb.h"

namespace teaseldrift {

/// @brief Random bytes needed to create an API key.
inline constexpr size_t keyRandomBytes = 32;

/// @brief A new API key: its text for the caller and its record for the configuration.
struct NewKey
{
    /// `td-<id>-<secret>`; to be shown once and never stored.
    std::string text;
    schema::KeyRecord record;
};

/// @brief Creates an API key.
/// @param randomBytes from a cryptographically secure generator; must not be used for anything else
NewKey createKey(std::span<const uint8_t, keyRandomBytes> randomBytes, int64_t nowUnixMs);

/// @brief The id, the public part of an API key; empty if the text is malformed.
std::string_view keyIdOf(std::string_view text);

/// @brief Verifies API keys of one configuration revision.
///
/// Keeps only salted hashes. For an unknown id the same hash and comparison are computed as for a
/// known one, to hide which ids exist.
///
/// ```cpp
/// KeyRing ring(configuration.organisations());
/// std::optional<std::string_view> organisation = ring.findOrganisation(bearer);
/// ```
class KeyRing
{
public:
    KeyRing();
    explicit KeyRing(const google::protobuf::RepeatedPtrField<schema::Organisation> &organisations);
    ~KeyRing();
    KeyRing(KeyRing &&other) noexcept;
    KeyRing &operator=(KeyRing &&other) noexcept;

    /// @brief The organisation that an API key belongs to.
    /// @param bearer text of the key, from the authorization header
    /// @return a view into this object, nothing if the key is not valid
    [[nodiscard]] std::optional<std::string_view> findOrganisation(std::string_view bearer) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift
