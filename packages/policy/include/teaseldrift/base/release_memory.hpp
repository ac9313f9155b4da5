#pragma once

#include <string>

namespace teaseldrift {

/// @brief Empties a string and frees its memory, which clear() and assignments may keep.
inline void releaseMemory(std::string &text)
{
    std::string().swap(text);
}

} // namespace teaseldrift
