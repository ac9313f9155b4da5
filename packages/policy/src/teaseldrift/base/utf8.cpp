#include "teaseldrift/base/utf8.hpp"

#include <cstdint>

namespace teaseldrift {

namespace {

struct LeadByte
{
    size_t length = 0;
    uint32_t bits = 0;
    uint32_t firstCodePoint = 0;
};

LeadByte leadByte(unsigned char byte)
{
    if (byte < 0x80) {
        return {.length = 1, .bits = byte, .firstCodePoint = 0};
    }
    if ((byte & 0xe0U) == 0xc0U) {
        return {.length = 2, .bits = byte & 0x1fU, .firstCodePoint = 0x80};
    }
    if ((byte & 0xf0U) == 0xe0U) {
        return {.length = 3, .bits = byte & 0x0fU, .firstCodePoint = 0x800};
    }
    if ((byte & 0xf8U) == 0xf0U) {
        return {.length = 4, .bits = byte & 0x07U, .firstCodePoint = 0x10000};
    }
    return {};
}

} // namespace

size_t utf8SequenceLength(std::string_view text)
{
    constexpr uint32_t firstSurrogate = 0xd800;
    constexpr uint32_t lastSurrogate = 0xdfff;
    constexpr uint32_t lastCodePoint = 0x10ffff;
    constexpr uint32_t continuationBits = 6;
    if (text.empty()) {
        return 0;
    }
    const LeadByte lead = leadByte(static_cast<unsigned char>(text.front()));
    if (lead.length == 0 || text.size() < lead.length) {
        return 0;
    }
    uint32_t codePoint = lead.bits;
    for (const char letter : text.substr(1, lead.length - 1)) {
        const unsigned char byte = static_cast<unsigned char>(letter);
        if ((byte & 0xc0U) != 0x80U) {
            return 0;
        }
        codePoint = (codePoint << continuationBits) | (byte & 0x3fU);
    }
    const bool isSurrogate = codePoint >= firstSurrogate && codePoint <= lastSurrogate;
    return codePoint < lead.firstCodePoint || codePoint > lastCodePoint || isSurrogate
                   ? 0
                   : lead.length;
}

bool isUtf8(std::string_view text)
{
    while (!text.empty()) {
        const size_t length = utf8SequenceLength(text);
        if (length == 0) {
            return false;
        }
        text.remove_prefix(length);
    }
    return true;
}

} // namespace teaseldrift
