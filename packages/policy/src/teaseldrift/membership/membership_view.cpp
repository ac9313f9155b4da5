#include "teaseldrift/membership/membership_view.hpp"

#include <algorithm>
#include <set>

namespace teaseldrift {

namespace {

/// Former incarnations remembered per VM.
constexpr size_t maxFormerIncarnations = 8;

bool isSameListing(const ListedVm &left, const ListedVm &right)
{
    return left.address == right.address && left.callerPort == right.callerPort
           && left.peerPort == right.peerPort && left.availabilityZone == right.availabilityZone
           && left.leaving == right.leaving && left.isTarget == right.isTarget;
}

} // namespace

MembershipView::MembershipView(std::string selfId, MembershipOptions options)
    : m_selfId(std::move(selfId)), m_options(options)
{ }

bool MembershipView::onVmList(std::span<const ListedVm> vms, Instant now)
{
    bool changed = markUnlistedGone(vms, now);
    removeExpired(now);
    for (const ListedVm &vm : vms) {
        if (vm.isTarget) {
            changed = updateTarget(vm) || changed;
            continue;
        }
        const auto [it, added] = m_members.try_emplace(vm.id);
        Member &member = it->second;
        if (added || !member.isListed) {
            member.expectedSince = now;
        }
        changed = changed || !member.isListed || !isSameListing(member.vm.listed, vm);
        member.isListed = true;
        member.leftListAt.reset();
        member.vm.listed = vm;
        member.vm.state
                = vm.leaving || member.announcedLeaving ? MemberState::Leaving : MemberState::Live;
    }
    return changed;
}

bool MembershipView::updateTarget(const ListedVm &vm)
{
    const Target target{.state = vm.leaving ? MemberState::Leaving : MemberState::Live};
    const auto [it, added] = m_targets.insert({vm.id, target});
    const bool changed = added || it->second.state != target.state;
    it->second = target;
    return changed;
}

/// Marks VMs and targets as gone that were on the last list and are not on this one.
bool MembershipView::markUnlistedGone(std::span<const ListedVm> vms, Instant now)
{
    std::set<std::string_view> present;
    for (const ListedVm &vm : vms) {
        present.insert(vm.id);
    }
    bool changed = false;
    for (auto it = m_members.begin(); it != m_members.end(); ++it) {
        if (it->second.isListed && !present.contains(it->first)) {
            it->second.isListed = false;
            it->second.vm.state = MemberState::Gone;
            it->second.leftListAt = now;
            changed = true;
        }
    }
    for (auto it = m_targets.begin(); it != m_targets.end(); ++it) {
        if (it->second.state != MemberState::Gone && !present.contains(it->first)) {
            it->second = {.state = MemberState::Gone, .leftListAt = now};
            changed = true;
        }
    }
    return changed;
}

void MembershipView::removeExpired(Instant now)
{
    std::erase_if(m_members, [this, now](const auto &item) {
        const Member &member = item.second;
        const Instant lastHeard = member.lastHeard.value_or(member.expectedSince);
        if (member.leftListAt.has_value()) {
            return now - std::max(*member.leftListAt, lastHeard) > m_options.goneRetention;
        }
        return !member.isListed && now - lastHeard > m_options.unlistedRetention;
    });
    std::erase_if(m_targets, [this, now](const auto &item) {
        const std::optional<Instant> leftListAt = item.second.leftListAt;
        return leftListAt.has_value() && now - *leftListAt > m_options.goneRetention;
    });
}

SenderStatus MembershipView::onMessage(std::string_view vmId, uint64_t incarnation, Instant now)
{
    const auto [it, added] = m_members.try_emplace(std::string(vmId));
    Member &member = it->second;
    if (added) {
        member.vm.listed.id = std::string(vmId);
        member.expectedSince = now;
    }
    if (std::find(member.formerIncarnations.begin(), member.formerIncarnations.end(), incarnation)
        != member.formerIncarnations.end()) {
        return SenderStatus::StaleIncarnation;
    }
    member.lastHeard = now;
    if (member.vm.incarnation == incarnation) {
        return SenderStatus::Known;
    }
    if (member.vm.incarnation != 0) {
        if (member.formerIncarnations.capacity() == 0) {
            member.formerIncarnations.set_capacity(maxFormerIncarnations);
        }
        member.formerIncarnations.push_back(member.vm.incarnation);
    }
    member.vm.incarnation = incarnation;
    if (member.announcedLeaving) {
        member.announcedLeaving = false;
        member.vm.state = member.vm.listed.leaving ? MemberState::Leaving : MemberState::Live;
    }
    return SenderStatus::NewIncarnation;
}

void MembershipView::onHeartbeat(std::string_view vmId, uint64_t incarnation, bool leaving,
                                 Instant now)
{
    if (onMessage(vmId, incarnation, now) == SenderStatus::StaleIncarnation || !leaving) {
        return;
    }
    Member &member = m_members.find(vmId)->second;
    member.announcedLeaving = true;
    if (member.vm.state == MemberState::Live) {
        member.vm.state = MemberState::Leaving;
    }
}

bool MembershipView::isKnown(const Member &member, Instant now) const
{
    if (member.isListed) {
        return true;
    }
    return member.vm.state != MemberState::Gone && member.lastHeard.has_value()
           && now - *member.lastHeard <= m_options.unlistedRetention;
}

std::vector<FleetVm> MembershipView::knownVms(Instant now) const
{
    std::vector<FleetVm> known;
    for (auto it = m_members.begin(); it != m_members.end(); ++it) {
        if (isKnown(it->second, now)) {
            known.push_back(it->second.vm);
        }
    }
    if (!m_members.contains(m_selfId) && !isGone(m_selfId)) {
        FleetVm self{.listed = {.id = m_selfId}};
        known.insert(std::lower_bound(known.begin(), known.end(), m_selfId,
                                      [](const FleetVm &vm, const std::string &id) {
                                          return vm.listed.id < id;
                                      }),
                     std::move(self));
    }
    return known;
}

std::vector<FleetVm> MembershipView::liveVms(Instant now) const
{
    std::vector<FleetVm> live = knownVms(now);
    const std::vector<std::string> ids = ring(now);
    std::erase_if(live, [this, now, &ids](const FleetVm &vm) {
        if (vm.listed.id == m_selfId) {
            return m_selfLeaving || vm.state != MemberState::Live;
        }
        return vm.state != MemberState::Live || isUnresponsiveInRing(ids, vm.listed.id, now);
    });
    return live;
}

/// Ids of all known VMs in ascending order, rotated so that this VM comes first.
std::vector<std::string> MembershipView::ring(Instant now) const
{
    std::vector<std::string> ids;
    for (const FleetVm &vm : knownVms(now)) {
        ids.push_back(vm.listed.id);
    }
    const auto self = std::find(ids.begin(), ids.end(), m_selfId);
    if (self != ids.end()) {
        std::rotate(ids.begin(), self, ids.end());
    }
    return ids;
}

std::vector<std::string> MembershipView::neighbours(Instant now) const
{
    const std::vector<std::string> ids = ring(now);
    std::vector<std::string> neighbours;
    if (ids.size() <= m_options.maxNeighbours + 1) {
        neighbours.assign(ids.empty() ? ids.begin() : ids.begin() + 1, ids.end());
        return neighbours;
    }
    for (size_t distance = 1; distance < ids.size() && neighbours.size() < m_options.maxNeighbours;
         distance *= 2) {
        neighbours.push_back(ids[distance]);
    }
    return neighbours;
}

bool MembershipView::isUnresponsive(std::string_view vmId, Instant now) const
{
    return isUnresponsiveInRing(ring(now), vmId, now);
}

bool MembershipView::isUnresponsiveInRing(std::span<const std::string> ids, std::string_view vmId,
                                          Instant now) const
{
    const auto found = m_members.find(vmId);
    if (found == m_members.end()) {
        return false;
    }
    const Member &member = found->second;
    const auto position = std::find(ids.begin(), ids.end(), vmId);
    const size_t distance = static_cast<size_t>(ids.end() - position);
    const bool fullMesh = ids.size() <= m_options.maxNeighbours + 1;
    // VMs that precede this one on the ring by a power of two have it as a neighbour.
    const bool isHeartbeatExpected = fullMesh
                                     || ((distance & (distance - 1)) == 0
                                         && distance < (size_t(1) << m_options.maxNeighbours));
    if (!isHeartbeatExpected) {
        return false;
    }
    const Instant since
            = std::max(member.expectedSince, member.lastHeard.value_or(member.expectedSince));
    return now - since > m_options.heartbeatTimeout;
}

bool MembershipView::isGone(std::string_view vmId) const
{
    const auto found = m_members.find(vmId);
    return found != m_members.end() && found->second.vm.state == MemberState::Gone;
}

std::vector<std::string> MembershipView::leavingTargets() const
{
    std::vector<std::string> leaving;
    for (auto it = m_targets.begin(); it != m_targets.end(); ++it) {
        if (it->second.state != MemberState::Live) {
            leaving.push_back(it->first);
        }
    }
    return leaving;
}

} // namespace teaseldrift
