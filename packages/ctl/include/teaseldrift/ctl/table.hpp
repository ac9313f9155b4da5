#pragma once

#include <string>
#include <vector>

namespace teaseldrift::ctl {

/// @brief Rows of text under a head.
struct Table
{
    std::vector<std::string> header;
    std::vector<std::vector<std::string>> rows;
};

/// @brief The table in aligned columns.
std::string toText(const Table &table);

} // namespace teaseldrift::ctl
