#pragma once

#include <functional>
#include <string>

#include "teaseldrift/ctl/context.hpp"
#include "teaseldrift/schema/configuration.pb.h"

namespace teaseldrift::ctl {

/// @brief Changes a configuration in place.
/// @return why it can't be done, empty if it is done
using Edit = std::function<std::string(schema::Configuration &)>;

/// @brief Reads the configuration.
/// @return Failure, told to the operator, if the store can't be read
ExitCode readConfiguration(const Context &context, schema::Configuration &configuration);

/// @brief Reads the configuration, edits and checks it, writes what differs by compare-and-swap,
/// and waits until it is in force on all VMs.
///
/// With --dry-run only the difference is shown.
/// @param showsDiff prints the difference before it is written
ExitCode changeConfiguration(const Context &context, const Edit &edit, bool showsDiff = false);

} // namespace teaseldrift::ctl
