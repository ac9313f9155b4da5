#include "teaseldrift/targets/congestion_estimator.hpp"

#include <algorithm>
#include <cmath>

#include "teaseldrift/base/milliseconds.hpp"

namespace teaseldrift {

CongestionEstimator::CongestionEstimator(CongestionEstimatorOptions options)
    : m_options(options) { }

void CongestionEstimator::observe(Duration measured, Duration expected, Instant now)
{
    const double weight = decay(now);
    m_delayMs = m_delayMs * weight + toMs(std::min(measured - expected, m_options.maxDelay));
    m_observations = m_observations * weight + 1.0;
    m_observedAt = now;
}

Duration CongestionEstimator::delay(Instant now) const
{
    const double weight = decay(now);
    return fromMs(std::max(0.0, m_delayMs * weight)
                  / (m_observations * weight + m_options.priorObservations));
}

double CongestionEstimator::decay(Instant now) const
{
    return std::exp2(-std::max(0.0, toSeconds(now - m_observedAt) / toSeconds(m_options.halfLife)));
}

} // namespace teaseldrift
