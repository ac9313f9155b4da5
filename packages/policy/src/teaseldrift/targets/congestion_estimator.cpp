#include "teaseldrift/targets/congestion_estimator.hpp"

#include <algorithm>
#include <cmath>

#include "teaseldrift/base/milliseconds.hpp"

namespace teaseldrift {

CongestionEstimator::CongestionEstimator(CongestionEstimatorOptions options) : m_options(options) { }

void CongestionEstimator::observe(Duration measured, Duration expected, Instant now)
{
    const double weight = decay(now);
    m_measuredMs = m_measuredMs * weight + toMs(measured);
    m_expectedMs = m_expectedMs * weight + toMs(expected);
    m_observedAt = now;
}

double CongestionEstimator::factor(Instant now) const
{
    const double weight = decay(now);
    return std::max(1.0, (m_measuredMs * weight + m_options.priorMs)
                                 / (m_expectedMs * weight + m_options.priorMs));
}

double CongestionEstimator::decay(Instant now) const
{
    return std::exp2(-std::max(0.0, toSeconds(now - m_observedAt) / toSeconds(m_options.halfLife)));
}

} // namespace teaseldrift
