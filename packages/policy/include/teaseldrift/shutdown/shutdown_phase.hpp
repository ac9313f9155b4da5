#pragma once

#include <cstddef>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief Where a graceful stop stands.
enum class ShutdownPhase {
    /// Callers with an old directory answer are still served.
    LameDuck,
    /// Nothing new is taken; open requests are finished.
    Draining,
    Ended,
};

/// @brief The phase of a stop.
/// @param sinceRequest time since the stop was requested
/// @param grace time between the request and the kill
/// @param openRequests requests without their final answer
ShutdownPhase shutdownPhase(Duration sinceRequest, Duration grace, size_t openRequests);

} // namespace teaseldrift
