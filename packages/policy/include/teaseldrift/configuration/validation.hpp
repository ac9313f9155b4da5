#pragma once

#include <string>
#include <vector>

#include "teaseldrift/schema/configuration.pb.h"

namespace teaseldrift {

/// @brief One fault of a configuration.
struct ValidationError
{
    /// Where it is, such as "organisations[2].rate_tokens_per_s".
    std::string path;
    std::string message;
};

/// @brief Checks a whole configuration before it is offered to the store.
///
/// ```cpp
/// for (const ValidationError &problem : validate(configuration)) {
///     std::cerr << problem.where << ": " << problem.message << "\n";
/// }
/// ```
/// @return all faults found, empty if the configuration may be used
std::vector<ValidationError> validate(const schema::Configuration &configuration);

} // namespace teaseldrift
