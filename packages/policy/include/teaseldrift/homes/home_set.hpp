#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace teaseldrift::homes {

/// @brief A router VM as the platform's list shows it.
struct VmView
{
    std::string id;
    std::string availabilityZone;
    /// Share of organisations relative to other VMs.
    double weight = 1.0;
    /// Will go away soon; it gets no new callers.
    bool leaving = false;

    friend bool operator==(const VmView &, const VmView &) = default;
};

/// @brief How many homes an organisation has.
struct HomeSetOptions
{
    size_t minimumHomes = 2;
    /// Homes where there are at least as many zones.
    size_t minimumHomesOverZones = 3;
    size_t maximumHomes = 8;
    /// The organisation's part of the fleet's traffic, 0 to 1.
    double trafficShare = 0.0;
};

/// @brief Number of homes: the traffic share of the VMs, between the bounds of the options.
/// @param zones number of zones, which may be counted up to minimumHomesOverZones only
size_t homeCount(size_t vms, size_t zones, const HomeSetOptions &options);

/// @brief The VMs that are homes of an organisation, best first.
///
/// The order is rendezvous order; a VM in a zone that has more homes than another zone with a
/// free VM is passed over. VMs that leave are never homes. Every caller with the same list gets
/// the same answer.
///
/// ```cpp
/// std::vector<size_t> homes = homeSet("kinloch-baird", vms, {.trafficShare = 0.4});
/// ```
/// @return indices into `vms`
std::vector<size_t> homeSet(std::string_view organisation, std::span<const VmView> vms,
                            const HomeSetOptions &options = {});

/// @brief The part of a home set that serves one root of the organisation's prompt prefixes.
/// @param prefixRoot hash of the first block of the prompt
/// @param count number of homes wanted, at least 1
/// @return a selection of `homes` in rendezvous order of the root
std::vector<size_t> homesOfPrefix(uint64_t prefixRoot, std::span<const VmView> vms,
                                  std::span<const size_t> homes, size_t count);

} // namespace teaseldrift::homes
