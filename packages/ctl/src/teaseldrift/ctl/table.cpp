#include "teaseldrift/ctl/table.hpp"

#include <algorithm>

namespace teaseldrift::ctl {

namespace {

constexpr size_t columnGap = 2;

void updateWidths(std::vector<size_t> &widths, const std::vector<std::string> &row)
{
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i) {
        widths[i] = std::max(widths[i], row[i].size());
    }
}

std::string formatRow(const std::vector<size_t> &widths, const std::vector<std::string> &row)
{
    std::string text;
    for (size_t i = 0; i < row.size(); ++i) {
        text += row[i];
        if (i + 1 < row.size()) {
            text.append(widths[i] + columnGap - row[i].size(), ' ');
        }
    }
    return text + "\n";
}

} // namespace

std::string toText(const Table &table)
{
    std::vector<size_t> widths;
    updateWidths(widths, table.header);
    for (const std::vector<std::string> &row : table.rows) {
        updateWidths(widths, row);
    }
    std::string text = formatRow(widths, table.header);
    for (const std::vector<std::string> &row : table.rows) {
        text += formatRow(widths, row);
    }
    return text;
}

} // namespace teaseldrift::ctl
