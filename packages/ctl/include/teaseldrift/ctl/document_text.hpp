#pragma once

#include <string>
#include <string_view>

#include "teaseldrift/schema/configuration.pb.h"

namespace teaseldrift::ctl {

/// @brief Parses a configuration in protobuf's JSON format; // and /* */ comments are allowed.
/// @return an error message, empty on success
std::string parseDocument(std::string_view text, schema::Configuration &configuration);

/// @brief Formats a configuration in protobuf's JSON format, without key records.
std::string printDocument(const schema::Configuration &configuration);

/// @brief Copies the current keys of each organisation for which `desired` has none, since printed
/// documents omit key records.
void preserveKeys(const schema::Configuration &current, schema::Configuration &desired);

} // namespace teaseldrift::ctl
