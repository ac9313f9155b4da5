#include "teaseldrift/relay/start_deadline.hpp"

#include <algorithm>

namespace teaseldrift::relay {

namespace {

/// Newer weights may become known, or turn out to be older than assumed, while a request waits.
constexpr Duration checkInterval = 200ms;

} // namespace

bool StartDeadline::mayBeMissed(std::string_view model, uint64_t weights, Duration expectedWait,
                                Instant now) const
{
    const std::optional<Instant> latest
            = weights == 0 ? std::nullopt : m_fleet.latestStart(model, weights);
    return latest && now + expectedWait >= *latest - margin;
}

void StartDeadline::start(std::string_view model, uint64_t weights, Instant now)
{
    m_model = model;
    m_weights = weights;
    m_nextCheck.reset();
    if (weights > 0) {
        m_nextCheck = std::min(now + checkInterval, latestWithdrawal().value_or(Instant::max()));
    }
}

bool StartDeadline::hasPassed(Instant now)
{
    if (!m_nextCheck || now < *m_nextCheck) {
        return false;
    }
    const Instant latest = latestWithdrawal().value_or(Instant::max());
    m_nextCheck = std::min(now + checkInterval, latest);
    return now >= latest;
}

std::optional<Instant> StartDeadline::latestWithdrawal() const
{
    const std::optional<Instant> latest = m_fleet.latestStart(m_model, m_weights);
    return latest ? std::optional(*latest - margin) : std::nullopt;
}

} // namespace teaseldrift::relay
