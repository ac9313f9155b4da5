#pragma once

#include <cstddef>
#include <deque>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift::standins {

/// @brief Load at one moment.
struct LoadSample
{
    Instant at{};
    size_t running = 0;
    size_t queued = 0;
};

/// @brief A load report that lags behind.
class LoadReport
{
public:
    explicit LoadReport(Duration lag) : m_lag(lag) { }

    /// @brief Notes the load of now.
    void note(const LoadSample &sample);

    /// @brief The load as it was before the lag.
    LoadSample read(Instant now);

private:
    Duration m_lag;
    std::deque<LoadSample> m_samples;
};

} // namespace teaseldrift::standins
