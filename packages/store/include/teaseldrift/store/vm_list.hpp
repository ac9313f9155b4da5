#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <system_error>
#include <vector>

namespace teaseldrift::store {

enum class VmState {
    Live,
    /// Will shut down soon; receives no new work.
    Leaving,
};

/// @brief A VM in the platform's list, which lags behind the actual state.
struct VmRecord
{
    std::string id;
    /// IP address.
    std::string address;
    uint16_t callerPort = 0;
    uint16_t peerPort = 0;
    std::string availabilityZone;
    VmState state = VmState::Live;
    /// Whether the VM runs a target rather than a router.
    bool isTarget = false;
};

/// @brief Client of the platform's list of VMs.
template <typename List>
concept VmList = requires(List &list)
{
    list.read(std::function<void(std::error_code, const std::vector<VmRecord> &)>());
};

} // namespace teaseldrift::store
