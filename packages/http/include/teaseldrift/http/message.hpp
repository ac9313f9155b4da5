#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace teaseldrift::http {

/// @brief One header line; names are in lower case.
struct Header
{
    std::string name;
    std::string value;
};

/// @brief Header lines in order of arrival.
using Headers = std::vector<Header>;

/// @brief Returns the value of the first header with a name, or an empty view if there is none.
/// @param name in lower case
std::string_view findHeader(const Headers &headers, std::string_view name);

/// @brief Whether a text can be a method or the name of a header.
bool isToken(std::string_view text);

/// @brief Whether a text can be the target of a request: not empty, without blanks and control
/// characters. Bytes that are not ASCII are passed on as callers send them.
bool isRequestTarget(std::string_view text);

/// @brief Whether a text can be the value of a header: without control characters other than tabs.
bool isHeaderValue(std::string_view text);

/// @brief Whether names and values of headers can be sent.
bool areHeadersValid(const Headers &headers);

/// @brief A complete response.
struct Response
{
    int status = 200;
    Headers headers;
    std::string body;
};

/// @brief Address and port of a server.
struct Endpoint
{
    /// IP address without port.
    std::string address;
    uint16_t port = 0;

    bool operator==(const Endpoint &) const = default;
    bool operator<(const Endpoint &other) const;
};

/// @brief Parses "IP:port".
/// @return false if the text is not of that form; `endpoint` is then unchanged
bool parseEndpoint(std::string_view text, Endpoint &endpoint);

/// @brief Formats an endpoint as "IP:port".
std::string toString(const Endpoint &endpoint);

} // namespace teaseldrift::http
