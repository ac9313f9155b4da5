#include "teaseldrift/homes/home_set.hpp"

#include <algorithm>
#include <cmath>

#include "teaseldrift/base/rendezvous.hpp"

namespace teaseldrift::homes {

namespace {

std::vector<RendezvousMember> liveMembers(std::span<const VmView> vms)
{
    std::vector<RendezvousMember> members;
    members.reserve(vms.size());
    for (const VmView &vm : vms) {
        members.push_back({.id = vm.id, .weight = vm.leaving ? 0.0 : vm.weight});
    }
    return members;
}

std::vector<std::string_view> zonesOf(std::span<const VmView> vms, std::span<const size_t> order)
{
    std::vector<std::string_view> zones;
    zones.reserve(order.size());
    for (const size_t index : order) {
        zones.emplace_back(vms[index].availabilityZone);
    }
    std::sort(zones.begin(), zones.end());
    zones.erase(std::unique(zones.begin(), zones.end()), zones.end());
    return zones;
}

} // namespace

size_t homeCount(size_t vms, size_t zones, const HomeSetOptions &options)
{
    const double byTraffic = std::ceil(options.trafficShare * static_cast<double>(vms));
    const size_t least = zones >= options.minimumHomesOverZones ? options.minimumHomesOverZones
                                                                : options.minimumHomes;
    const size_t most = std::max(least, options.maximumHomes);
    const size_t wanted = std::clamp(static_cast<size_t>(std::max(byTraffic, 0.0)), least, most);
    return std::min(wanted, vms);
}

std::vector<size_t> homeSet(std::string_view organisation, std::span<const VmView> vms,
                            const HomeSetOptions &options)
{
    const std::vector<RendezvousMember> members = liveMembers(vms);
    const std::vector<size_t> order
            = rendezvousOrder(rendezvousKey(organisation), members, members.size());
    const std::vector<std::string_view> zones = zonesOf(vms, order);
    const size_t count = homeCount(order.size(), zones.size(), options);

    std::vector<size_t> homes;
    std::vector<bool> taken(vms.size(), false);
    // Each round takes at most one VM of each zone, so zones differ by one home at most while
    // they have VMs left.
    while (homes.size() < count) {
        std::vector<std::string_view> used;
        for (const size_t index : order) {
            const std::string_view zone = vms[index].availabilityZone;
            if (homes.size() == count) {
                break;
            }
            if (taken[index] || std::find(used.begin(), used.end(), zone) != used.end()) {
                continue;
            }
            taken[index] = true;
            used.push_back(zone);
            homes.push_back(index);
        }
    }
    return homes;
}

std::vector<size_t> homesOfPrefix(uint64_t prefixRoot, std::span<const VmView> vms,
                                  std::span<const size_t> homes, size_t count)
{
    std::vector<RendezvousMember> members;
    members.reserve(homes.size());
    for (const size_t home : homes) {
        members.push_back({.id = vms[home].id, .weight = vms[home].weight});
    }
    std::vector<size_t> chosen;
    for (const size_t index : rendezvousOrder(prefixRoot, members, std::max<size_t>(count, 1))) {
        chosen.push_back(homes[index]);
    }
    return chosen;
}

} // namespace teaseldrift::homes
