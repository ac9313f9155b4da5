#include "teaseldrift/homes/entry_answer.hpp"

#include <algorithm>

namespace teaseldrift::homes {

EntryAnswer entryAnswer(const EntryQuestion &question, std::span<const VmView> vms,
                        const EntryOptions &options)
{
    std::vector<size_t> chosen = homeSet(question.organisation, vms, options.homeSet);
    if (question.prefixRoot.has_value()) {
        chosen = homesOfPrefix(*question.prefixRoot, vms, chosen, options.homesPerPrefix);
    }
    std::stable_partition(chosen.begin(), chosen.end(), [&](size_t index) {
        return vms[index].availabilityZone == question.availabilityZone;
    });
    return {.vms = std::move(chosen), .lifetime = options.lifetime};
}

} // namespace teaseldrift::homes
