#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace teaseldrift::homes {

/// @brief A router VM on the platform's VM list.
struct VmView
{
    std::string id;
    std::string availabilityZone;
    /// Share of the organisations, relative to other VMs.
    double weight = 1.0;
    /// The VM will be removed soon and gets no new callers.
    bool leaving = false;

    friend bool operator==(const VmView &, const VmView &) = default;
};

/// @brief How many homes an organisation has.
struct HomeSetOptions
{
    size_t minimumHomes = 2;
    /// Minimum number of homes if the VMs lie in at least as many availability zones.
    size_t minimumHomesOverZones = 3;
    size_t maximumHomes = 8;
    /// The organisation's share of the fleet's traffic, 0 to 1.
    double trafficShare = 0.0;
};

/// @brief Number of homes: the organisation's traffic share of the VMs, within the bounds of the
/// options.
/// @param zones number of availability zones; may be counted up to minimumHomesOverZones only
size_t homeCount(size_t vms, size_t zones, const HomeSetOptions &options);

/// @brief The homes of an organisation, best first: the VMs that its callers should connect to.
///
/// VMs are taken in rendezvous order, skipping those in an availability zone that has more homes
/// than another zone with a VM left. Leaving VMs are never homes. The same list of VMs always gives
/// the same homes.
///
/// ```cpp
/// std::vector<size_t> homes = homeSet("kinloch-baird", vms, {.trafficShare = 0.4});
/// ```
/// @return indices into `vms`
std::vector<size_t> homeSet(std::string_view organisation, std::span<const VmView> vms,
                            const HomeSetOptions &options = {});

/// @brief The homes of a home set that serve the prompts with one first block.
/// @param prefixRoot hash of the first block of the prompt
/// @param count number of homes to select, at least 1
/// @return a subset of `homes` in rendezvous order for the root
std::vector<size_t> homesOfPrefix(uint64_t prefixRoot, std::span<const VmView> vms,
                                  std::span<const size_t> homes, size_t count);

} // namespace teaseldrift::homes
