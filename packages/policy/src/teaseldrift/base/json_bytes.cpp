#include "teaseldrift/base/json_bytes.hpp"

#include <charconv>
#include <cstdint>
#include <optional>

#include "teaseldrift/base/json_input.hpp"
#include "teaseldrift/base/utf8.hpp"

namespace teaseldrift {

namespace {

/// U+10FFFF, which is no character, marks a byte that follows as two hexadecimal digits.
constexpr std::string_view mark = "\xf4\x8f\xbf\xbf";
constexpr size_t digitsPerByte = 2;
constexpr int hexadecimal = 16;

/// Length of an escape such as `\u00e9`.
constexpr size_t unicodeEscapeLength = 6;

void appendMarked(std::string &out, std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    for (const char letter : bytes) {
        const unsigned char byte = static_cast<unsigned char>(letter);
        out += mark;
        out += digits[byte >> 4U];
        out += digits[byte & 0xfU];
    }
}

/// Code unit of an escape `\uXXXX` at the start of a text.
std::optional<uint32_t> unicodeEscape(std::string_view text)
{
    if (text.size() < unicodeEscapeLength || !text.starts_with("\\u")) {
        return std::nullopt;
    }
    uint32_t unit = 0;
    const char *end = text.data() + unicodeEscapeLength;
    const std::from_chars_result parsed = std::from_chars(text.data() + 2, end, unit, hexadecimal);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(unit) : std::nullopt;
}

bool isHighSurrogate(uint32_t unit)
{
    return unit >= 0xd800 && unit <= 0xdbff;
}

bool isLowSurrogate(uint32_t unit)
{
    return unit >= 0xdc00 && unit <= 0xdfff;
}

std::string bytesOfSurrogate(uint32_t unit)
{
    constexpr uint32_t firstByte = 0xdc80;
    constexpr uint32_t lastByte = 0xdcff;
    if (unit >= firstByte && unit <= lastByte) {
        return {static_cast<char>(unit & 0xffU)};
    }
    return {static_cast<char>(0xe0U | (unit >> 12U)),
            static_cast<char>(0x80U | ((unit >> 6U) & 0x3fU)),
            static_cast<char>(0x80U | (unit & 0x3fU))};
}

/// Copies the escape at the start of a text, with what is not Unicode marked.
/// @return its length
size_t appendEscape(std::string &out, std::string_view text)
{
    constexpr size_t simpleEscapeLength = 2;
    const std::optional<uint32_t> unit = unicodeEscape(text);
    if (!unit || (!isHighSurrogate(*unit) && !isLowSurrogate(*unit))) {
        // The digits of `\uXXXX` follow as ordinary characters.
        out += text.substr(0, simpleEscapeLength);
        return std::min(text.size(), simpleEscapeLength);
    }
    const std::optional<uint32_t> next = unicodeEscape(text.substr(unicodeEscapeLength));
    if (!isHighSurrogate(*unit) || !next || !isLowSurrogate(*next)) {
        appendMarked(out, bytesOfSurrogate(*unit));
        return unicodeEscapeLength;
    }
    const bool isMark = *unit == 0xdbff && *next == 0xdfff;
    if (isMark) {
        appendMarked(out, mark);
    } else {
        out += text.substr(0, 2 * unicodeEscapeLength);
    }
    return 2 * unicodeEscapeLength;
}

/// A JSON text with the same strings, in which each byte that is not Unicode is marked.
std::string withSubstitutes(std::string_view text)
{
    std::string out;
    out.reserve(text.size());
    while (!text.empty()) {
        size_t length = utf8SequenceLength(text);
        if (text.front() == '\\') {
            length = appendEscape(out, text);
        } else if (length == 0 || text.starts_with(mark)) {
            length = 1;
            appendMarked(out, text.substr(0, 1));
        } else {
            out += text.substr(0, length);
        }
        text.remove_prefix(length);
    }
    return out;
}

} // namespace

JsonOfBytes::JsonOfBytes(std::string_view text) : m_value(parseJson(text))
{
    if (m_value.is_discarded()) {
        m_value = parseJson(withSubstitutes(text));
        m_hasSubstitutes = true;
    }
}

std::string JsonOfBytes::bytesOf(const nlohmann::json &string) const
{
    const std::string &text = string.get_ref<const std::string &>();
    if (!m_hasSubstitutes) {
        return text;
    }
    std::string bytes;
    size_t begin = 0;
    for (size_t at = text.find(mark); at != std::string::npos; at = text.find(mark, begin)) {
        bytes.append(text, begin, at - begin);
        const char *digits = text.data() + at + mark.size();
        unsigned byte = 0;
        std::from_chars(digits, digits + digitsPerByte, byte, hexadecimal);
        bytes += static_cast<char>(byte);
        begin = at + mark.size() + digitsPerByte;
    }
    return bytes.append(text, begin);
}

} // namespace teaseldrift
