#pragma once

#include <cstdint>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief Configuration of a retry budget.
struct RetryBudgetOptions
{
    /// Retries earned per request.
    double ratio = 0.2;
    /// Level up to which the budget refills without traffic; also its initial level.
    double floor = 10.0;
    /// Maximum number of retries that can accumulate.
    double capacity = 100.0;
    /// Additional retries reserved for streams that have already been partly delivered.
    double streamReserve = 100.0;
    /// Refill rate up to the floor, independent of traffic.
    double floorRefillPerSecond = 1.0;
};

/// @brief Priority of a retry.
enum class RetryPriority {
    Normal,
    /// A stream that the caller has already received in part; may use the reserve.
    StartedStream,
};

/// @brief Limits retries to a fraction of requests, so that retries cannot amplify an overload.
///
/// teaseldriftd has one budget per organisation, teaseldrift-edge one per service
/// (ServiceRetryBudgets).
///
/// ```cpp
/// budget.countRequest();
/// if (budget.tryAcquire(now, RetryPriority::Normal)) { ... }
/// ```
class RetryBudget
{
public:
    /// @brief Starts at the floor and with the whole reserve.
    explicit RetryBudget(RetryBudgetOptions options = {});

    /// @brief Starts empty, without a reserve, and refills from `startedAt`.
    ///
    /// For a budget that is part of a shared limit: a process that starts again may already have
    /// spent its part.
    RetryBudget(RetryBudgetOptions options, Instant startedAt);

    /// @brief Replaces the configuration. Remaining retries, reserve included, are kept up to their
    /// new maximum; a larger reserve or floor has to be refilled first.
    void setOptions(const RetryBudgetOptions &options, Instant now);

    /// @brief Records a first attempt, which earns a fraction of a retry.
    void countRequest();

    /// @brief Takes one retry from the budget.
    /// @return false if the budget is exhausted
    [[nodiscard]] bool tryAcquire(Instant now, RetryPriority priority);

    /// @brief Whether tryAcquire() would return true.
    [[nodiscard]] bool canAcquire(Instant now, RetryPriority priority);

    /// @brief Number of retries taken so far.
    [[nodiscard]] uint64_t acquired() const { return m_acquired; }

private:
    void refill(Instant now);

    RetryBudgetOptions m_options;
    double m_tokens;
    Instant m_lastRefill;
    uint64_t m_acquired = 0;
};

} // namespace teaseldrift
