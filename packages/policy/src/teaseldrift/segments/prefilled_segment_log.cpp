#include "teaseldrift/segments/prefilled_segment_log.hpp"

#include <algorithm>

namespace teaseldrift {

PrefilledSegmentLog::PrefilledSegmentLog(Options options) : m_options(options) { }

PrefilledSegmentLog::PrefilledSegmentLog() : PrefilledSegmentLog(Options()) { }

void PrefilledSegmentLog::add(const PrefilledSegment &segment, bool isFromOwnZone)
{
    m_entries.push_back({.segment = segment, .isFromOwnZone = isFromOwnZone});
    if (m_entries.size() > m_options.maxEntries) {
        m_entries.pop_front();
        ++m_first;
    }
}

std::vector<PrefilledSegment> PrefilledSegmentLog::takeUnsent(NextSequences &nextByReceiver,
                                                              std::string_view receiver,
                                                              bool ownZoneOnly)
{
    const auto [next, isNew] = nextByReceiver.try_emplace(std::string(receiver), m_first);
    next->second = std::max(next->second, m_first);
    std::vector<PrefilledSegment> unsent;
    while (next->second < m_first + m_entries.size() && unsent.size() < m_options.maxPerMessage) {
        const Entry &entry = m_entries[next->second - m_first];
        if (entry.isFromOwnZone || !ownZoneOnly) {
            unsent.push_back(entry.segment);
        }
        ++next->second;
    }
    return unsent;
}

std::vector<PrefilledSegment> PrefilledSegmentLog::takeForVm(std::string_view vmId)
{
    return takeUnsent(m_vms, vmId, false);
}

std::vector<PrefilledSegment> PrefilledSegmentLog::takeForZone(std::string_view availabilityZone)
{
    return takeUnsent(m_zones, availabilityZone, true);
}

} // namespace teaseldrift
