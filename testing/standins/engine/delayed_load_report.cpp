#include "standins/engine/delayed_load_report.hpp"

namespace teaseldrift::standins {

void DelayedLoadReport::record(const LoadSample &sample)
{
    if (m_lag == Duration::zero()) {
        m_samples.clear();
    }
    if (!m_samples.empty() && sample.at - m_samples.back().at < Duration(1ms)) {
        m_samples.back().running = sample.running;
        m_samples.back().queued = sample.queued;
        return;
    }
    m_samples.push_back(sample);
    read(sample.at);
}

LoadSample DelayedLoadReport::read(Instant now)
{
    while (m_samples.size() > 1 && m_samples[1].at + m_lag <= now) {
        m_samples.pop_front();
    }
    const bool known = !m_samples.empty() && m_samples.front().at + m_lag <= now;
    return known ? m_samples.front() : LoadSample{};
}

} // namespace teaseldrift::standins
