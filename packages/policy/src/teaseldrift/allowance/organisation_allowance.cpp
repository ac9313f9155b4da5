#include "organisation_allowance.hpp"

#include <algorithm>
#include <cmath>

#include "teaseldrift/base/rendezvous.hpp"

namespace teaseldrift::allowance {

namespace {

constexpr size_t maximumRefusedReports = 4;

/// Differs for each instance, so that an organisation that is removed and configured again is not
/// mistaken for its previous instance.
uint64_t newIncarnation(SharedContext &context)
{
    return rendezvousKey(std::to_string(context.self.incarnation) + "/"
                         + std::to_string(++context.counter));
}

} // namespace

void SharedContext::refuse(std::string_view organisation, std::string_view vm,
                           std::string_view reason)
{
    ++refusedMessages;
    if (actions.refused.size() < maximumRefusedReports) {
        actions.refused.push_back({std::string(organisation), std::string(vm), reason});
    }
}

void DemandMeter::add(MicroTokens tokens, Instant now, Duration window)
{
    m_sum = rate(now, window) * toSeconds(window)
            + static_cast<double>(tokens) / microTokensPerToken;
    m_at = now;
}

double DemandMeter::rate(Instant now, Duration window) const
{
    const double age = toSeconds(now - m_at) / toSeconds(window);
    return m_sum * std::exp(-std::max(age, 0.0)) / toSeconds(window);
}

OrganisationAllowance::OrganisationAllowance(SharedContext &context, std::string_view name)
    : m_context(context), m_name(name), m_incarnation(newIncarnation(context))
{ }

void OrganisationAllowance::configure(const Limits &limits, Instant now)
{
    m_bucket.setLimits(limits, now);
    onVms(now);
}

void OrganisationAllowance::onVms(Instant now)
{
    const std::span<const homes::VmView> vms = m_context.registry.vms();
    m_homes.clear();
    std::erase_if(m_gone, [now](const GoneVm &gone) { return now >= gone.until; });
    for (const size_t index : homes::homeSet(m_name, vms, options().homeSet)) {
        const std::string &vm = vms[index].id;
        const bool isGone = std::any_of(m_gone.begin(), m_gone.end(),
                                        [&vm](const GoneVm &gone) { return gone.vm == vm; });
        if (!isGone) {
            m_homes.push_back(vm);
        }
    }
    syncPeers(now);
    markGonePeers(now);
}

void OrganisationAllowance::onMessage(std::string_view from,
                                      const schema::AllowanceMessage &message, Instant now)
{
    const uint64_t receiver = message.receiver_incarnation();
    if (receiver != 0 && receiver != m_incarnation) {
        // The message was meant for an earlier incarnation of this VM, so the sender knows this VM
        // as a member. It answers with its record if this VM's is older.
        sendNotice(from);
        return;
    }
    switch (message.body_case()) {
    case schema::AllowanceMessage::kHello:
        return onHello(from, message, now);
    case schema::AllowanceMessage::kFence:
        return onFence(from, message, now);
    case schema::AllowanceMessage::kFenceAck:
        return onFenceAck(from, message.fence_ack(), now);
    case schema::AllowanceMessage::kAdmitRequest:
        return onAdmitRequest(from, message, now);
    case schema::AllowanceMessage::kAdmitAnswer:
        return onAdmitAnswer(from, message, now);
    case schema::AllowanceMessage::kGiveBack:
        return onGiveBack(from, message, now);
    case schema::AllowanceMessage::kNotice:
        return onNotice(from, message.notice().record(), now);
    default:
        break;
    }
    Peer *peer = findPeer(from);
    if (peer == nullptr || peer->gone) {
        return refuseMessage(from, "unknown_vm");
    }
    switch (message.body_case()) {
    case schema::AllowanceMessage::kChallenge:
        return onChallenge(*peer, message, now);
    case schema::AllowanceMessage::kConfirm:
        return onConfirm(*peer, message, now);
    case schema::AllowanceMessage::kWelcome:
        return onWelcome(*peer, message, now);
    case schema::AllowanceMessage::kNeed:
    case schema::AllowanceMessage::kGive:
        if (!isInSession(*peer, message)) {
            // A process that is not active yet has no session that the message could contradict.
            return m_isActive ? refuseMessage(from, "unknown_incarnation") : void();
        }
        return message.has_need() ? onNeed(*peer, message.need(), now)
                                  : onGive(*peer, message.give(), now);
    default:
        return;
    }
}

void OrganisationAllowance::tick(Instant now)
{
    expireForwardedRequests(now);
    if (!m_pending.empty()) {
        if (m_gathering && now >= m_gatherDeadline) {
            endGather(now);
        }
        decidePending(now);
    }
    if (now < m_maintainedAt + options().retryInterval) {
        return;
    }
    m_maintainedAt = now;
    markGonePeers(now);
    sendHellos(now);
    maintainDivision(now);
    if (m_isActive && now >= m_rebalancedAt + options().balanceInterval) {
        m_rebalancedAt = now;
        rebalance(now);
        report(now);
    }
}

DivisionState OrganisationAllowance::divisionState() const
{
    DivisionState state{.incarnation = m_incarnation, .isActive = m_isActive, .record = m_record};
    for (const Peer &peer : m_peers) {
        state.accounts.push_back({.vm = peer.vm, .gone = peer.gone, .account = peer.account});
    }
    return state;
}

Peer *OrganisationAllowance::findPeer(std::string_view vm)
{
    const auto found = std::find_if(m_peers.begin(), m_peers.end(),
                                    [vm](const Peer &peer) { return peer.vm == vm; });
    return found == m_peers.end() ? nullptr : &*found;
}

bool OrganisationAllowance::isMember(std::string_view vm) const
{
    return std::any_of(m_record.members().begin(), m_record.members().end(),
                       [vm](const schema::DivisionMember &member) { return member.vm_id() == vm; });
}

ShareUnits OrganisationAllowance::baseUnitsIn(const schema::DivisionRecord &record,
                                              std::string_view vm)
{
    for (const schema::DivisionMember &member : record.members()) {
        if (member.vm_id() == vm) {
            return member.base_units();
        }
    }
    return 0;
}

void OrganisationAllowance::refuseMessage(std::string_view vm, std::string_view reason)
{
    m_context.refuse(m_name, vm, reason);
}

void OrganisationAllowance::send(std::string_view vm, uint64_t incarnation,
                                 schema::AllowanceMessage message)
{
    message.set_organisation(m_name);
    message.set_sender_incarnation(m_incarnation);
    message.set_receiver_incarnation(incarnation);
    m_context.actions.messages.push_back({std::string(vm), std::move(message)});
}

void OrganisationAllowance::updateShare(Instant now)
{
    int64_t share = 0;
    if (m_isActive) {
        share = baseUnits();
        for (const Peer &peer : m_peers) {
            share += peer.account.held();
            share -= peer.account.lent();
        }
    }
    m_bucket.setShare(static_cast<ShareUnits>(std::max<int64_t>(share, 0)), now);
}

bool OrganisationAllowance::isInSession(const Peer &peer,
                                        const schema::AllowanceMessage &message) const
{
    return m_isActive && peer.account.incarnation == message.sender_incarnation()
           && peer.account.incarnation != 0 && message.receiver_incarnation() == m_incarnation;
}

} // namespace teaseldrift::allowance
