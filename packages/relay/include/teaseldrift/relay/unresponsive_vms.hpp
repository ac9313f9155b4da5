#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift::relay {

/// @brief VMs that did not respond to a query and are not queried again during a cooldown.
class UnresponsiveVms
{
public:
    /// @param cooldown time for which a VM is not queried
    explicit UnresponsiveVms(Duration cooldown) : m_cooldown(cooldown) { }

    void add(std::string_view vmId, Instant now)
    {
        m_until.insert_or_assign(std::string(vmId), now + m_cooldown);
    }

    /// @brief Removes a VM that has responded.
    void remove(const std::string &vmId) { m_until.erase(vmId); }

    void clear() { m_until.clear(); }

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
