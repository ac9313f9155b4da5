#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/placement/views.hpp"

namespace teaseldrift::placement {

/// @brief A target's load as estimated for this moment.
struct LoadEstimate
{
    double inFlight = 0.0;
    /// Requests in flight if the other VMs have done since the report as this VM has.
    double fleetInFlight = 0.0;
    double backlogTokens = 0.0;
    /// Means over the last reports, which vary less than one report.
    double meanBacklogTokens = 0.0;
    double meanInFlight = 0.0;
    /// The report is missing or too old to rely on.
    bool stale = false;
};

/// @brief This VM's own work on one target, which corrects the target's lagging reports.
///
/// A report says nothing of requests that this VM has sent since, and still counts those that
/// have ended since.
class TargetLoad
{
public:
    void started(uint64_t attemptId, uint32_t prefillTokens, Instant now);
    void firstToken(uint64_t attemptId, Instant now);
    void finished(uint64_t attemptId, Instant now);

    /// @brief Own requests in flight.
    uint32_t localInFlight() const { return m_inFlight; }

    /// @param prefillTokensPerSecond speed at which the reported backlog shrinks
    /// @param maxReportAge age from which a report is not relied on
    /// @param trafficShare this VM's part of the requests that the target gets
    LoadEstimate estimate(const LoadReport &report, double prefillTokensPerSecond,
                          Duration maxReportAge, double trafficShare, Instant now);

private:
    struct LocalAttempt
    {
        uint64_t attemptId = 0;
        uint32_t prefillTokens = 0;
        Instant startedAt{};
        Instant firstTokenAt = Instant::max();
        Instant finishedAt = Instant::max();
    };

    void removeReported(Instant reportedAt);
    void updateMeans(const LoadReport &report);

    std::vector<LocalAttempt> m_localAttempts;
    std::optional<Instant> m_lastReport;
    double m_meanBacklog = 0.0;
    double m_meanInFlight = 0.0;
    uint32_t m_inFlight = 0;
};

} // namespace teaseldrift::placement
