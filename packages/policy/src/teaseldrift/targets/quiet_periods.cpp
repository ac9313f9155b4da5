#include "teaseldrift/targets/quiet_periods.hpp"

#include <algorithm>
#include <utility>

namespace teaseldrift {

void QuietPeriods::start(std::string_view id, uint64_t startedAtMs, Duration time, Instant now)
{
    std::erase_if(m_periods, [this, now](const std::pair<const std::string, Period> &period) {
        return now >= period.second.endsAt + m_options.recoveryTime;
    });
    Period &period = m_periods[std::string(id)];
    if (period.startedAtMs != startedAtMs) {
        period = {.startedAtMs = startedAtMs};
    }
    if (now + time >= period.endsAt) {
        period.statedAt = now;
        period.endsAt = now + time;
    }
}

void QuietPeriods::restarted(std::string_view id, uint64_t startedAtMs, Instant since)
{
    const auto period = m_periods.find(id);
    if (period != m_periods.end() && period->second.statedAt >= since) {
        period->second.startedAtMs = startedAtMs;
    }
}

bool QuietPeriods::isQuiet(std::string_view id, uint64_t startedAtMs, Instant now) const
{
    const Period *period = find(id, startedAtMs);
    return period != nullptr && now < period->endsAt;
}

Instant QuietPeriods::availableFrom(std::string_view id, uint64_t startedAtMs, Instant now) const
{
    const Period *period = find(id, startedAtMs);
    if (period == nullptr || now >= period->endsAt + m_options.recoveryTime) {
        return now;
    }
    return std::max(period->endsAt, period->nextRequest);
}

void QuietPeriods::sent(std::string_view id, Instant now)
{
    const auto period = m_periods.find(id);
    if (period != m_periods.end()) {
        period->second.nextRequest = now + m_options.recoveryInterval;
    }
}

void QuietPeriods::accepted(std::string_view id, Instant now)
{
    const auto period = m_periods.find(id);
    if (period != m_periods.end() && now >= period->second.endsAt) {
        m_periods.erase(period);
    }
}

const QuietPeriods::Period *QuietPeriods::find(std::string_view id, uint64_t startedAtMs) const
{
    const auto period = m_periods.find(id);
    const bool isSame = period != m_periods.end() && period->second.startedAtMs == startedAtMs;
    return isSame ? &period->second : nullptr;
}

} // namespace teaseldrift
