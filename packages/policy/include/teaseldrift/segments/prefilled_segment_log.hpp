#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/segments/segment_index.hpp"

namespace teaseldrift {

/// @brief A segment whose prefill on a target a response has shown to be finished.
struct PrefilledSegment
{
    /// targetKeyOf() of the target.
    uint32_t targetKey = 0;
    SegmentEvent event;
};

/// @brief The newest prefilled segments, each to be sent once to each receiver.
///
/// Cache events arrive late. With this log, other VMs import a segment as soon as it is available
/// instead of having it computed again.
class PrefilledSegmentLog
{
public:
    struct Options
    {
        /// Entries kept: more than all VMs report between two exchanges after a rollout of weights.
        size_t maxEntries = 2000;
        /// Entries per message; the rest follows with the next message.
        size_t maxPerMessage = 200;
    };

    explicit PrefilledSegmentLog(Options options);
    PrefilledSegmentLog();

    /// @param isFromOwnZone whether a VM of this availability zone reported the segment; only such
    /// segments are sent to other zones, since the others came from there
    void add(const PrefilledSegment &segment, bool isFromOwnZone);

    /// @brief Unsent segments for a VM of this availability zone; marks them as sent.
    std::vector<PrefilledSegment> takeForVm(std::string_view vmId);

    /// @brief Unsent segments for another availability zone; marks them as sent.
    std::vector<PrefilledSegment> takeForZone(std::string_view availabilityZone);

private:
    struct Entry
    {
        PrefilledSegment segment;
        bool isFromOwnZone = false;
    };

    /// Sequence number of the next entry to send, by receiver.
    using NextSequences = std::map<std::string, uint64_t, std::less<>>;

    std::vector<PrefilledSegment> takeUnsent(NextSequences &nextByReceiver,
                                             std::string_view receiver, bool ownZoneOnly);

    Options m_options;
    std::deque<Entry> m_entries;
    /// Sequence number of the oldest entry kept.
    uint64_t m_first = 0;
    NextSequences m_vms;
    NextSequences m_zones;
};

} // namespace teaseldrift
