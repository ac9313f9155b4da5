#pragma once

#include <string_view>
#include <vector>

#include "teaseldrift/http/connection_limiter.hpp"

namespace teaseldrift::http {

/// @brief A gauge or counter of a process's connections, with an optional label.
struct ConnectionGauge
{
    std::string_view name;
    std::string_view label;
    std::string_view labelValue;
    double value = 0.0;
};

/// @brief Bytes by kind, connections by state, limited connections by reason, open descriptors.
[[nodiscard]] std::vector<ConnectionGauge> connectionGauges(const ConnectionLimiter &limiter);

/// @brief Whether the process can open one more descriptor at the moment.
[[nodiscard]] bool canOpenDescriptor();

} // namespace teaseldrift::http
