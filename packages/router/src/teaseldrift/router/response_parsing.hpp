#pragma once

#include <optional>
#include <string>

#include "teaseldrift/attempts/request_state_machine.hpp"
#include "teaseldrift/attempts/response_class.hpp"
#include "teaseldrift/http/client.hpp"
#include "teaseldrift/router/request_task.hpp"
#include "teaseldrift/streams/stream_relay.hpp"

namespace teaseldrift::router {

/// @brief Returns the options of a request's state machine.
RequestOptions machineOptions(const RequestSpec &spec);

/// @brief Returns the options of a request's stream relay.
StreamOptions relayOptions(const RequestSpec &spec);

/// @brief Extracts the parts of a response head that decide about a retry.
ResponseSummary summarizeResponse(const http::ResponseHead &head);

/// @brief Returns a response's headers without hop-by-hop headers and those that the server sets
/// itself.
http::Headers endToEndHeaders(const http::Headers &headers);

/// @brief Parses the token counts of a complete JSON response, if it has them.
std::optional<StreamUsage> parseUsage(const std::string &body);

} // namespace teaseldrift::router
