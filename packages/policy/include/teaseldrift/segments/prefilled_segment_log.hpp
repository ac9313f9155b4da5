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

/// @brief A part that a target has read, as an answer has shown.
struct PrefilledSegment
{
    /// targetKeyOf() of the target.
    uint32_t targetKey = 0;
    SegmentEvent event;
};

/// @brief Newest parts that targets have read, each to be told once to each listener.
///
/// Caches tell their events late; with this, other VMs import a part as soon as it is there,
/// instead of having it read again.
class PrefilledSegmentLog
{
public:
    struct Options
    {
        /// News that are kept: more than all VMs bring between two turns after a roll of weights.
        size_t maxEntries = 2000;
        /// News that one message takes; the rest follows with the next.
        size_t maxPerMessage = 200;
    };

    explicit PrefilledSegmentLog(Options options);
    PrefilledSegmentLog();

    /// @param isFromOwnZone whether a VM of this availability zone brought it; only such news are
    /// told to other zones, whose own they are otherwise
    void add(const PrefilledSegment &segment, bool isFromOwnZone);

    /// @brief News for a VM of this availability zone that it has not been told.
    std::vector<PrefilledSegment> takeForVm(std::string_view vmId);

    /// @brief News for another availability zone that it has not been told.
    std::vector<PrefilledSegment> takeForZone(std::string_view availabilityZone);

private:
    struct Entry
    {
        PrefilledSegment segment;
        bool isFromOwnZone = false;
    };

    /// Number of the next news to tell, by listener.
    using NextSequences = std::map<std::string, uint64_t, std::less<>>;

    std::vector<PrefilledSegment> takeUnsent(NextSequences &nextByReceiver,
                                             std::string_view receiver, bool ownZoneOnly);

    Options m_options;
    std::deque<Entry> m_entries;
    /// Number of the first that is kept.
    uint64_t m_first = 0;
    NextSequences m_vms;
    NextSequences m_zones;
};

} // namespace teaseldrift
