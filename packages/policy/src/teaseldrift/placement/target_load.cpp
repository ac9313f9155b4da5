#include "teaseldrift/placement/target_load.hpp"

#include <algorithm>

namespace teaseldrift::placement {

namespace {

/// Weight of one report in the means.
constexpr double meanLearningRate = 0.15;

} // namespace

void TargetLoad::started(uint64_t attemptId, uint32_t prefillTokens, Instant now)
{
    m_work.push_back({.attemptId = attemptId, .prefillTokens = prefillTokens, .startedAt = now});
    ++m_inFlight;
}

void TargetLoad::firstToken(uint64_t attemptId, Instant now)
{
    const auto work = std::ranges::find(m_work, attemptId, &OwnWork::attemptId);
    if (work != m_work.end()) {
        work->firstTokenAt = std::min(work->firstTokenAt, now);
    }
}

void TargetLoad::finished(uint64_t attemptId, Instant now)
{
    const auto work = std::ranges::find(m_work, attemptId, &OwnWork::attemptId);
    if (work == m_work.end() || work->finishedAt != Instant::max()) {
        return;
    }
    work->finishedAt = now;
    work->firstTokenAt = std::min(work->firstTokenAt, now);
    --m_inFlight;
}

void TargetLoad::dropReported(Instant reportedAt)
{
    std::erase_if(m_work,
                  [reportedAt](const OwnWork &work) { return work.finishedAt <= reportedAt; });
}

void TargetLoad::learnMean(const LoadReport &report)
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
                                  Duration staleReport, double trafficShare, Instant now)
{
    const bool usable = report.reportedAt && now - *report.reportedAt < staleReport;
    learnMean(report);
    // Ended work corrects a usable report; without one it carries no information.
    dropReported(usable ? *report.reportedAt : now);
    const double reportedInFlight = usable ? double{1} * report.running + report.queued : 0.0;
    double ownChange = 0.0;
    double computing = 0.0;
    double sentSince = 0.0;
    for (const OwnWork &work : m_work) {
        const bool counted = usable && work.startedAt <= *report.reportedAt;
        const bool ended = work.finishedAt != Instant::max();
        if (counted && ended) {
            ownChange -= 1.0;
        } else if (!counted && !ended) {
            ownChange += 1.0;
        }
        if (!counted) {
            sentSince += work.prefillTokens;
            computing += work.firstTokenAt == Instant::max() ? work.prefillTokens : 0;
        }
    }
    double reported = 0.0;
    if (usable) {
        const double computed = prefillTokensPerSecond * toSeconds(now - *report.reportedAt);
        reported = static_cast<double>(report.prefillBacklogTokens) + sentSince - computed;
    }
    const double own = m_inFlight;
    return {
            .inFlight = std::max(reportedInFlight + ownChange, own),
            .inFlightOfAll = std::max(reportedInFlight + ownChange / trafficShare, own),
            .backlogTokens = std::max(computing, reported),
            .meanBacklogTokens = m_meanBacklog,
            .meanInFlight = m_meanInFlight,
            .stale = !usable,
    };
}

} // namespace teaseldrift::placement
