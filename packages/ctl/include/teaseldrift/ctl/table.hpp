#pragma once

#include <string>
#include <vector>

namespace teaseldrift::ctl {

/// @brief Rows of text under a header row.
struct Table
{
    std::vector<std::string> header;
    std::vector<std::vector<std::string>> rows;
};

/// @brief Formats a table in aligned columns.
std::string toText(const Table &table);

} // namespace teaseldrift::ctl
