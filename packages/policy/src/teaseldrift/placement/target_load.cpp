#include "teaseldrift/placement/target_load.hpp"

#include <algorithm>

namespace teaseldrift::placement {

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

LoadEstimate TargetLoad::estimate(const LoadReport &report, double prefillTokensPerSecond,
                                  Duration staleReport, Instant now)
{
    const bool usable = report.reportedAt && now - *report.reportedAt < staleReport;
    // Without a report the ended work carries no information; with an old one, it corrects it.
    dropReported(report.reportedAt.value_or(now));
    double inFlight = usable ? double{1} * report.running + report.queued : 0.0;
    double computing = 0.0;
    double sentSince = 0.0;
    for (const OwnWork &work : m_work) {
        const bool counted = usable && work.startedAt <= *report.reportedAt;
        const bool ended = work.finishedAt != Instant::max();
        if (counted && ended) {
            inFlight -= 1.0;
        } else if (!counted && !ended) {
            inFlight += 1.0;
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
    return {
            .inFlight = std::max(inFlight, static_cast<double>(m_inFlight)),
            .backlogTokens = std::max(computing, reported),
            .stale = !usable,
    };
}

} // namespace teaseldrift::placement
