#include "teaseldrift/homes/entry_response.hpp"

#include <algorithm>

namespace teaseldrift::homes {

EntryResponse selectEntryVms(const EntryQuery &query, std::span<const VmView> vms,
                             const EntryOptions &options)
{
    std::vector<size_t> chosen = homeSet(query.organisation, vms, options.homeSet);
    if (query.prefixRoot.has_value()) {
        chosen = homesOfPrefix(*query.prefixRoot, vms, chosen, options.homesPerPrefix);
    }
    std::stable_partition(chosen.begin(), chosen.end(), [&](size_t index) {
        return vms[index].availabilityZone == query.availabilityZone;
    });
    return {.vms = std::move(chosen), .lifetime = options.lifetime};
}

} // namespace teaseldrift::homes
