#pragma once

#include <chrono>
#include <cstdint>

namespace teaseldrift::router {

/// @brief Returns the wall clock as Unix time in milliseconds. Only for times that operators or the
/// store see; durations are measured with the event loop's clock.
inline int64_t nowUnixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

} // namespace teaseldrift::router
