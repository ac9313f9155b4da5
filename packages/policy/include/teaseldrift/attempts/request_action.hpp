#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/schema/result.hpp"

namespace teaseldrift {

/// @brief Number of an attempt within its request; the first is 1.
using AttemptId = uint32_t;

/// @brief What an attempt asks of the target.
enum class AttemptKind {
    /// The request as the caller sent it.
    FullRequest,
    /// The rest of a stream from the same target, by `Last-Event-ID` and the same request id.
    Resume,
    /// The rest of a stream from any target, by a request that holds the text delivered so far.
    Continuation,
};

/// @brief Make an attempt: choose a target, then report targetSelected() or noTargetAvailable().
struct StartAttempt
{
    AttemptId id = 0;
    AttemptKind kind = AttemptKind::FullRequest;
    /// Not over a kept connection, which may have gone silent for good.
    bool useFreshConnection = false;
    /// The target of a Resume; empty for any.
    std::string target;
    /// Targets that already failed this request.
    std::vector<std::string> excludedTargets;
    /// Positions delivered to the caller so far.
    uint64_t position = 0;
    /// RETRY_NONE for the first attempt. Otherwise a counter to raise, and a retry to be taken from
    /// the budget of the target that is chosen; one whose budget is spent is not chosen.
    schema::RetryReason reason = schema::RETRY_NONE;
};

/// @brief Give up an attempt. Nothing that it still brings may reach the caller.
struct CancelAttempt
{
    AttemptId id = 0;
    /// The connection must not be used again.
    bool closeConnection = true;
};

/// @brief The answer of this attempt is whole: end the caller's stream, or send what was buffered.
struct CompleteResponse
{
    AttemptId id = 0;
};

/// @brief Refuse a caller that has received nothing yet.
struct RefuseRequest
{
    schema::ResultCode code = schema::INTERNAL;
    /// Whether the request may have run, as it is told to the caller.
    schema::Ran ran = schema::RAN_UNKNOWN;
    /// When to come back; 0 for no advice.
    Duration retryAfter{0};
};

/// @brief End a stream that has begun with an explicit error event.
struct EndStreamWithError
{
    schema::ResultCode code = schema::STREAM_CUT;
};

/// @brief What the task shall do next.
using RequestAction = std::variant<StartAttempt, CancelAttempt, CompleteResponse, RefuseRequest,
                                   EndStreamWithError>;

/// @brief Actions in the order in which they must be carried out.
using RequestActions = std::vector<RequestAction>;

} // namespace teaseldrift
