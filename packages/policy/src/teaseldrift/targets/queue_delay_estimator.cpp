#include "teaseldrift/targets/queue_delay_estimator.hpp"

#include <algorithm>
#include <cmath>

#include "teaseldrift/base/milliseconds.hpp"

namespace teaseldrift {

namespace {

size_t levelOf(uint32_t priority)
{
    return std::min<size_t>(priority, QueueDelayEstimator::priorityLevels - 1);
}

} // namespace

QueueDelayEstimator::QueueDelayEstimator(QueueDelayEstimatorOptions options)
    : m_options(options) { }

uint64_t QueueDelayEstimator::sent(uint32_t priority, Duration serviceTime, Instant now)
{
    m_pending.push_back({.ticket = ++m_lastTicket,
                         .level = levelOf(priority),
                         .serviceTime = serviceTime,
                         .sentAt = now});
    return m_lastTicket;
}

void QueueDelayEstimator::prefillFinished(uint64_t ticket, Instant now)
{
    const auto found
            = std::find_if(m_pending.begin(), m_pending.end(),
                           [ticket](const Pending &pending) { return pending.ticket == ticket; });
    if (found == m_pending.end()) {
        return;
    }
    const double waitedMs = std::max(0.0, toMs(now - found->sentAt - found->serviceTime));
    Estimate &estimate = m_estimates[found->level];
    const double before = decayed(estimate, now);
    estimate = {.ms = before + m_options.gain * (waitedMs - before), .at = now};
    m_pending.erase(found);
}

void QueueDelayEstimator::dropped(uint64_t ticket)
{
    std::erase_if(m_pending, [ticket](const Pending &pending) { return pending.ticket == ticket; });
}

Duration QueueDelayEstimator::expectedWait(uint32_t priority, Instant now) const
{
    const size_t level = levelOf(priority);
    double ms = 0.0;
    // Higher priorities are served first, so their waits are a lower bound for lower priorities.
    for (size_t i = 0; i <= level; ++i) {
        ms = std::max(ms, decayed(m_estimates[i], now));
    }
    return fromMs(std::max(ms, longestPendingWaitMs(level, now)));
}

Duration QueueDelayEstimator::longestPendingWait(uint32_t priority, Instant now) const
{
    return fromMs(longestPendingWaitMs(levelOf(priority), now));
}

double QueueDelayEstimator::longestPendingWaitMs(size_t level, Instant now) const
{
    double ms = 0.0;
    for (const Pending &pending : m_pending) {
        if (pending.level <= level) {
            ms = std::max(ms, toMs(now - pending.sentAt - pending.serviceTime));
        }
    }
    return ms;
}

double QueueDelayEstimator::decayed(const Estimate &estimate, Instant now) const
{
    return estimate.ms * std::exp2(-toSeconds(now - estimate.at) / toSeconds(m_options.halfLife));
}

} // namespace teaseldrift
