#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

#include "teaseldrift/segments/segment_index.hpp"

namespace teaseldrift {

/// @brief The newest events of one KV cache, kept for other VMs to fetch.
class SegmentEventLog
{
public:
    /// @param incarnation distinguishes this log from earlier logs of the same cache
    explicit SegmentEventLog(uint64_t incarnation = 0, size_t maxEvents = 8000);

    void append(std::span<const SegmentEvent> events);

    [[nodiscard]] uint64_t incarnation() const { return m_incarnation; }

    /// @brief Sequence number of the next event to be appended.
    [[nodiscard]] uint64_t next() const { return m_first + m_events.size(); }

    /// @brief Whether all events from a sequence number on are still kept.
    [[nodiscard]] bool covers(uint64_t since) const { return since >= m_first; }

    /// @brief Events from a sequence number on, as far as they are still kept.
    [[nodiscard]] std::vector<SegmentEvent> since(uint64_t number) const;

private:
    uint64_t m_incarnation;
    size_t m_maxEvents;
    uint64_t m_first = 0;
    std::deque<SegmentEvent> m_events;
};

} // namespace teaseldrift
