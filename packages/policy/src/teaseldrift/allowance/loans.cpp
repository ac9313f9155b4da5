#include <algorithm>
#include <cmath>

#include "organisation_allowance.hpp"

namespace teaseldrift::allowance {

/// Units of this VM's base share that are not lent. Borrowed units are never lent on, so each unit
/// is held by its owner or by a member that borrowed it from the owner directly.
ShareUnits OrganisationAllowance::lendable() const
{
    int64_t units = baseUnits();
    for (const Peer &peer : m_peers) {
        units -= peer.account.lent();
    }
    return static_cast<ShareUnits>(std::max<int64_t>(units, 0));
}

ShareUnits OrganisationAllowance::transferable(const Peer &peer) const
{
    return lendable() + peer.account.held();
}

void OrganisationAllowance::transfer(Peer &peer, ShareUnits units, MicroTokens tokens, Instant now)
{
    if (units == 0 || units > transferable(peer) || !m_bucket.spend(tokens, now)) {
        return;
    }
    peer.account.givenUnits += units;
    peer.account.givenTokens += tokens;
    updateShare(now);
}

void OrganisationAllowance::sendGive(Peer &peer, uint64_t requestId, bool loansReturned,
                                     Instant now)
{
    schema::AllowanceMessage message;
    schema::AllowanceGive &give = *message.mutable_give();
    give.set_request_id(requestId);
    give.set_given_units(peer.account.givenUnits);
    give.set_given_tokens(peer.account.givenTokens);
    give.set_applied_units(peer.account.appliedUnits);
    give.set_applied_tokens(peer.account.appliedTokens);
    give.set_level(m_bucket.level(now));
    give.set_share_units(m_bucket.share());
    give.set_demand(m_demand.rate(now, options().demandWindow));
    give.set_recalled(loansReturned);
    give.set_epoch(m_record.epoch());
    peer.reportedAt = now;
    peer.reportedDemand = give.demand();
    send(peer.vm, peer.account.incarnation, std::move(message));
}

/// Whether totals agree with the account: a peer applies at most what was given, and gives units
/// and tokens together, at most what it held of this VM's base share and its own base share.
bool OrganisationAllowance::areTotalsPossible(const Peer &peer,
                                              const schema::AllowanceGive &message) const
{
    const PeerAccount &account = peer.account;
    if (message.applied_units() > account.givenUnits
        || message.applied_tokens() > account.givenTokens || message.applied_tokens() < 0
        || message.given_tokens() < 0) {
        return false;
    }
    if (message.given_units() <= account.appliedUnits) {
        return message.given_tokens() <= account.appliedTokens;
    }
    const uint64_t units = message.given_units() - account.appliedUnits;
    return message.given_tokens() >= account.appliedTokens
           && units <= account.lent() + static_cast<uint64_t>(baseUnitsOf(peer.vm))
                               - std::min(account.held(), baseUnitsOf(peer.vm));
}

void OrganisationAllowance::onGive(Peer &peer, const schema::AllowanceGive &message, Instant now)
{
    PeerAccount &account = peer.account;
    if (!areTotalsPossible(peer, message)) {
        // With a newer record the sender's base share may be larger. The totals come again.
        return message.epoch() > m_record.epoch() ? sendNotice(peer.vm)
                                                  : refuseMessage(peer.vm, "impossible_totals");
    }
    account.ackedUnits = std::max(account.ackedUnits, message.applied_units());
    account.ackedTokens = std::max(account.ackedTokens, message.applied_tokens());
    if (message.given_units() > account.appliedUnits) {
        // Both totals are from the same message, so the tokens fit into the capacity of the units
        // applied with them.
        const ShareUnits units
                = static_cast<ShareUnits>(message.given_units() - account.appliedUnits);
        const MicroTokens tokens = std::min(message.given_tokens() - account.appliedTokens,
                                            capacityOf(m_bucket.limits(), units));
        account.appliedUnits = message.given_units();
        account.appliedTokens = message.given_tokens();
        updateShare(now);
        m_bucket.deposit(tokens, now);
    }
    peer.hint = {.known = true,
                 .at = now,
                 .level = message.level(),
                 .share = message.share_units(),
                 .demand = message.demand()};
    peer.unresponsiveUntil = now;
    if (message.epoch() < m_record.epoch()) {
        sendNotice(peer.vm);
    }
    if (message.request_id() != 0 && message.request_id() == peer.awaitedRequest) {
        peer.awaitedRequest = 0;
        m_loansReturned = m_loansReturned || message.recalled();
    }
    for (Peer &other : m_peers) {
        if (&other != &peer && transferNeeded(other, now)) {
            sendGive(other, 0, false, now);
        }
    }
    if (m_gathering && isGatherComplete() && !m_loansReturned) {
        endGather(now);
    }
    decidePending(now);
}

bool OrganisationAllowance::transferSurplus(Peer &peer, ShareUnits units, Instant now)
{
    const ShareUnits given = std::min({units, transferable(peer), m_bucket.share()});
    if (given == 0) {
        return false;
    }
    const double part = static_cast<double>(given) / m_bucket.share();
    const MicroTokens level = m_bucket.level(now);
    const MicroTokens tokens
            = std::min({level, capacityOf(m_bucket.limits(), given),
                        static_cast<MicroTokens>(part * static_cast<double>(level))});
    transfer(peer, given, tokens, now);
    sendGive(peer, 0, false, now);
    return true;
}

/// Transfers surplus share and tokens to members whose fraction of the demand exceeds their
/// fraction of the share.
void OrganisationAllowance::rebalance(Instant now)
{
    if (m_gathering || m_draining) {
        return;
    }
    const double idle = options().idleDemand * static_cast<double>(m_bucket.limits().rate)
                        / microTokensPerToken;
    const double own = m_demand.rate(now, options().demandWindow) + idle;
    double demand = own;
    double share = m_bucket.share();
    const Duration fresh = 3 * options().reportInterval;
    const auto isUsable = [&](const Peer &peer) {
        return !peer.gone && peer.account.incarnation != 0 && peer.hint.known
               && now - peer.hint.at < fresh;
    };
    for (const Peer &peer : m_peers) {
        if (isUsable(peer)) {
            demand += peer.hint.demand + idle;
            share += peer.hint.share;
        }
    }
    const double tolerance = options().balanceTolerance * wholeShare;
    double surplus = m_bucket.share() - share * own / demand;
    if (surplus < tolerance || demand <= 0.0) {
        return;
    }
    for (Peer &peer : m_peers) {
        if (!isUsable(peer)) {
            continue;
        }
        const double target = share * (peer.hint.demand + idle) / demand;
        const double deficit = std::min(surplus, target - peer.hint.share);
        if (deficit < tolerance / 2 || deficit < 1.0) {
            continue;
        }
        if (transferSurplus(peer, static_cast<ShareUnits>(deficit), now)) {
            peer.hint.share += static_cast<ShareUnits>(deficit);
            surplus -= deficit;
        }
    }
    if (surplus >= tolerance) {
        returnSurplus(static_cast<ShareUnits>(surplus), now);
    }
}

/// Returns borrowed share to its owners, who may transfer it to members to which this VM may not.
void OrganisationAllowance::returnSurplus(ShareUnits surplus, Instant now)
{
    for (Peer &peer : m_peers) {
        const ShareUnits held = peer.account.held();
        if (held == 0 || surplus == 0 || peer.gone || peer.account.incarnation == 0) {
            continue;
        }
        const ShareUnits returned = std::min(held, surplus);
        transferSurplus(peer, returned, now);
        surplus -= returned;
    }
}

/// Reports level, share and demand to peers, and resends transfer totals that are not acknowledged.
/// Members without a session get the record.
void OrganisationAllowance::report(Instant now)
{
    const double demand = m_demand.rate(now, options().demandWindow);
    const double notable = 0.1 * static_cast<double>(m_bucket.limits().rate) / microTokensPerToken;
    for (Peer &peer : m_peers) {
        if (peer.gone) {
            continue;
        }
        const bool isIdleDue = now >= peer.reportedAt + options().idleReportInterval;
        if (peer.account.incarnation == 0) {
            if (isIdleDue) {
                peer.reportedAt = now;
                sendNotice(peer.vm);
            }
            continue;
        }
        const bool isDue = now >= peer.reportedAt + options().reportInterval;
        const bool hasNews = std::abs(demand - peer.reportedDemand) > notable || demand > notable;
        if (isIdleDue || (isDue && hasNews) || (!peer.account.isAcknowledged() && isDue)) {
            sendGive(peer, 0, false, now);
        }
    }
}

void OrganisationAllowance::drain(Instant now)
{
    m_draining = true;
    returnSurplus(m_bucket.share(), now);
    std::vector<Peer *> receivers;
    for (Peer &peer : m_peers) {
        if (!peer.gone && peer.account.incarnation != 0) {
            receivers.push_back(&peer);
        }
    }
    for (size_t i = 0; i < receivers.size(); ++i) {
        const size_t remaining = receivers.size() - i;
        transferSurplus(*receivers[i], m_bucket.share() / static_cast<ShareUnits>(remaining), now);
    }
}

} // namespace teaseldrift::allowance
