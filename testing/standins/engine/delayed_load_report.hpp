#pragma once

#include <cstddef>
#include <deque>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift::standins {

/// @brief Load at one instant.
struct LoadSample
{
    Instant at{};
    size_t running = 0;
    size_t queued = 0;
};

/// @brief Reports the load with a constant delay.
class DelayedLoadReport
{
public:
    explicit DelayedLoadReport(Duration lag) : m_lag(lag) { }

    /// @brief Records the current load.
    void record(const LoadSample &sample);

    /// @brief Returns the load as of `now` minus the lag.
    LoadSample read(Instant now);

private:
    Duration m_lag;
    std::deque<LoadSample> m_samples;
};

} // namespace teaseldrift::standins
