#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/homes/home_set.hpp"

namespace teaseldrift::homes {

/// @brief What a caller asks before it connects.
struct EntryQuery
{
    std::string_view organisation;
    /// Zone of the caller, or of the VM that was asked; empty if unknown.
    std::string_view availabilityZone;
    /// Hash of the first block of the prompts to come.
    std::optional<uint64_t> prefixRoot;
};

struct EntryOptions
{
    HomeSetOptions homeSet;
    /// How long a caller may keep the answer.
    Duration lifetime = 5s;
    /// Homes named for one prefix root.
    size_t homesPerPrefix = 2;
};

/// @brief VMs that a caller should connect to, best first.
struct EntryResponse
{
    /// Indices into the list of VMs.
    std::vector<size_t> vms;
    Duration lifetime;
};

/// @brief The entry answer: homes in the caller's zone first, then the others in home order.
EntryResponse selectEntryVms(const EntryQuery &query, std::span<const VmView> vms,
                             const EntryOptions &options = {});

} // namespace teaseldrift::homes
