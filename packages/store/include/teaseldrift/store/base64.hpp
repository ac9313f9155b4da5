#pragma once

#include <string>
#include <string_view>

namespace teaseldrift::store {

/// @brief Standard base64 with padding.
std::string encodeBase64(std::string_view text);

/// @brief Reads standard base64 with padding.
/// @return empty if the text is not of that form
std::string decodeBase64(std::string_view text);

} // namespace teaseldrift::store
