#include "teaseldrift/usage/concurrency_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace teaseldrift {

namespace {

/// Least requests beyond the slots that may be at the target.
constexpr double minWaiting = 2.0;

/// Fraction of the slots with which a limiter starts.
constexpr double initialFraction = 0.25;

/// Assumed time for which a permit is held until one has been released.
constexpr Duration initialHold = 50ms;
/// Weight of the last permit in the mean.
constexpr double holdWeight = 0.1;

/// Bounds of the time after which a query that was refused may be repeated.
constexpr Duration minRetryAfter = 20ms;
constexpr Duration maxRetryAfter = 2s;

} // namespace

ConcurrencyLimiter::ConcurrencyLimiter(ConcurrencyLimiterOptions options)
    : m_options(options),
      m_limit(std::max(1.0, initialFraction * static_cast<double>(options.slots))),
      m_ceiling(
              static_cast<double>(options.slots)
              + std::max(minWaiting, options.waitingFraction * static_cast<double>(options.slots))),
      m_meanHold(initialHold)
{ }

ConcurrencyVerdict ConcurrencyLimiter::acquire(const ConcurrencyQuery &query, Instant now)
{
    removeLapsed(now);
    raise(now);
    if (m_waiting.empty() && isRoom(now)) {
        grant(query, now);
        return {.outcome = ConcurrencyOutcome::Granted};
    }
    const auto place = m_waiting.upper_bound(QueueKey(query.priority, m_arrivals));
    const size_t ahead = static_cast<size_t>(std::distance(m_waiting.begin(), place));
    const bool isInTime = toSeconds(expectedWait(ahead))
                          <= toSeconds(query.maxWait) * m_options.expectedWaitFraction;
    if (m_waiting.size() >= m_options.maxWaiting || !isInTime) {
        return refusal();
    }
    m_waiting.emplace(QueueKey(query.priority, m_arrivals++),
                      WaitingQuery{.query = query, .since = now});
    return {.outcome = ConcurrencyOutcome::Waiting};
}

void ConcurrencyLimiter::release(uint64_t id, const ConcurrencyFeedback &feedback, Instant now)
{
    removeLapsed(now);
    const auto found = m_permits.find(id);
    if (found != m_permits.end() && !feedback.wasRefused) {
        const double hold = static_cast<double>((now - found->second.grantedAt).count());
        const double mean = static_cast<double>(m_meanHold.count());
        m_meanHold = Duration(
                static_cast<Duration::rep>(mean * (1.0 - holdWeight) + hold * holdWeight));
    }
    applyFeedback(feedback, now);
    if (found != m_permits.end()) {
        m_permits.erase(found);
    }
}

void ConcurrencyLimiter::cancel(uint64_t id, Instant now)
{
    removeLapsed(now);
    m_permits.erase(id);
    std::erase_if(m_waiting, [id](const std::pair<const QueueKey, WaitingQuery> &entry) {
        return entry.second.query.id == id;
    });
}

std::vector<std::pair<uint64_t, ConcurrencyVerdict>> ConcurrencyLimiter::takeDecisions(Instant now)
{
    removeLapsed(now);
    raise(now);
    std::vector<std::pair<uint64_t, ConcurrencyVerdict>> decisions;
    while (!m_waiting.empty() && isRoom(now)) {
        const WaitingQuery entry = m_waiting.begin()->second;
        m_waiting.erase(m_waiting.begin());
        if (now - entry.since > entry.query.maxWait) {
            decisions.emplace_back(entry.query.id, refusal());
            continue;
        }
        grant(entry.query, now);
        decisions.emplace_back(entry.query.id,
                               ConcurrencyVerdict{.outcome = ConcurrencyOutcome::Granted});
    }
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        if (now - it->second.since >= it->second.query.maxWait) {
            decisions.emplace_back(it->second.query.id, refusal());
            it = m_waiting.erase(it);
        } else {
            ++it;
        }
    }
    return decisions;
}

