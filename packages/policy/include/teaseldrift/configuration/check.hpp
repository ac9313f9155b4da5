#pragma once

#include <string>
#include <vector>

#include "teaseldrift/schema/configuration.pb.h"

namespace teaseldrift {

/// @brief One fault of a configuration.
struct Problem
{
    /// Where it is, such as "organisations[2].rate_tokens_per_s".
    std::string where;
    std::string message;
};

/// @brief Checks a whole configuration before it is offered to the store.
///
/// ```cpp
/// for (const Problem &problem : check(configuration)) {
///     std::cerr << problem.where << ": " << problem.message << "\n";
/// }
/// ```
/// @return all faults found, empty if the configuration may be used
std::vector<Problem> check(const schema::Configuration &configuration);

} // namespace teaseldrift
