#include "teaseldrift/segments/segment_event_log.hpp"

#include <algorithm>

namespace teaseldrift {

SegmentEventLog::SegmentEventLog(uint64_t incarnation, size_t maxEvents)
    : m_incarnation(incarnation), m_maxEvents(maxEvents)
{ }

void SegmentEventLog::append(std::span<const SegmentEvent> events)
{
    m_events.insert(m_events.end(), events.begin(), events.end());
    while (m_events.size() > m_maxEvents) {
        m_events.pop_front();
        ++m_first;
    }
}

std::vector<SegmentEvent> SegmentEventLog::since(uint64_t number) const
{
    const uint64_t skipped
            = std::min<uint64_t>(number > m_first ? number - m_first : 0, m_events.size());
    return {m_events.begin() + static_cast<std::ptrdiff_t>(skipped), m_events.end()};
}

} // namespace teaseldrift
