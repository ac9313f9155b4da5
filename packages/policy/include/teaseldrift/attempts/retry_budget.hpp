#pragma once

#include <cstdint>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief Bounds of a retry budget.
struct RetryBudgetOptions
{
    /// Retries allowed per request seen.
    double ratio = 0.2;
    /// Retries allowed when no request has been seen for long.
    double floor = 10.0;
    /// Most retries that can be saved up.
    double capacity = 100.0;
    /// Further retries that only streams already delivered in part may use.
    double streamReserve = 100.0;
    /// Retries regained per second up to the floor, whatever the traffic.
    double floorRefillPerSecond = 1.0;
};

/// @brief What a retry is for.
enum class RetryPriority {
    Normal,
    /// A stream of which the caller already has a part.
    StartedStream,
};

/// @brief Keeps retries to a fraction of requests, so that they cannot multiply an overload.
///
/// One is kept per organisation and one per target.
///
/// ```cpp
/// budget.countRequest();
/// if (budget.tryAcquire(now, RetryPriority::Normal)) { ... }
/// ```
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options = {});

    /// @brief Changes the bounds; what is left is kept, but never above the new capacity.
    void setOptions(const RetryBudgetOptions &options);

    /// @brief A first attempt was made.
    void countRequest();

    /// @brief Takes one retry out of the budget.
    /// @return false if the budget is spent
    [[nodiscard]] bool tryAcquire(Instant now, RetryPriority priority);

    /// @brief Retries left for normal use; negative while started streams use the reserve.
    [[nodiscard]] double available() const { return m_tokens; }

private:
    void refill(Instant now);

    RetryBudgetOptions m_options;
    double m_tokens;
    Instant m_lastRefill;
};

} // namespace teaseldrift
