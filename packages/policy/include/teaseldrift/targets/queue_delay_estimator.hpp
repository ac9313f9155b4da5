#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief Bounds of the estimate.
struct QueueDelayEstimatorOptions
{
    /// Weight of a new observation against the estimate so far.
    double gain = 0.4;
    /// Time in which an estimate without news loses half of its value: queues drain.
    Duration halfLife = 700ms;
};

/// @brief How long prompts wait at one target before they are read, by what this VM's own requests
/// have met there.
///
/// The wait is caused by the requests of all VMs, so it tells about load that this VM cannot see.
/// Requests that are still unread count with the time that they have waited so far.
class QueueDelayEstimator
{
public:
    /// Urgencies that are told apart; less urgent ones share the last.
    static constexpr size_t priorityLevels = 4;

    explicit QueueDelayEstimator(QueueDelayEstimatorOptions options = {});

    /// @brief A request was sent.
    /// @param serviceTime time that it takes by itself, without a queue
    /// @return a ticket for ended()
    uint64_t sent(uint32_t priority, Duration serviceTime, Instant now);

    /// @brief The request's prompt was read.
    void prefillFinished(uint64_t ticket, Instant now);

    /// @brief The request ended without its prompt being read.
    void dropped(uint64_t ticket);

    /// @brief How long the longest of the unread requests has waited: a lower bound for a new one.
    [[nodiscard]] Duration longestPendingWait(uint32_t priority, Instant now) const;

    /// @brief Expected wait of a new request.
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
