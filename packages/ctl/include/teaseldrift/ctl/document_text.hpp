#pragma once

#include <string>
#include <string_view>

#include "teaseldrift/schema/configuration.pb.h"

namespace teaseldrift::ctl {

/// @brief Reads a configuration in protobuf's JSON form; // and /* */ comments are allowed.
/// @return why it can't be read, empty if it is read
std::string parseDocument(std::string_view text, schema::Configuration &configuration);

/// @brief Writes a configuration in protobuf's JSON form, without the records of keys.
std::string printDocument(const schema::Configuration &configuration);

/// @brief Gives organisations that come without keys the keys that they have now.
void preserveKeys(const schema::Configuration &current, schema::Configuration &desired);

} // namespace teaseldrift::ctl
