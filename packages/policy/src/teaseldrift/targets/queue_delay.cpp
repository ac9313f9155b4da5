#include "teaseldrift/targets/queue_delay.hpp"

#include <algorithm>
#include <cmath>

#include "teaseldrift/base/milliseconds.hpp"

namespace teaseldrift {

namespace {

size_t levelOf(uint32_t priority)
{
    return std::min<size_t>(priority, QueueDelay::levels - 1);
}

} // namespace

QueueDelay::QueueDelay(QueueDelayOptions options) : m_options(options) { }

uint64_t QueueDelay::sent(uint32_t priority, Duration ownTime, Instant now)
{
    m_unread.push_back({.ticket = ++m_lastTicket,
                        .level = levelOf(priority),
                        .ownTime = ownTime,
                        .sentAt = now});
    return m_lastTicket;
}

void QueueDelay::read(uint64_t ticket, Instant now)
{
    const auto found
            = std::find_if(m_unread.begin(), m_unread.end(),
                           [ticket](const Unread &unread) { return unread.ticket == ticket; });
    if (found == m_unread.end()) {
        return;
    }
    const double waitedMs = std::max(0.0, toMs(now - found->sentAt - found->ownTime));
    Estimate &estimate = m_estimates[found->level];
    const double before = decayed(estimate, now);
    estimate = {.ms = before + m_options.gain * (waitedMs - before), .at = now};
    m_unread.erase(found);
}

void QueueDelay::dropped(uint64_t ticket)
{
    std::erase_if(m_unread, [ticket](const Unread &unread) { return unread.ticket == ticket; });
}

Duration QueueDelay::expected(uint32_t priority, Instant now) const
{
    const size_t level = levelOf(priority);
    double ms = 0.0;
    // More urgent requests go first, so their waits are a lower bound for less urgent ones.
    for (size_t i = 0; i <= level; ++i) {
        ms = std::max(ms, decayed(m_estimates[i], now));
    }
    return fromMs(std::max(ms, overdueMs(level, now)));
}

Duration QueueDelay::overdue(uint32_t priority, Instant now) const
{
    return fromMs(overdueMs(levelOf(priority), now));
}

double QueueDelay::overdueMs(size_t level, Instant now) const
{
    double ms = 0.0;
    for (const Unread &unread : m_unread) {
        if (unread.level <= level) {
            ms = std::max(ms, toMs(now - unread.sentAt - unread.ownTime));
        }
    }
    return ms;
}

double QueueDelay::decayed(const Estimate &estimate, Instant now) const
{
    return estimate.ms * std::exp2(-toSeconds(now - estimate.at) / toSeconds(m_options.halfLife));
}

} // namespace teaseldrift
