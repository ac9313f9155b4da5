#pragma once

#include <chrono>
#include <cstdint>

namespace teaseldrift::router {

/// @brief The wall clock as Unix time in milliseconds. Only for what operators and the store see;
/// decisions about durations use the loop's clock.
inline int64_t nowUnixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

} // namespace teaseldrift::router
