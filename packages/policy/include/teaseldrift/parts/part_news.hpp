#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/parts/part_cache.hpp"

namespace teaseldrift {

/// @brief A part that a target has read, as an answer has shown.
struct PartNews
{
    /// targetKeyOf() of the target.
    uint32_t targetKey = 0;
    PartEvent event;
};

/// @brief Newest parts that targets have read, each to be told once to each listener.
///
/// Caches tell their events late; with this, other VMs import a part as soon as it is there,
/// instead of having it read again.
class PartNewsLog
{
public:
    struct Options
    {
        /// News that are kept: more than all VMs bring between two turns after a roll of weights.
        size_t maxNews = 2000;
        /// News that one message takes; the rest follows with the next.
        size_t maxAtOnce = 200;
    };

    explicit PartNewsLog(Options options);
    PartNewsLog();

    /// @param isOfOwnZone whether a VM of this availability zone brought it; only such news are
    /// told to other zones, whose own they are otherwise
    void add(const PartNews &news, bool isOfOwnZone);

    /// @brief News for a VM of this availability zone that it has not been told.
    std::vector<PartNews> forVm(std::string_view vmId);

    /// @brief News for another availability zone that it has not been told.
    std::vector<PartNews> forZone(std::string_view availabilityZone);

private:
    struct Kept
    {
        PartNews news;
        bool isOfOwnZone = false;
    };

    /// Number of the next news to tell, by listener.
    using NextToTell = std::map<std::string, uint64_t, std::less<>>;

    std::vector<PartNews> tell(NextToTell &listeners, std::string_view listener, bool ownZoneOnly);

    Options m_options;
    std::deque<Kept> m_kept;
    /// Number of the first that is kept.
    uint64_t m_first = 0;
    NextToTell m_vms;
    NextToTell m_zones;
};

} // namespace teaseldrift
