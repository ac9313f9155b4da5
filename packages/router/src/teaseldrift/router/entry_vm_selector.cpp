#include "teaseldrift/router/entry_vm_selector.hpp"

#include <nlohmann/json.hpp>

#include "teaseldrift/base/rendezvous.hpp"
#include "teaseldrift/homes/entry_response.hpp"

namespace teaseldrift::router {

EntryVmSelector::EntryVmSelector(std::string availabilityZone)
    : m_availabilityZone(std::move(availabilityZone))
{ }

void EntryVmSelector::setVms(std::vector<EntryVm> vms)
{
    m_vms = std::move(vms);
    m_views.clear();
    for (const EntryVm &vm : m_vms) {
        m_views.push_back(vm.view);
    }
}

std::string EntryVmSelector::responseJson(std::string_view organisation, std::string_view prefix,
                                          Duration lifetime) const
{
    homes::EntryQuery query{.organisation = organisation, .availabilityZone = m_availabilityZone};
    if (!prefix.empty()) {
        query.prefixRoot = rendezvousKey(prefix);
    }
    const homes::EntryResponse response
            = homes::selectEntryVms(query, m_views, {.lifetime = lifetime});
    nlohmann::json addresses = nlohmann::json::array();
    for (const size_t index : response.vms) {
        addresses.push_back(http::toString(m_vms[index].endpoint));
    }
    const nlohmann::json body = {
            {"addresses", addresses},
            {"lifetime_ms",
             std::chrono::duration_cast<std::chrono::milliseconds>(response.lifetime).count()},
    };
    return body.dump();
}

} // namespace teaseldrift::router
