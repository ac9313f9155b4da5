#pragma once

#include <functional>
#include <string>

#include "teaseldrift/ctl/context.hpp"
#include "teaseldrift/schema/configuration.pb.h"

namespace teaseldrift::ctl {

/// @brief Modifies a configuration in place.
/// @return an error message, empty on success
using Edit = std::function<std::string(schema::Configuration &)>;

/// @brief Reads the configuration from the store.
/// @return Failure if the store can't be read; the error is printed
ExitCode readConfiguration(const Context &context, schema::Configuration &configuration);

/// @brief Reads the configuration, edits and validates it, writes the changed documents by
/// compare-and-swap, and waits until the change is accepted.
///
/// With --dry-run only the diff is printed.
/// @param showsDiff whether to print the diff before writing
ExitCode changeConfiguration(const Context &context, const Edit &edit, bool showsDiff = false);

} // namespace teaseldrift::ctl
