#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/homes/home_set.hpp"
#include "teaseldrift/http/message.hpp"

namespace teaseldrift::router {

/// @brief A router VM that callers may connect to.
struct EntryVm
{
    homes::VmView view;
    http::Endpoint endpoint;
};

/// @brief Selects the VMs that a caller should connect to.
class EntryVmSelector
{
public:
    explicit EntryVmSelector(std::string availabilityZone);

    /// @brief Replaces the VMs that callers may connect to.
    void setVms(std::vector<EntryVm> vms);

    /// @brief Returns the response body of `GET /v1/entry`: `addresses` in order of preference, and
    /// `lifetime_ms`.
    /// @param organisation owner of the caller's API key; empty without a key
    /// @param prefix any text that is equal for prompts with a common prefix, or empty
    [[nodiscard]] std::string responseJson(std::string_view organisation, std::string_view prefix,
                                           Duration lifetime) const;

private:
    std::string m_availabilityZone;
    std::vector<EntryVm> m_vms;
    std::vector<homes::VmView> m_views;
};

} // namespace teaseldrift::router
