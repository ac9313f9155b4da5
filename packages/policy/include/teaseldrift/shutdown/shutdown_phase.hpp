#pragma once

#include <cstddef>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief Phase of a graceful shutdown.
enum class ShutdownPhase {
    /// New requests are still accepted, because callers may hold an outdated directory answer.
    LameDuck,
    /// No new requests are accepted; open requests are completed.
    Draining,
    Ended,
};

/// @brief Current phase of a shutdown.
/// @param sinceRequest time since the shutdown was requested
/// @param grace time between that request and the forced kill
/// @param openRequests number of requests whose response is not complete
ShutdownPhase shutdownPhase(Duration sinceRequest, Duration grace, size_t openRequests);

/// @brief Time since the shutdown was requested by which each request must have been answered, so
/// that the response leaves before the process ends.
Duration shutdownAnswerTime(Duration grace);

} // namespace teaseldrift
