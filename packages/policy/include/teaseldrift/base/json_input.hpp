#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace teaseldrift {

/// Deepest nesting of arrays and objects that is accepted from outside: copying and printing a
/// value recurse.
inline constexpr size_t maxJsonDepth = 64;

/// @brief Whether arrays and objects of a JSON text are nested deeper than `maxJsonDepth`.
inline bool isJsonTooDeep(std::string_view text)
{
    size_t depth = 0;
    bool isInString = false;
    for (size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (isInString) {
            if (c == '\\') {
                ++i;
            }
            isInString = c != '"';
        } else if (c == '"') {
            isInString = true;
        } else if (c == '[' || c == '{') {
            if (++depth > maxJsonDepth) {
                return true;
            }
        } else if (c == ']' || c == '}') {
            depth -= std::min<size_t>(depth, 1);
        }
    }
    return false;
}

/// @brief Parses JSON that comes from outside.
/// @return a value that is of no type if the text is invalid, nested too deeply, or has a number
/// too large for any type
template <typename Json = nlohmann::json>
Json parseJson(std::string_view text)
{
    if (isJsonTooDeep(text)) {
        return Json(Json::value_t::discarded);
    }
    return Json::parse(text, nullptr, false);
}

/// @brief The text of a value. Bytes of strings that are not UTF-8, as in headers of callers, are
/// replaced; nlohmann::json::dump() throws for them.
template <typename Json>
std::string toJsonText(const Json &value)
{
    constexpr int noIndentation = -1;
    return value.dump(noIndentation, ' ', false, Json::error_handler_t::replace);
}

/// @brief A field that holds a number of type `Number`; a number that is too large counts as the
/// largest.
/// @return 0 if the field is absent, negative, a fraction or of another type
template <typename Number, typename Json>
Number unsignedField(const Json &object, const char *name)
{
    if (!object.is_object()) {
        return 0;
    }
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_unsigned()) {
        return 0;
    }
    return static_cast<Number>(std::min<uint64_t>(found->template get<uint64_t>(),
                                                  std::numeric_limits<Number>::max()));
}

/// @brief A field that holds text.
/// @return empty if the field is absent or of another type
template <typename Json>
std::string textField(const Json &object, const char *name)
{
    if (!object.is_object()) {
        return {};
    }
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->template get<std::string>()
                                                       : std::string();
}

} // namespace teaseldrift
