#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "teaseldrift/schema/configuration.pb.h"

namespace teaseldrift {

/// @brief Random bytes that one key is made of.
inline constexpr size_t keyRandomBytes = 32;

/// @brief A key just made: its text for the caller and its record for the configuration.
struct NewKey
{
    /// `td-<id>-<secret>`; shown once and stored nowhere.
    std::string text;
    schema::KeyRecord record;
};

/// @brief Makes a key.
/// @param randomBytes from a cryptographic generator, used for nothing else
NewKey createKey(std::span<const uint8_t, keyRandomBytes> randomBytes, int64_t nowUnixMs);

/// @brief The public part of a key's text, empty if the text has another form.
std::string_view keyIdOf(std::string_view text);

/// @brief The keys of a configuration revision.
///
/// Only salted hashes are kept. A check takes the same work whether the id is known or not.
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

    /// @brief The organisation that a key belongs to.
    /// @param bearer the key's text
    /// @return a view into this ring, nothing if the key is not valid
    [[nodiscard]] std::optional<std::string_view> findOrganisation(std::string_view bearer) const;

private:
    struct Native;
    std::unique_ptr<Native> m_native;
};

} // namespace teaseldrift
