#pragma once

#include <string_view>

#include "teaseldrift/router/request_task.hpp"

namespace teaseldrift::router {

/// @brief Logs the final outcome of a request in one line.
void logOutcome(std::string_view requestId, std::string_view organisation,
                const RequestOutcome &outcome);

} // namespace teaseldrift::router
