#include "teaseldrift/allowance/vm_registry.hpp"

#include <algorithm>
#include <utility>

namespace teaseldrift::allowance {

namespace {

constexpr size_t maximumRemovedVms = 1024;

bool isBefore(const homes::VmView &left, const homes::VmView &right)
{
    return left.id < right.id;
}

} // namespace

bool VmRegistry::update(std::span<const homes::VmView> vms, Instant readAt)
{
    m_viewAt = readAt;
    std::vector<homes::VmView> sorted(vms.begin(), vms.end());
    std::sort(sorted.begin(), sorted.end(), isBefore);
    if (sorted == m_vms) {
        return false;
    }
    const std::vector<homes::VmView> former = std::exchange(m_vms, std::move(sorted));
    for (const homes::VmView &vm : former) {
        if (!isListed(vm.id)) {
            m_removed.push_back(vm.id);
        }
    }
    if (m_removed.size() > maximumRemovedVms) {
        const size_t surplus = m_removed.size() - maximumRemovedVms;
        m_removed.erase(m_removed.begin(),
                        m_removed.begin() + static_cast<std::ptrdiff_t>(surplus));
    }
    return true;
}

const homes::VmView *VmRegistry::find(std::string_view vm) const
{
    const auto found = std::lower_bound(
            m_vms.begin(), m_vms.end(), vm,
            [](const homes::VmView &view, std::string_view id) { return view.id < id; });
    return found != m_vms.end() && found->id == vm ? &*found : nullptr;
}

bool VmRegistry::isListed(std::string_view vm) const
{
    return find(vm) != nullptr;
}

std::string_view VmRegistry::zoneOf(std::string_view vm) const
{
    const homes::VmView *view = find(vm);
    return view == nullptr ? std::string_view() : view->availabilityZone;
}

bool VmRegistry::isGone(std::string_view vm, Instant knownSince) const
{
    if (isListed(vm)) {
        return false;
    }
    const bool wasRemoved = std::find(m_removed.begin(), m_removed.end(), vm) != m_removed.end();
    return wasRemoved || m_viewAt > knownSince + m_maximumListAge;
}

} // namespace teaseldrift::allowance
