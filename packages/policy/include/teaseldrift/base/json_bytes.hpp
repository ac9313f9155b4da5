#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace teaseldrift {

/// @brief JSON from outside whose strings may hold bytes that are not UTF-8, or escapes of halves
/// of surrogate pairs, for lists whose items come from several writers: such a string makes the
/// text invalid, so that parseJson() would cost all items for one.
///
/// ```cpp
/// const JsonOfBytes page(body);
/// for (const nlohmann::json &item : page.value()) { ... page.bytesOf(item) ... }
/// ```
class JsonOfBytes
{
public:
    /// An empty value.
    JsonOfBytes() = default;

    explicit JsonOfBytes(std::string_view text);

    /// @brief The parsed value; see parseJson(). A string that is not Unicode holds a substitute
    /// that is UTF-8 and equals no other string.
    [[nodiscard]] const nlohmann::json &value() const { return m_value; }

    /// @brief The bytes of a string of the value. Half of a surrogate pair is the byte that it
    /// stands for if it is one of U+DC80 to U+DCFF, as in Python's `surrogateescape`, and its
    /// three-byte form otherwise. isUtf8() tells whether the string was Unicode.
    [[nodiscard]] std::string bytesOf(const nlohmann::json &string) const;

private:
    nlohmann::json m_value;
    bool m_hasSubstitutes = false;
};

} // namespace teaseldrift
