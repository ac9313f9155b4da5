#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift::relay {

/// @brief VMs that did not answer a question, and are not asked again for a while.
class UnresponsiveVms
{
public:
    /// @param pause time for which a VM is not asked
    explicit UnresponsiveVms(Duration cooldown) : m_cooldown(cooldown) { }

    void add(std::string_view vmId, Instant now)
    {
        m_until.insert_or_assign(std::string(vmId), now + m_cooldown);
    }

    /// @brief The VM has answered.
    void remove(const std::string &vmId) { m_until.erase(vmId); }

    [[nodiscard]] bool contains(std::string_view vmId, Instant now) const
    {
        const auto found = m_until.find(vmId);
        return found != m_until.end() && now < found->second;
    }

private:
    Duration m_cooldown;
    std::map<std::string, Instant, std::less<>> m_until;
};

} // namespace teaseldrift::relay
