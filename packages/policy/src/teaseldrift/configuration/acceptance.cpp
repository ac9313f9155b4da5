#include "teaseldrift/configuration/acceptance.hpp"

#include <algorithm>

namespace teaseldrift {

AcceptanceTracker::AcceptanceTracker(std::span<const std::string> listedVms, Instant writtenAt,
                                     AcceptanceOptions options)
    : m_writtenAt(writtenAt), m_options(options)
{
    onVmList(listedVms);
}

void AcceptanceTracker::onVmList(std::span<const std::string> listedVms)
{
    std::map<std::string, Member, std::less<>> members;
    for (const std::string &vmId : listedVms) {
        const auto found = m_members.find(vmId);
        members[vmId] = found == m_members.end() ? Member() : found->second;
    }
    m_members = std::move(members);
    m_knownVms = std::max(m_knownVms, m_members.size());
}

void AcceptanceTracker::onReport(const AcceptanceReport &report)
{
    const auto found = m_members.find(report.vmId);
    if (found == m_members.end()) {
        return;
    }
    m_knownVms = std::max(m_knownVms, report.knownVms);
    Member &member = found->second;
    const bool sameProcess = member.incarnation == report.incarnation;
    if (!report.holds) {
        // A delayed answer from before the change was applied does not override a newer one.
        if (!sameProcess) {
            member = {.incarnation = report.incarnation};
        }
        return;
    }
    if (!sameProcess || !member.holds) {
        member.heldFrom = report.receivedAt;
        member.heldUntil = report.sentAt;
        member.canVote = false;
    }
    member.incarnation = report.incarnation;
    member.holds = true;
    member.canVote = member.canVote || report.canVote;
    member.heldFrom = std::min(member.heldFrom, report.receivedAt);
    member.heldUntil = std::max(member.heldUntil, report.sentAt);
}

/// The first instant at which `count` members held the change simultaneously. It coincides with the
/// start of some member's interval, so only these are examined.
std::optional<Instant> AcceptanceTracker::firstInstantHeldBy(size_t count, bool votersOnly) const
{
    std::optional<Instant> first;
    for (auto it = m_members.begin(); it != m_members.end(); ++it) {
        const Instant candidate = it->second.heldFrom;
        const auto heldAtCandidate = [candidate, votersOnly](const auto &item) {
            const Member &member = item.second;
            return member.holds && (member.canVote || !votersOnly) && member.heldFrom <= candidate
                   && candidate <= member.heldUntil;
        };
        const std::ptrdiff_t holding
                = std::count_if(m_members.begin(), m_members.end(), heldAtCandidate);
        if (it->second.holds && static_cast<size_t>(holding) >= count
            && (!first.has_value() || candidate < *first)) {
            first = candidate;
        }
    }
    return first;
}

AcceptanceState AcceptanceTracker::state(Instant now) const
{
    const size_t majority = m_knownVms / 2 + 1;
    const std::optional<Instant> majorityAt = firstInstantHeldBy(majority, true);
    if (majorityAt.has_value()) {
        if (firstInstantHeldBy(m_members.size(), false).has_value()
            || now - *majorityAt > m_options.freshnessBound + m_options.clockDriftMargin) {
            return AcceptanceState::Accepted;
        }
    }
    return now - m_writtenAt > m_options.confirmationTimeout ? AcceptanceState::Unconfirmed
                                                             : AcceptanceState::Pending;
}

std::vector<std::string> AcceptanceTracker::unconfirmedVms() const
{
    std::vector<std::string> unconfirmed;
    for (auto it = m_members.begin(); it != m_members.end(); ++it) {
        if (!it->second.holds) {
            unconfirmed.push_back(it->first);
        }
    }
    return unconfirmed;
}

} // namespace teaseldrift
