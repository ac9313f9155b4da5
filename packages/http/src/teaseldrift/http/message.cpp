#include "teaseldrift/http/message.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <charconv>
#include <tuple>

namespace teaseldrift::http {

namespace {

bool isControl(char letter)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleted = 0x7f;
    const unsigned char code = static_cast<unsigned char>(letter);
    return code < firstPrintable || code == deleted;
}

bool isTokenCharacter(char letter)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    constexpr unsigned char firstNonAscii = 0x80;
    const unsigned char code = static_cast<unsigned char>(letter);
    return code < firstNonAscii
           && (std::isalnum(code) != 0 || marks.find(letter) != std::string_view::npos);
}

} // namespace

bool Endpoint::operator<(const Endpoint &other) const
{
    return std::tie(address, port) < std::tie(other.address, other.port);
}

std::string_view findHeader(const Headers &headers, std::string_view name)
{
    for (const Header &header : headers) {
        if (header.name == name) {
            return header.value;
        }
    }
    return {};
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isRequestTarget(std::string_view text)
{
    return !text.empty() && std::none_of(text.begin(), text.end(), [](char letter) {
        return letter == ' ' || isControl(letter);
    });
}

bool isHeaderValue(std::string_view text)
{
    return std::none_of(text.begin(), text.end(),
                        [](char letter) { return letter != '\t' && isControl(letter); });
}

bool areHeadersValid(const Headers &headers)
{
    return std::all_of(headers.begin(), headers.end(), [](const Header &header) {
        return isToken(header.name) && isHeaderValue(header.value);
    });
}

bool parseEndpoint(std::string_view text, Endpoint &endpoint)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    const std::string address(text.substr(0, colon));
    const std::string_view portText = text.substr(colon + 1);
    in_addr parsedAddress{};
    // inet_pton() reads up to a NUL.
    if (address.find('\0') != std::string::npos
        || inet_pton(AF_INET, address.c_str(), &parsedAddress) != 1) {
        return false;
    }
    uint16_t port = 0;
    const std::from_chars_result result
            = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (result.ec != std::errc() || result.ptr != portText.data() + portText.size()) {
        return false;
    }
    endpoint = {.address = address, .port = port};
    return true;
}

std::string toString(const Endpoint &endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

} // namespace teaseldrift::http
