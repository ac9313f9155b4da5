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

/// @brief Query of a caller for the VMs to connect to.
struct EntryQuery
{
    std::string_view organisation;
    /// Availability zone of the caller, or of the VM that was asked; empty if unknown.
    std::string_view availabilityZone;
    /// Hash of the first block of the caller's prompts.
    std::optional<uint64_t> prefixRoot;
};

struct EntryOptions
{
    HomeSetOptions homeSet;
    /// How long a caller may cache the response.
    Duration lifetime = 5s;
    /// Number of homes in a response for one prefix root.
    size_t homesPerPrefix = 2;
};

/// @brief VMs that a caller should connect to, best first.
struct EntryResponse
{
    /// Indices into the list of VMs.
    std::vector<size_t> vms;
    Duration lifetime;
};

/// @brief Selects the homes to connect to: those in the availability zone of the query first, then
/// the others, each in home order.
EntryResponse selectEntryVms(const EntryQuery &query, std::span<const VmView> vms,
                             const EntryOptions &options = {});

} // namespace teaseldrift::homes
