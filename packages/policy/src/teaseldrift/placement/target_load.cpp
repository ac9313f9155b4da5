#include "teaseldrift/placement/target_load.hpp"

#include <algorithm>

namespace teaseldrift::placement {

namespace {

/// Weight of one report in the moving averages.
constexpr double meanLearningRate = 0.15;

} // namespace

void TargetLoad::started(uint64_t attemptId, uint32_t prefillTokens, Instant now)
{
    m_localAttempts.push_back(
            {.attemptId = attemptId, .prefillTokens = prefillTokens, .startedAt = now});
    ++m_inFlight;
}

void TargetLoad::firstToken(uint64_t attemptId, Instant now)
{
    const auto attempt = std::ranges::find(m_localAttempts, attemptId, &LocalAttempt::attemptId);
    if (attempt != m_localAttempts.end()) {
        attempt->firstTokenAt = std::min(attempt->firstTokenAt, now);
    }
}

void TargetLoad::finished(uint64_t attemptId, Instant now)
{
    const auto attempt = std::ranges::find(m_localAttempts, attemptId, &LocalAttempt::attemptId);
    if (attempt == m_localAttempts.end() || attempt->finishedAt != Instant::max()) {
        return;
    }
    attempt->finishedAt = now;
    attempt->firstTokenAt = std::min(attempt->firstTokenAt, now);
    --m_inFlight;
}

void TargetLoad::removeReported(Instant reportedAt)
{
    std::erase_if(m_localAttempts, [reportedAt](const LocalAttempt &attempt) {
        return attempt.finishedAt <= reportedAt;
    });
}

void TargetLoad::updateMeans(const LoadReport &report)
{
    if (!report.reportedAt || report.reportedAt == m_lastReport) {
        return;
    }
    const double rate = m_lastReport ? meanLearningRate : 1.0;
    m_lastReport = report.reportedAt;
    m_meanBacklog += rate * (static_cast<double>(report.prefillBacklogTokens) - m_meanBacklog);
    m_meanInFlight += rate * (double{1} * report.running + report.queued - m_meanInFlight);
}

LoadEstimate TargetLoad::estimate(const LoadReport &report, double prefillTokensPerSecond,
                                  Duration maxReportAge, double trafficShare, Instant now)
{
    const bool usable = report.reportedAt && now - *report.reportedAt < maxReportAge;
    updateMeans(report);
    // Attempts that have ended are needed only to correct a usable report.
    removeReported(usable ? *report.reportedAt : now);
    const double reportedInFlight = usable ? double{1} * report.running + report.queued : 0.0;
    double localChange = 0.0;
    double uncomputedTokens = 0.0;
    double sentTokens = 0.0;
    for (const LocalAttempt &attempt : m_localAttempts) {
        const bool isReported = usable && attempt.startedAt <= *report.reportedAt;
        const bool hasEnded = attempt.finishedAt != Instant::max();
        if (isReported && hasEnded) {
            localChange -= 1.0;
        } else if (!isReported && !hasEnded) {
            localChange += 1.0;
        }
        if (!isReported) {
            sentTokens += attempt.prefillTokens;
            uncomputedTokens += attempt.firstTokenAt == Instant::max() ? attempt.prefillTokens : 0;
        }
    }
    double reportedBacklog = 0.0;
    if (usable) {
        const double computed = prefillTokensPerSecond * toSeconds(now - *report.reportedAt);
        reportedBacklog = static_cast<double>(report.prefillBacklogTokens) + sentTokens - computed;
    }
    const double localCount = m_inFlight;
    return {
            .inFlight = std::max(reportedInFlight + localChange, localCount),
            .fleetInFlight = std::max(reportedInFlight + localChange / trafficShare, localCount),
            .backlogTokens = std::max(uncomputedTokens, reportedBacklog),
            .meanBacklogTokens = m_meanBacklog,
            .meanInFlight = m_meanInFlight,
            .stale = !usable,
    };
}

} // namespace teaseldrift::placement
