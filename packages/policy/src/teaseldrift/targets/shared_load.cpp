#include "teaseldrift/targets/shared_load.hpp"

#include <utility>

#include "teaseldrift/base/rendezvous.hpp"

namespace teaseldrift {

TargetWork &TargetWork::operator+=(const TargetWork &other)
{
    unreadTokens += other.unreadTokens;
    requests += other.requests;
    return *this;
}

uint32_t targetWorkKey(std::string_view targetId)
{
    constexpr int halfBits = 32;
    const uint64_t key = rendezvousKey(targetId);
    return static_cast<uint32_t>(key ^ (key >> halfBits));
}

SharedLoad::SharedLoad(Options options) : m_options(options) { }

SharedLoad::SharedLoad() : SharedLoad(Options()) { }

void SharedLoad::takeVm(std::string_view vmId, WorkTable work, Instant now)
{
    m_vms.insert_or_assign(std::string(vmId), Told{.work = std::move(work), .at = now});
}

void SharedLoad::takeZone(std::string_view availabilityZone, WorkTable work, Instant now)
{
    m_zones.insert_or_assign(std::string(availabilityZone),
                             Told{.work = std::move(work), .at = now});
}

void SharedLoad::add(WorkTable &sum, const ToldBy &told, std::string_view except, Instant now) const
{
    for (const std::pair<const std::string, Told> &by : told) {
        if (by.first == except || now - by.second.at > m_options.maxAge) {
            continue;
        }
        for (const std::pair<const uint32_t, TargetWork> &work : by.second.work) {
            sum[work.first] += work.second;
        }
    }
}

WorkTable SharedLoad::ofZone(const WorkTable &own, Instant now) const
{
    WorkTable sum = own;
    add(sum, m_vms, {}, now);
    return sum;
}

WorkTable SharedLoad::forVm(std::string_view vmId, const WorkTable &own, Instant now) const
{
    WorkTable sum = own;
    add(sum, m_vms, vmId, now);
    add(sum, m_zones, {}, now);
    return sum;
}

WorkTable SharedLoad::ofOthers(Instant now) const
{
    WorkTable sum;
    add(sum, m_vms, {}, now);
    add(sum, m_zones, {}, now);
    return sum;
}

bool SharedLoad::wasTold(std::string_view availabilityZone, Duration within, Instant now) const
{
    const ToldBy::const_iterator found = m_zones.find(availabilityZone);
    return found != m_zones.end() && now - found->second.at < within;
}

void SharedLoad::expire(Instant now)
{
    const auto isOld = [&](const std::pair<const std::string, Told> &told) {
        return now - told.second.at > m_options.maxAge;
    };
    std::erase_if(m_vms, isOld);
    std::erase_if(m_zones, isOld);
}

} // namespace teaseldrift
