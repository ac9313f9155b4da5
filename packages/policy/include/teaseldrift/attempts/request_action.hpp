#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/schema/result.hpp"

namespace teaseldrift {

/// @brief Number of an attempt within its request, starting at 1.
using AttemptId = uint32_t;

/// @brief What an attempt requests from its target.
enum class AttemptKind {
    /// The complete request as the caller sent it.
    FullRequest,
    /// The rest of a stream from the same target, with `Last-Event-ID` and the same request id.
    Resume,
    /// The rest of a stream from any target, with a request that contains the text delivered so
    /// far.
    Continuation,
};

/// @brief Start an attempt: select a target, then report targetSelected() or noTargetAvailable().
struct StartAttempt
{
    AttemptId id = 0;
    AttemptKind kind = AttemptKind::FullRequest;
    /// Do not reuse a pooled connection, which may be dead without having been closed.
    bool useFreshConnection = false;
    /// The only target allowed, for a Resume; empty if any target may be selected.
    std::string target;
    /// Targets on which this request has already failed.
    std::vector<std::string> excludedTargets;
    /// Number of positions delivered to the caller so far.
    uint64_t position = 0;
    /// RETRY_NONE for the first attempt. Any other value selects the retry counter to increment; a
    /// retry must also be acquired from the budget of the selected target. Targets whose budget is
    /// exhausted are not selected.
    schema::RetryReason reason = schema::RETRY_NONE;
};

/// @brief Abort an attempt. Data still received from it must not reach the caller.
struct CancelAttempt
{
    AttemptId id = 0;
    /// The connection must be closed and not returned to the pool.
    bool closeConnection = true;
};

/// @brief The response of this attempt is complete: end the caller's stream, or send the buffered
/// response.
struct CompleteResponse
{
    AttemptId id = 0;
};

/// @brief Respond to the request with an error. The caller has received nothing yet.
struct RefuseRequest
{
    schema::ResultCode code = schema::INTERNAL;
    /// Whether the request may have run, as reported to the caller.
    schema::Ran ran = schema::RAN_UNKNOWN;
    /// Value for the Retry-After header; 0 to omit it.
    Duration retryAfter{0};
};

/// @brief End a stream that has already started by sending an error event.
struct EndStreamWithError
{
    schema::ResultCode code = schema::STREAM_CUT;
};

/// @brief An action that the request task carries out.
using RequestAction = std::variant<StartAttempt, CancelAttempt, CompleteResponse, RefuseRequest,
                                   EndStreamWithError>;

/// @brief Actions, to be carried out in order.
using RequestActions = std::vector<RequestAction>;

} // namespace teaseldrift
