#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief How recent the configuration is by which a VM decides.
///
/// A VM whose confirmation is older than the time in which a change must be in force cannot refuse
/// a route or a key as nonexistent. If another VM has a newer version that was confirmed meanwhile,
/// the store works and only this VM is behind: it cannot decide any request. While the store
/// responds to no VM, its version stays in force.
class ConfigurationFreshness
{
public:
    /// @param applyTime time after a change from which requests must be decided by it
    explicit ConfigurationFreshness(Duration applyTime) : m_applyTime(applyTime) { }

    /// @brief A version is in force at this VM.
    void applied(uint64_t version)
    {
        m_version = version;
        // The others announce theirs again within a second.
        m_newerConfirmedAt = Instant();
    }

    /// @brief All changes up to a time are known.
    /// @param relayedBy VM that passed them on; empty if the store itself responded
    void confirmed(Instant confirmedAt, std::string_view relayedBy)
    {
        m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
        m_relayedBy = relayedBy;
    }

    /// @brief Another VM decides by a version.
    /// @param confirmedAt time up to which that VM has received all changes
    void announced(uint64_t version, Instant confirmedAt)
    {
        if (version > m_version) {
            m_newerConfirmedAt = std::max(m_newerConfirmedAt, confirmedAt);
        }
    }

    /// @brief Time since the last confirmation; 0 if there has been none, as without a store.
    [[nodiscard]] Duration age(Instant now) const
    {
        return m_confirmedAt == Instant() ? Duration(0) : now - m_confirmedAt;
    }

    /// @brief Whether this VM may lack a change that must be in force.
    [[nodiscard]] bool isOutdated(Instant now) const { return age(now) > m_applyTime; }

    /// @brief Whether this VM lacks a change that may have to be in force.
    [[nodiscard]] bool isBehind(Instant now) const
    {
        return isOutdated(now) && m_newerConfirmedAt != Instant()
               && now - m_newerConfirmedAt <= m_applyTime;
    }

    /// @brief VM that passed on the last confirmation; empty if the store itself responded.
    [[nodiscard]] std::string_view relayedBy() const { return m_relayedBy; }

private:
    Duration m_applyTime;
    uint64_t m_version = 0;
    /// Latest confirmation of another VM that has a newer version.
    Instant m_newerConfirmedAt;
    Instant m_confirmedAt;
    std::string m_relayedBy;
};

} // namespace teaseldrift
