#pragma once

#include <string>
#include <vector>

#include "teaseldrift/schema/settings.pb.h"

namespace teaseldrift::router {

/// @brief Validates what the range of a single setting cannot express: addresses, files, and
/// combinations of settings.
/// @return one line for each error, with the settings, the value and the allowed values; empty if
/// the settings are valid
std::vector<std::string> validateSettings(const schema::RouterSettings &settings);

} // namespace teaseldrift::router
