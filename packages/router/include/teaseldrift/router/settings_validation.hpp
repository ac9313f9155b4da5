#pragma once

#include <string>
#include <vector>

#include "teaseldrift/schema/settings.pb.h"

namespace teaseldrift::router {

/// @brief Checks what the range of a single setting cannot express: addresses, files, and settings
/// that belong together.
/// @return one line for each problem, with the settings, the value and what is allowed; empty if
/// the settings are valid
std::vector<std::string> validateSettings(const schema::RouterSettings &settings);

} // namespace teaseldrift::router
