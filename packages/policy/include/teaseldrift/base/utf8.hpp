#pragma once

#include <string>
#include <string_view>

namespace teaseldrift {

/// @brief Length of the UTF-8 sequence of one character at the start of a text.
/// @return 0 if the text is empty or does not begin with one: overlong forms, halves of surrogate
/// pairs and code points over U+10FFFF are none
size_t utf8SequenceLength(std::string_view text);

/// @brief Whether a text is UTF-8 throughout.
bool isUtf8(std::string_view text);

} // namespace teaseldrift
