#pragma once

#include <string>
#include <vector>

#include "teaseldrift/schema/configuration.pb.h"

namespace teaseldrift {

/// @brief An error in a configuration.
struct ValidationError
{
    /// Path of the field, such as "organisations[2].rate_tokens_per_s".
    std::string path;
    std::string message;
};

/// @brief Validates a whole configuration before it is written to the store.
///
/// ```cpp
/// for (const ValidationError &error : validate(configuration)) {
///     std::cerr << error.path << ": " << error.message << "\n";
/// }
/// ```
/// @return all errors, empty if the configuration is valid
std::vector<ValidationError> validate(const schema::Configuration &configuration);

} // namespace teaseldrift
