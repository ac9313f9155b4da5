#include "teaseldrift/parts/part_news.hpp"

#include <algorithm>

namespace teaseldrift {

PartNewsLog::PartNewsLog(Options options) : m_options(options) { }

PartNewsLog::PartNewsLog() : PartNewsLog(Options()) { }

void PartNewsLog::add(const PartNews &news, bool isOfOwnZone)
{
    m_kept.push_back({.news = news, .isOfOwnZone = isOfOwnZone});
    if (m_kept.size() > m_options.maxNews) {
        m_kept.pop_front();
        ++m_first;
    }
}

std::vector<PartNews> PartNewsLog::tell(NextToTell &listeners, std::string_view listener,
                                        bool ownZoneOnly)
{
    const auto [next, isNew] = listeners.try_emplace(std::string(listener), m_first);
    next->second = std::max(next->second, m_first);
    std::vector<PartNews> told;
    while (next->second < m_first + m_kept.size() && told.size() < m_options.maxAtOnce) {
        const Kept &kept = m_kept[next->second - m_first];
        if (kept.isOfOwnZone || !ownZoneOnly) {
            told.push_back(kept.news);
        }
        ++next->second;
    }
    return told;
}

std::vector<PartNews> PartNewsLog::forVm(std::string_view vmId)
{
    return tell(m_vms, vmId, false);
}

std::vector<PartNews> PartNewsLog::forZone(std::string_view availabilityZone)
{
    return tell(m_zones, availabilityZone, true);
}

} // namespace teaseldrift
