#pragma once

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief Parameters of the estimate.
struct CongestionEstimatorOptions
{
    /// Weight of an observation halves in this time, about that in which a queue changes.
    Duration halfLife = 500ms;
    /// Number of assumed observations without delay. They prevail when there are few others, so
    /// that single slow requests have little effect.
    double priorObservations = 2.0;
    /// Longer delays count as this one: a target that stalls says nothing about the others.
    Duration maxDelay = 2s;
};

/// @brief Estimates by how much first events are delayed at a service's targets beyond what the
/// known load explains.
///
/// The known load is that of the prompts that are queued, by what the VMs send each other. It
/// leaves out that a target computes the prompts of a batch side by side with its streams, and what
/// was sent since the last messages. A VM sends too few requests to a single target to learn this
/// of each, so the estimate is one for the service.
class CongestionEstimator
{
public:
    explicit CongestionEstimator(CongestionEstimatorOptions options = {});

    /// @brief Records the time to the first event of a request.
    /// @param expected by the known load
    void observe(Duration measured, Duration expected, Instant now);

    /// @brief Mean delay of recent requests; at least 0, which it returns to without observations.
    [[nodiscard]] Duration delay(Instant now) const;

private:
    [[nodiscard]] double decay(Instant now) const;

    CongestionEstimatorOptions m_options;
    double m_delayMs = 0.0;
    double m_observations = 0.0;
    Instant m_observedAt;
};

} // namespace teaseldrift
