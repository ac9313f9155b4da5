#include "teaseldrift/allowance/vm_registry.hpp"

#include <algorithm>

namespace teaseldrift::allowance {

namespace {

constexpr size_t maximumVanished = 1024;

bool contains(std::span<const homes::VmView> vms, std::string_view id)
{
    return std::any_of(vms.begin(), vms.end(),
                       [id](const homes::VmView &vm) { return vm.id == id; });
}

} // namespace

void VmRegistry::update(std::span<const homes::VmView> vms, Instant now)
{
    for (const homes::VmView &vm : m_vms) {
        if (!contains(vms, vm.id)) {
            m_vanished.push_back(vm.id);
        }
    }
    if (m_vanished.size() > maximumVanished) {
        const size_t surplus = m_vanished.size() - maximumVanished;
        m_vanished.erase(m_vanished.begin(),
                         m_vanished.begin() + static_cast<std::ptrdiff_t>(surplus));
    }
    m_vms.assign(vms.begin(), vms.end());
    m_viewAt = now;
}

bool VmRegistry::isListed(std::string_view vm) const
{
    return contains(m_vms, vm);
}

std::string_view VmRegistry::zoneOf(std::string_view vm) const
{
    const auto found = std::find_if(m_vms.begin(), m_vms.end(),
                                    [vm](const homes::VmView &view) { return view.id == vm; });
    return found == m_vms.end() ? std::string_view() : found->availabilityZone;
}

bool VmRegistry::isGone(std::string_view vm, Instant knownSince) const
{
    if (isListed(vm)) {
        return false;
    }
    const bool vanished = std::find(m_vanished.begin(), m_vanished.end(), vm) != m_vanished.end();
    return vanished || m_viewAt > knownSince + m_listLag;
}

} // namespace teaseldrift::allowance