std::optional<Instant> ConcurrencyLimiter::nextDecision() const
{
    std::optional<Instant> next;
    for (const std::pair<const QueueKey, WaitingQuery> &entry : m_waiting) {
        const Instant due = entry.second.since + entry.second.query.maxWait;
        next = std::min(next.value_or(due), due);
    }
    return next;
}

size_t ConcurrencyLimiter::limit() const
{
    return static_cast<size_t>(std::max(1.0, std::floor(std::min(m_limit, m_ceiling))));
}

bool ConcurrencyLimiter::isRoom(Instant now) const
{
    if (m_permits.empty()) {
        // One request may always find out whether there is room, unless the target has refused as
        // many as it bears.
        const std::chrono::duration<double> pause(2.0 / std::max(1.0, m_options.bearableRefusals));
        return !m_refusedAt || now - *m_refusedAt >= pause;
    }
    const bool isKnown = m_foreignAt && now - *m_foreignAt < m_options.foreignLoadMaxAge;
    const double foreign = isKnown ? m_foreign : 0.0;
    return static_cast<double>(m_permits.size()) + foreign + 1.0 <= static_cast<double>(limit());
}

Duration ConcurrencyLimiter::expectedWait(size_t ahead) const
{
    return m_meanHold * static_cast<int64_t>(ahead + 1) / static_cast<int64_t>(limit());
}

ConcurrencyVerdict ConcurrencyLimiter::refusal()
{
    // Those that are refused one after the other return one after the other.
    const Duration after = expectedWait(m_waiting.size() + m_refusedSinceGrant);
    ++m_refusedSinceGrant;
    return {.outcome = ConcurrencyOutcome::Refused,
            .retryAfter = std::clamp<Duration>(after, minRetryAfter, maxRetryAfter)};
}

void ConcurrencyLimiter::grant(const ConcurrencyQuery &query, Instant now)
{
    m_refusedSinceGrant = 0;
    m_permits.insert_or_assign(query.id, Permit{.grantedAt = now, .lapsesAt = now + query.term});
}

void ConcurrencyLimiter::removeLapsed(Instant now)
{
    std::erase_if(m_permits, [now](const std::pair<const uint64_t, Permit> &permit) {
        return now >= permit.second.lapsesAt;
    });
}

/// Raises the ceiling after a refusal, up to what the target took before.
void ConcurrencyLimiter::raise(Instant now)
{
    if (!m_loweredAt || now - *m_loweredAt < m_options.increaseInterval) {
        return;
    }
    const double slots = static_cast<double>(m_options.slots);
    const double highest = slots + std::max(minWaiting, m_options.waitingFraction * slots);
    m_ceiling = std::min(highest, m_ceiling + 1.0);
    m_loweredAt = m_ceiling < highest ? std::optional(now) : std::nullopt;
}

void ConcurrencyLimiter::applyFeedback(const ConcurrencyFeedback &feedback, Instant now)
{
    const double permits = static_cast<double>(m_permits.size());
    const double present = feedback.running ? static_cast<double>(*feedback.running)
                                                      + static_cast<double>(feedback.waiting)
                                            : permits;
    if (feedback.running) {
        m_foreign = std::max(0.0, present - permits);
        m_foreignAt = now;
    }
    if (!feedback.wasRefused) {
        m_limit = std::min(m_limit + 1.0, m_ceiling);
        return;
    }
    // A target that loads weights refuses requests although it has room.
    const bool hasRoom
            = feedback.running && feedback.waiting == 0 && *feedback.running < m_options.slots;
    if (!hasRoom) {
        const double slots = static_cast<double>(m_options.slots);
        const double taken = present < m_ceiling
                                     ? present
                                     : std::max(m_ceiling - 1.0, std::min(present, slots));
        m_ceiling = std::max(1.0, taken);
        m_limit = std::min(m_limit, m_ceiling);
        m_refusedAt = now;
        m_loweredAt = now;
    }
}

} // namespace teaseldrift
