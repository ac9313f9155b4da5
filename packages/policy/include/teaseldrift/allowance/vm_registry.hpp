#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/homes/home_set.hpp"

namespace teaseldrift::allowance {

/// @brief The platform's list as this VM has seen it, and what it proves.
class VmRegistry
{
public:
    /// @param maximumListAge longest age of a view
    explicit VmRegistry(Duration maximumListAge) : m_maximumListAge(maximumListAge) { }

    /// @brief Takes a view that is newer than the last.
    /// @param readAt when the read was started
    /// @return whether it differs from the last
    bool update(std::span<const homes::VmView> vms, Instant readAt);

    [[nodiscard]] const std::vector<homes::VmView> &vms() const { return m_vms; }
    [[nodiscard]] bool isListed(std::string_view vm) const;

    /// @brief Zone of a listed VM, empty if it is not listed.
    [[nodiscard]] std::string_view zoneOf(std::string_view vm) const;

    /// @brief Whether a VM has provably left the list, and so can no longer spend.
    ///
    /// Absence alone is no proof: the view may be older than the VM. It is one after an earlier
    /// view showed the VM, or once the view is newer than the moment at which the VM was known.
    /// @param knownSince when this process learned that the VM had been listed
    [[nodiscard]] bool isGone(std::string_view vm, Instant knownSince) const;

private:
    Duration m_maximumListAge;
    /// Ordered by id.
    std::vector<homes::VmView> m_vms;
    /// The VMs that vanished last, oldest first.
    std::vector<std::string> m_removed;
    Instant m_viewAt{};

    [[nodiscard]] const homes::VmView *find(std::string_view vm) const;
};

} // namespace teaseldrift::allowance
