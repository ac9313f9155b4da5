#pragma once

#include <optional>
#include <string>

#include "teaseldrift/attempts/request_state_machine.hpp"
#include "teaseldrift/attempts/response_class.hpp"
#include "teaseldrift/http/client.hpp"
#include "teaseldrift/router/request_task.hpp"
#include "teaseldrift/streams/stream_relay.hpp"

namespace teaseldrift::router {

/// @brief Bounds of a request's state machine.
RequestOptions machineOptions(const RequestSpec &spec);

/// @brief What the stream of a request may bring.
StreamOptions relayOptions(const RequestSpec &spec);

/// @brief What the head of an answer says about the attempt.
ResponseSummary summarizeResponse(const http::ResponseHead &head);

/// @brief The answer's headers without those that belong to one connection.
http::Headers endToEndHeaders(const http::Headers &headers);

/// @brief Token counts of a whole answer, if it reports them.
std::optional<StreamUsage> parseUsage(const std::string &body);

} // namespace teaseldrift::router
