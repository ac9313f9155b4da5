#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/message.hpp"

namespace teaseldrift::ctl {

/// @brief Response of one VM to an admin request.
struct VmResponse
{
    http::Endpoint vm;
    bool reached = false;
    int status = 0;
    std::string body;
    Instant sentAt{};
    Instant receivedAt{};
};

/// @brief Status that a VM reports at /admin/status.
struct VmStatus
{
    std::string vmId;
    uint64_t incarnation = 0;
    uint64_t revision = 0;
    bool configurationCurrent = false;
    bool leaving = false;
    /// Whether this VM's answers count towards a majority.
    bool canVote = false;
    size_t knownVms = 0;
    size_t targets = 0;
    size_t organisations = 0;
};

/// @brief Sends the same request to all VMs concurrently and waits for the responses.
std::vector<VmResponse> queryVms(std::span<const http::Endpoint> vms, std::string_view adminToken,
                                 const http::Request &request);

/// @brief Parses a status; fields that the VM omits get default values.
/// @return false if the body is not a JSON object
bool parseStatus(std::string_view body, VmStatus &status);

} // namespace teaseldrift::ctl
