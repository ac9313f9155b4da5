#pragma once

#include <string>
#include <string_view>

namespace teaseldrift::store {

/// @brief Encodes as standard base64 with padding.
std::string encodeBase64(std::string_view text);

/// @brief Decodes standard base64 with padding.
/// @return empty if the text is invalid
std::string decodeBase64(std::string_view text);

} // namespace teaseldrift::store
