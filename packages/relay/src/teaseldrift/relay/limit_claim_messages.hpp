#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "teaseldrift/usage/limit_claim.hpp"

namespace teaseldrift::relay {

/// @brief Writes the reply to a claim as a protobuf message.
[[nodiscard]] std::string writeLimitClaimReply(const LimitClaimReply &reply);

/// @brief Reads the reply to a claim.
/// @return empty if the message is not valid
[[nodiscard]] std::optional<LimitClaimReply> readLimitClaimReply(std::string_view message);

/// @brief Name of an outcome in logs and metrics.
[[nodiscard]] std::string_view name(LimitClaimOutcome outcome);

} // namespace teaseldrift::relay
