#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/homes/home_set.hpp"
#include "teaseldrift/http/message.hpp"

namespace teaseldrift::router {

/// @brief A router VM that callers may be sent to.
struct EntryVm
{
    homes::VmView view;
    http::Endpoint endpoint;
};

/// @brief Answers which VMs a caller should connect to.
class EntryVmSelector
{
public:
    explicit EntryVmSelector(std::string availabilityZone);

    /// @brief Takes over the VMs that may get callers.
    void setVms(std::vector<EntryVm> vms);

    /// @brief The answer of `GET /v1/entry`: `addresses`, best first, and `lifetime_ms`.
    /// @param organisation owner of the caller's key, empty for none
    /// @param prefix any text that is the same for prompts that share their beginning, or empty
    [[nodiscard]] std::string responseJson(std::string_view organisation, std::string_view prefix,
                                           Duration lifetime) const;

private:
    std::string m_availabilityZone;
    std::vector<EntryVm> m_vms;
    std::vector<homes::VmView> m_views;
};

} // namespace teaseldrift::router
