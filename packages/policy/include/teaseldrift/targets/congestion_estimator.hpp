#pragma once

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief Parameters of the estimate.
struct CongestionEstimatorOptions
{
    /// Weight of an observation halves in this time, about that in which a queue changes.
    Duration halfLife = 500ms;
    /// Expected time, in milliseconds, of the assumed observations without congestion. They prevail
    /// when there are few others, so that single slow requests have little effect.
    double priorMs = 300.0;
};

/// @brief Estimates by how much times to the first event exceed the expected ones at a service's
/// targets.
///
/// The expected times count the prompts that are queued, by what the VMs tell each other. They leave
/// out that a target computes the prompts of a batch side by side with its streams, and what was
/// sent since the last messages. A VM sends too few requests to a single target to learn this of
/// each, so the estimate is one for the service.
class CongestionEstimator
{
public:
    explicit CongestionEstimator(CongestionEstimatorOptions options = {});

    /// @brief Records the time to the first event of a request.
    void observe(Duration measured, Duration expected, Instant now);

    /// @brief Measured times divided by expected ones; at least 1, which it returns to without
    /// observations.
    [[nodiscard]] double factor(Instant now) const;

private:
    [[nodiscard]] double decay(Instant now) const;

    CongestionEstimatorOptions m_options;
    double m_measuredMs = 0.0;
    double m_expectedMs = 0.0;
    Instant m_observedAt;
};

} // namespace teaseldrift
