#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <system_error>
#include <vector>

namespace teaseldrift::store {

enum class VmState {
    Live,
    /// Will go away soon and gets no new work.
    Leaving,
};

/// @brief A VM in the platform's list. The list lags behind the truth.
struct VmRecord
{
    std::string id;
    /// IP address.
    std::string address;
    uint16_t callerPort = 0;
    uint16_t peerPort = 0;
    std::string availabilityZone;
    VmState state = VmState::Live;
    /// The VM carries a target, not a router.
    bool isTarget = false;
};

/// @brief The platform's list of VMs.
template <typename List>
concept VmList = requires(List &list)
{
    list.read(std::function<void(std::error_code, const std::vector<VmRecord> &)>());
};

} // namespace teaseldrift::store
