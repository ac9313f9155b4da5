#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief Parameters of the estimate.
struct QueueDelayEstimatorOptions
{
    /// Weight of a new observation in the moving average.
    double gain = 0.4;
    /// Without new observations the estimate halves in this time, because queues drain.
    Duration halfLife = 700ms;
};

/// @brief Estimates how long prompts queue at one target before prefill, from the waits of this
/// VM's own requests.
///
/// The requests of all VMs cause the wait, so it reflects load that this VM cannot see. Requests
/// whose prefill has not finished count with the time they have waited so far.
class QueueDelayEstimator
{
public:
    /// Priorities that are estimated separately; all lower priorities share the last level.
    static constexpr size_t priorityLevels = 4;

    explicit QueueDelayEstimator(QueueDelayEstimatorOptions options = {});

    /// @brief Records that a request was sent.
    /// @param serviceTime expected time to its first event without a queue
    /// @return ticket for prefillFinished() or dropped()
    uint64_t sent(uint32_t priority, Duration serviceTime, Instant now);

    /// @brief Records the request's wait.
    void prefillFinished(uint64_t ticket, Instant now);

    /// @brief Forgets a request that ended before its prefill finished.
    void dropped(uint64_t ticket);

    /// @brief Longest wait so far among pending requests: a lower bound for a new request.
    [[nodiscard]] Duration longestPendingWait(uint32_t priority, Instant now) const;

    /// @brief Expected wait of a new request in the queue.
    [[nodiscard]] Duration expectedWait(uint32_t priority, Instant now) const;

private:
    struct Pending
    {
        uint64_t ticket = 0;
        size_t level = 0;
        Duration serviceTime{0};
        Instant sentAt;
    };

    struct Estimate
    {
        double ms = 0.0;
        Instant at;
    };

    [[nodiscard]] double longestPendingWaitMs(size_t level, Instant now) const;
    [[nodiscard]] double decayed(const Estimate &estimate, Instant now) const;

    QueueDelayEstimatorOptions m_options;
    uint64_t m_lastTicket = 0;
    std::vector<Pending> m_pending;
    std::array<Estimate, priorityLevels> m_estimates{};
};

} // namespace teaseldrift
