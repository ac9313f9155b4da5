#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/placement/views.hpp"

namespace teaseldrift::placement {

/// @brief Estimate of a target's current load.
struct LoadEstimate
{
    double inFlight = 0.0;
    /// Requests in flight, assuming that since the report the other VMs' requests have changed like
    /// this VM's.
    double fleetInFlight = 0.0;
    double backlogTokens = 0.0;
    /// Moving averages of the reports, which vary less than a single report.
    double meanBacklogTokens = 0.0;
    double meanInFlight = 0.0;
    /// The report is missing or too old to be used.
    bool stale = false;
};

/// @brief Tracks this VM's attempts on one target to correct the target's delayed load reports.
///
/// A report lacks the requests that this VM has sent since it was made, and still includes those
/// that have ended since.
class TargetLoad
{
public:
    void started(uint64_t attemptId, uint32_t prefillTokens, Instant now);
    void firstToken(uint64_t attemptId, Instant now);
    void finished(uint64_t attemptId, Instant now);

    /// @brief Requests from this VM in flight.
    uint32_t localInFlight() const { return m_inFlight; }

    /// @param prefillTokensPerSecond rate at which the reported backlog shrinks
    /// @param maxReportAge age from which a report is ignored
    /// @param trafficShare this VM's share of the target's requests
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
