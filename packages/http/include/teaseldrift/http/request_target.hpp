#pragma once

#include <span>
#include <string>
#include <string_view>

namespace teaseldrift::http {

/// @brief A parameter of a query.
struct QueryParameter
{
    std::string_view name;
    std::string value;
};

/// @brief Joins a path and the parameters of a query to the target of a request.
/// @param parameters their values may hold any bytes and are percent-encoded
std::string requestTarget(std::string_view path, std::span<const QueryParameter> parameters);

/// @brief Decoded value of a parameter of a target's query: `%XX` is a byte, `+` a blank. The first
/// parameter of a name counts.
/// @return empty if there is no such parameter
std::string queryValue(std::string_view target, std::string_view name);

} // namespace teaseldrift::http
