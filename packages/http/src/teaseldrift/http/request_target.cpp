#include "teaseldrift/http/request_target.hpp"

#include <charconv>
#include <cstdlib>

#include "event_loop_impl.hpp"

namespace teaseldrift::http {

namespace {

void appendEncoded(std::string &out, std::string_view text)
{
    // h2o encodes for paths: it keeps the characters that separate parameters, and `+`.
    constexpr std::string_view separators = "!$&'()*+,;=";
    constexpr std::string_view digits = "0123456789ABCDEF";
    const h2o_iovec_t escaped = h2o_uri_escape(nullptr, text.data(), text.size(), "/");
    for (const char letter : toView(escaped)) {
        if (separators.find(letter) == std::string_view::npos) {
            out += letter;
        } else {
            const unsigned char code = static_cast<unsigned char>(letter);
            out += '%';
            out += digits[code >> 4U];
            out += digits[code & 0xfU];
        }
    }
    std::free(escaped.base);
}

std::string decoded(std::string_view text)
{
    constexpr size_t digits = 2;
    constexpr int hexadecimal = 16;
    std::string bytes;
    while (!text.empty()) {
        unsigned byte = 0;
        const char *begin = text.data() + 1;
        const bool isEncoded = text.front() == '%' && text.size() > digits
                               && std::from_chars(begin, begin + digits, byte, hexadecimal).ptr
                                          == begin + digits;
        if (isEncoded) {
            bytes += static_cast<char>(byte);
            text.remove_prefix(1 + digits);
        } else {
            bytes += text.front() == '+' ? ' ' : text.front();
            text.remove_prefix(1);
        }
    }
    return bytes;
}

} // namespace

std::string requestTarget(std::string_view path, std::span<const QueryParameter> parameters)
{
    std::string target(path);
    char separator = '?';
    for (const QueryParameter &parameter : parameters) {
        target += separator;
        target += parameter.name;
        target += '=';
        appendEncoded(target, parameter.value);
        separator = '&';
    }
    return target;
}

std::string queryValue(std::string_view target, std::string_view name)
{
    const size_t question = target.find('?');
    std::string_view query
            = question == std::string_view::npos ? std::string_view() : target.substr(question + 1);
    while (!query.empty()) {
        const size_t end = query.find('&');
        const std::string_view field = query.substr(0, end);
        query.remove_prefix(end == std::string_view::npos ? query.size() : end + 1);
        const size_t equals = field.find('=');
        if (equals != std::string_view::npos && field.substr(0, equals) == name) {
            return decoded(field.substr(equals + 1));
        }
    }
    return {};
}

} // namespace teaseldrift::http
