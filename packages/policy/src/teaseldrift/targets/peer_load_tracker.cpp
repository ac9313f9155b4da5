#include "teaseldrift/targets/peer_load_tracker.hpp"

#include <utility>

#include "teaseldrift/base/rendezvous.hpp"

namespace teaseldrift {

InFlightLoad &InFlightLoad::operator+=(const InFlightLoad &other)
{
    backlogTokens += other.backlogTokens;
    requests += other.requests;
    return *this;
}

uint32_t targetKeyOf(std::string_view targetId)
{
    constexpr int halfBits = 32;
    const uint64_t key = rendezvousKey(targetId);
    return static_cast<uint32_t>(key ^ (key >> halfBits));
}

PeerLoadTracker::PeerLoadTracker(Options options) : m_options(options) { }

PeerLoadTracker::PeerLoadTracker() : PeerLoadTracker(Options()) { }

void PeerLoadTracker::updateVm(std::string_view vmId, InFlightLoadTable load, Instant now)
{
    m_vms.insert_or_assign(std::string(vmId), Update{.load = std::move(load), .receivedAt = now});
}

void PeerLoadTracker::updateZone(std::string_view availabilityZone, InFlightLoadTable load,
                                 Instant now)
{
    m_zones.insert_or_assign(std::string(availabilityZone),
                             Update{.load = std::move(load), .receivedAt = now});
}

void PeerLoadTracker::addUpdates(InFlightLoadTable &sum, const UpdatesBySender &updates,
                                 std::string_view except, Instant now) const
{
    for (const std::pair<const std::string, Update> &by : updates) {
        if (by.first == except || now - by.second.receivedAt > m_options.maxAge) {
            continue;
        }
        for (const std::pair<const uint32_t, InFlightLoad> &load : by.second.load) {
            sum[load.first] += load.second;
        }
    }
}

InFlightLoadTable PeerLoadTracker::zoneTotal(const InFlightLoadTable &own, Instant now) const
{
    InFlightLoadTable sum = own;
    addUpdates(sum, m_vms, {}, now);
    return sum;
}

InFlightLoadTable PeerLoadTracker::totalExcludingVm(std::string_view vmId,
                                                    const InFlightLoadTable &own, Instant now) const
{
    InFlightLoadTable sum = own;
    addUpdates(sum, m_vms, vmId, now);
    addUpdates(sum, m_zones, {}, now);
    return sum;
}

InFlightLoadTable PeerLoadTracker::peerTotal(Instant now) const
{
    InFlightLoadTable sum;
    addUpdates(sum, m_vms, {}, now);
    addUpdates(sum, m_zones, {}, now);
    return sum;
}

bool PeerLoadTracker::isZoneUpdatedWithin(std::string_view availabilityZone, Duration within,
                                          Instant now) const
{
    const UpdatesBySender::const_iterator found = m_zones.find(availabilityZone);
    return found != m_zones.end() && now - found->second.receivedAt < within;
}

void PeerLoadTracker::expire(Instant now)
{
    const auto isOld = [&](const std::pair<const std::string, Update> &updates) {
        return now - updates.second.receivedAt > m_options.maxAge;
    };
    std::erase_if(m_vms, isOld);
    std::erase_if(m_zones, isOld);
}

} // namespace teaseldrift
