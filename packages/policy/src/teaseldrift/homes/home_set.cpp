#include "teaseldrift/homes/home_set.hpp"

#include <algorithm>
#include <cmath>

#include "teaseldrift/base/rendezvous.hpp"

namespace teaseldrift::homes {

namespace {

std::vector<RendezvousMember> rendezvousMembers(std::span<const VmView> vms)
{
    std::vector<RendezvousMember> members;
    members.reserve(vms.size());
    for (const VmView &vm : vms) {
        members.push_back({.id = vm.id, .weight = vm.leaving ? 0.0 : vm.weight});
    }
    return members;
}

/// Number of availability zones with VMs that are not leaving, counted up to a bound.
size_t countZones(std::span<const VmView> vms, size_t bound)
{
    std::vector<std::string_view> zones;
    for (const VmView &vm : vms) {
        if (zones.size() >= bound) {
            break;
        }
        const std::string_view zone = vm.availabilityZone;
        if (!vm.leaving && std::find(zones.begin(), zones.end(), zone) == zones.end()) {
            zones.push_back(zone);
        }
    }
    return zones.size();
}

/// Takes up to `count` VMs in order, at most one of each availability zone per round, so that zones
/// with VMs left differ by at most one home.
/// @param rounds maximum number of rounds
std::vector<size_t> spreadOverZones(std::span<const VmView> vms, std::span<const size_t> order,
                                    size_t count, size_t rounds)
{
    std::vector<size_t> chosen;
    std::vector<bool> taken(order.size(), false);
    for (size_t round = 0; round < rounds && chosen.size() < count; ++round) {
        std::vector<std::string_view> used;
        for (size_t i = 0; i < order.size() && chosen.size() < count; ++i) {
            const std::string_view zone = vms[order[i]].availabilityZone;
            if (taken[i] || std::find(used.begin(), used.end(), zone) != used.end()) {
                continue;
            }
            taken[i] = true;
            used.push_back(zone);
            chosen.push_back(order[i]);
        }
    }
    return chosen;
}

} // namespace

size_t homeCount(size_t vms, size_t zones, const HomeSetOptions &options)
{
    const double homesForTraffic = std::ceil(options.trafficShare * static_cast<double>(vms));
    const size_t least = zones >= options.minimumHomesOverZones ? options.minimumHomesOverZones
                                                                : options.minimumHomes;
    const size_t most = std::max(least, options.maximumHomes);
    const size_t desired
            = std::clamp(static_cast<size_t>(std::max(homesForTraffic, 0.0)), least, most);
    return std::min(desired, vms);
}

std::vector<size_t> homeSet(std::string_view organisation, std::span<const VmView> vms,
                            const HomeSetOptions &options)
{
    const std::vector<RendezvousMember> members = rendezvousMembers(vms);
    const size_t live = static_cast<size_t>(
            std::count_if(members.begin(), members.end(),
                          [](const RendezvousMember &member) { return member.weight > 0.0; }));
    const size_t zones = countZones(vms, options.minimumHomesOverZones);
    const size_t count = homeCount(live, zones, options);
    const uint64_t key = rendezvousKey(organisation);

    // The first few VMs nearly always lie in enough availability zones, which avoids sorting all.
    constexpr size_t candidatesPerHome = 8;
    const std::vector<size_t> best = rendezvousOrder(key, members, count * candidatesPerHome);
    std::vector<size_t> homes = spreadOverZones(vms, best, count, 1);
    if (homes.size() < count) {
        homes = spreadOverZones(vms, rendezvousOrder(key, members, live), count, count);
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
