#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/message.hpp"

namespace teaseldrift::ctl {

/// @brief Answer of one VM to an operator's question.
struct VmResponse
{
    http::Endpoint vm;
    bool reached = false;
    int status = 0;
    std::string body;
    Instant sentAt{};
    Instant receivedAt{};
};

/// @brief What a VM says about itself at /admin/status.
struct VmStatus
{
    std::string vmId;
    uint64_t incarnation = 0;
    uint64_t revision = 0;
    bool configurationCurrent = false;
    bool leaving = false;
    /// Whether its answer counts towards a majority.
    bool canVote = false;
    size_t knownVms = 0;
    size_t targets = 0;
    size_t organisations = 0;
};

/// @brief Asks all VMs the same thing at the same time.
std::vector<VmResponse> queryVms(std::span<const http::Endpoint> vms, std::string_view adminToken,
                                 const http::Request &request);

/// @brief Reads a status; fields that a VM leaves out keep their defaults.
/// @return false if it is not a JSON object
bool parseStatus(std::string_view body, VmStatus &status);

} // namespace teaseldrift::ctl
