#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

struct QuietPeriodOptions
{
    /// Interval between requests to a target after its quiet period, until it has accepted one.
    Duration recoveryInterval = 100ms;
    /// Time after the quiet period from which the interval no longer applies.
    Duration recoveryTime = 1s;
};

/// @brief Times during which targets have asked this VM to send them nothing.
class QuietPeriods
{
public:
    explicit QuietPeriods(QuietPeriodOptions options = {}) : m_options(options) { }

    /// @brief Starts or extends the quiet period of an incarnation.
    void start(std::string_view id, uint64_t startedAtMs, Duration time, Instant now);

    /// @brief Applies a quiet period to a new incarnation if that incarnation may have stated it:
    /// a registration can be read after responses of the incarnation.
    /// @param since time from which responses are those of the new incarnation
    void restarted(std::string_view id, uint64_t startedAtMs, Instant since);

    /// @brief Whether the target is in its quiet period.
    [[nodiscard]] bool isQuiet(std::string_view id, uint64_t startedAtMs, Instant now) const;

    /// @brief Earliest time at which a request may be sent; not after `now` if at once.
    [[nodiscard]] Instant availableFrom(std::string_view id, uint64_t startedAtMs,
                                        Instant now) const;

    /// @brief Records a request to the target.
    void sent(std::string_view id, Instant now);

    /// @brief Ends the recovery: the target has accepted a request after its quiet period.
    void accepted(std::string_view id, Instant now);

private:
    struct Period
    {
        uint64_t startedAtMs = 0;
        /// Time of the response that stated `endsAt`.
        Instant statedAt;
        Instant endsAt;
        /// Earliest time of the next request during the recovery.
        Instant nextRequest;
    };

    [[nodiscard]] const Period *find(std::string_view id, uint64_t startedAtMs) const;

    QuietPeriodOptions m_options;
    std::map<std::string, Period, std::less<>> m_periods;
};

} // namespace teaseldrift
