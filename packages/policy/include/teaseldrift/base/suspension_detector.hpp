#pragma once

#include <optional>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

struct SuspensionDetectorOptions
{
    /// A longer delay between two periodic calls is a suspension.
    Duration threshold = 1s;
    /// Time after a suspension during which messages may still arrive that were sent in it.
    Duration settlingTime = 2s;
};

/// @brief Detects that the process did not run for a while, from the times of a periodic call.
///
/// What arrives during a suspension is handled after it, so its age is unknown.
///
/// ```cpp
/// detector.tick(now); // several times within the threshold
/// if (detector.suspendedSince(now)) { ... }
/// ```
class SuspensionDetector
{
public:
    explicit SuspensionDetector(Instant now, SuspensionDetectorOptions options = {})
        : m_options(options), m_lastTickAt(now)
    { }

    /// @return length of the suspension that this call ends; 0 if there was none
    Duration tick(Instant now)
    {
        const Duration gap = now - m_lastTickAt;
        const bool wasSuspended = gap > m_options.threshold;
        if (wasSuspended) {
            m_suspendedAt = m_lastTickAt;
            m_resumedAt = now;
        }
        m_lastTickAt = now;
        return wasSuspended ? gap : Duration(0);
    }

    /// @brief Start of the present or last suspension; empty once its settling time is over.
    [[nodiscard]] std::optional<Instant> suspendedSince(Instant now) const
    {
        if (now - m_lastTickAt > m_options.threshold) {
            return m_lastTickAt;
        }
        const bool isSettling = m_suspendedAt && now - m_resumedAt < m_options.settlingTime;
        return isSettling ? m_suspendedAt : std::nullopt;
    }

private:
    SuspensionDetectorOptions m_options;
    Instant m_lastTickAt;
    std::optional<Instant> m_suspendedAt;
    Instant m_resumedAt;
};

} // namespace teaseldrift
