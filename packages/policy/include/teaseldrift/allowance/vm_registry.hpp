#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/homes/home_set.hpp"

namespace teaseldrift::allowance {

/// @brief The platform's VM list, and the VMs that are known to have been removed from it.
class VmRegistry
{
public:
    /// @param maximumListAge maximum age of a snapshot at the time it is read
    explicit VmRegistry(Duration maximumListAge) : m_maximumListAge(maximumListAge) { }

    /// @brief Replaces the list by a newer snapshot.
    /// @param readAt time at which the read was started
    /// @return whether the list has changed
    bool update(std::span<const homes::VmView> vms, Instant readAt);

    [[nodiscard]] const std::vector<homes::VmView> &vms() const { return m_vms; }
    [[nodiscard]] bool isListed(std::string_view vm) const;

    /// @brief Availability zone of a VM; empty if the VM is not listed.
    [[nodiscard]] std::string_view zoneOf(std::string_view vm) const;

    /// @brief Whether a VM has certainly been removed from the list, and so can no longer spend.
    ///
    /// Absence alone is not sufficient, because the snapshot may be older than the VM. A VM is gone
    /// if an earlier snapshot contained it, or if the snapshot is certainly newer than knownSince.
    /// @param knownSince time at which this process learned that the VM had been listed
    [[nodiscard]] bool isGone(std::string_view vm, Instant knownSince) const;

private:
    Duration m_maximumListAge;
    /// Sorted by id.
    std::vector<homes::VmView> m_vms;
    /// Ids of the VMs removed last, oldest first.
    std::vector<std::string> m_removed;
    Instant m_viewAt{};

    [[nodiscard]] const homes::VmView *find(std::string_view vm) const;
};

} // namespace teaseldrift::allowance
