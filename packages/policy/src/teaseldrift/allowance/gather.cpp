#include <algorithm>

#include "organisation_allowance.hpp"

namespace teaseldrift::allowance {

namespace {

constexpr size_t maximumGatherRounds = 2;

} // namespace

Decision OrganisationAllowance::admit(MicroTokens cost, Instant now)
{
    if (cost > m_bucket.limits().burst) {
        return {.verdict = Verdict::Refused, .code = schema::LARGER_THAN_BURST};
    }
    m_demand.add(cost, now, options().demandWindow);
    if (!m_isActive) {
        return forwardRequest(cost, now);
    }
    return admitOrQueue({.requestId = nextId(), .cost = cost}, now);
}

Decision OrganisationAllowance::admitOrQueue(PendingRequest request, Instant now)
{
    if (m_pending.empty() && m_bucket.spend(request.cost, now)) {
        return admittedDecision(request);
    }
    const std::optional<MicroTokens> reachable = reachableTokens(now);
    if (reachable.has_value() && *reachable + roundingLoss() < request.cost + pendingTokens()) {
        return refusedDecision(request, now);
    }
    if (m_pending.size() >= options().maximumPending) {
        return refusedDecision(request, now);
    }
    request.deadline = now + options().gatherTimeout;
    const uint64_t requestId = request.requestId;
    m_pending.push_back(std::move(request));
    if (!m_gathering) {
        startGather(now);
    }
    return {.requestId = requestId, .verdict = Verdict::Pending};
}

Decision OrganisationAllowance::admittedDecision(const PendingRequest &request)
{
    return {.requestId = request.requestId,
            .verdict = Verdict::Admitted,
            .ticket = {.cost = request.cost, .sequence = m_bucket.sequence()}};
}

Decision OrganisationAllowance::refusedDecision(const PendingRequest &request, Instant now) const
{
    const MicroTokens known = reachableTokens(now).value_or(m_bucket.level(now));
    const Limits &limits = m_bucket.limits();
    const Duration wait = timeToAccrue(limits, wholeShare, request.cost - known);
    return {.requestId = request.requestId,
            .verdict = Verdict::Refused,
            .code
            = hasUnresponsivePeer(now) ? schema::ALLOWANCE_UNCONFIRMED : schema::RATE_EXCEEDED,
            .retryAfter = std::max<Duration>(wait, 1ms)};
}

void OrganisationAllowance::deliverDecision(const PendingRequest &request, const Decision &decision)
{
    if (request.requester.empty()) {
        m_context.actions.decisions.push_back({m_name, decision});
        return;
    }
    sendAdmitAnswer(request, decision);
}

void OrganisationAllowance::cancel(uint64_t requestId)
{
    std::erase_if(m_pending, [requestId](const PendingRequest &request) {
        return request.requester.empty() && request.requestId == requestId;
    });
    std::erase_if(m_forwarded, [requestId](const ForwardedRequest &request) {
        return request.requestId == requestId;
    });
}

void OrganisationAllowance::refuseAll(Instant now)
{
    for (const PendingRequest &request : m_pending) {
        deliverDecision(request, refusedDecision(request, now));
    }
    m_pending.clear();
    for (const ForwardedRequest &request : m_forwarded) {
        m_context.actions.decisions.push_back(
                {m_name, {.requestId = request.requestId, .code = schema::ALLOWANCE_UNCONFIRMED}});
    }
    m_forwarded.clear();
}

MicroTokens OrganisationAllowance::pendingTokens() const
{
    MicroTokens sum = 0;
    for (const PendingRequest &request : m_pending) {
        sum += request.cost;
    }
    return sum;
}

bool OrganisationAllowance::hasUnresponsivePeer(Instant now) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [now](const Peer &peer) {
        return !peer.gone && (peer.account.incarnation == 0 || now < peer.unresponsiveUntil);
    });
}

/// Tokens that all responsive members have together according to their last reports, or nullopt if
/// one of the reports is too old.
std::optional<MicroTokens> OrganisationAllowance::reachableTokens(Instant now) const
{
    MicroTokens sum = m_bucket.level(now);
    for (const Peer &peer : m_peers) {
        if (peer.gone || peer.account.incarnation == 0 || now < peer.unresponsiveUntil) {
            continue;
        }
        if (!peer.hint.known || now - peer.hint.at > options().hintLifetime) {
            return std::nullopt;
        }
        const MicroTokens grown
                = peer.hint.level
                  + accruedTokens(m_bucket.limits(), peer.hint.share, now - peer.hint.at);
        sum += std::min(grown, capacityOf(m_bucket.limits(), peer.hint.share));
    }
    return sum;
}

/// Most tokens that the members' capacities together lack of the burst, because each is rounded
/// down. The member that gathers all shares accrues them within its wait.
MicroTokens OrganisationAllowance::roundingLoss() const
{
    return static_cast<MicroTokens>(m_peers.size()) + 1;
}

void OrganisationAllowance::startGather(Instant now)
{
    const MicroTokens missing = pendingTokens() - m_bucket.level(now);
    const uint64_t requestId = nextId();
    const double demand = m_demand.rate(now, options().demandWindow);
    m_gathering = true;
    m_loansReturned = false;
    m_gatherDeadline = now + options().gatherTimeout;
    for (PendingRequest &request : m_pending) {
        ++request.gatherRounds;
    }
    for (Peer &peer : m_peers) {
        peer.awaitedRequest = 0;
        if (peer.gone || peer.account.incarnation == 0) {
            continue;
        }
        schema::AllowanceMessage message;
        message.mutable_need()->set_request_id(requestId);
        message.mutable_need()->set_tokens(missing);
        message.mutable_need()->set_demand(demand);
        send(peer.vm, peer.account.incarnation, std::move(message));
        if (now >= peer.unresponsiveUntil) {
            peer.awaitedRequest = requestId;
        }
    }
    if (isGatherComplete()) {
        endGather(now);
        decidePending(now);
    }
}

bool OrganisationAllowance::isGatherComplete() const
{
    return std::all_of(m_peers.begin(), m_peers.end(),
                       [](const Peer &peer) { return peer.awaitedRequest == 0; });
}

void OrganisationAllowance::endGather(Instant now)
{
    m_gathering = false;
    for (Peer &peer : m_peers) {
        if (peer.awaitedRequest != 0) {
            peer.awaitedRequest = 0;
            peer.unresponsiveUntil = now + options().unresponsiveCooldown;
        }
    }
}

/// Decides pending requests in order of arrival, as far as possible.
void OrganisationAllowance::decidePending(Instant now)
{
    while (!m_pending.empty()) {
        PendingRequest &first = m_pending.front();
        if (m_bucket.spend(first.cost, now)) {
            deliverDecision(first, admittedDecision(first));
            m_pending.pop_front();
            continue;
        }
        if (m_gathering) {
            return;
        }
        const MicroTokens missing = first.cost - m_bucket.level(now);
        const Duration wait = timeToAccrue(m_bucket.limits(), m_bucket.share(), missing);
        if (now < first.deadline && wait <= first.deadline - now) {
            return;
        }
        const std::optional<MicroTokens> reachable = reachableTokens(now);
        const bool isWorthwhile
                = !reachable.has_value() || *reachable + roundingLoss() >= first.cost;
        if (now < first.deadline && first.gatherRounds < maximumGatherRounds && isWorthwhile) {
            return startGather(now);
        }
        deliverDecision(first, refusedDecision(first, now));
        m_pending.pop_front();
    }
}

void OrganisationAllowance::onNeed(Peer &peer, const schema::AllowanceNeed &need, Instant now)
{
    peer.need = {.requestId = need.request_id(),
                 .tokens = need.tokens(),
                 .until = now + options().gatherTimeout};
    peer.hint.demand = need.demand();
    transferNeeded(peer, now);
    const MicroTokens returned = returnLoans(peer, peer.need.tokens, now);
    sendGive(peer, need.request_id(), returned > 0, now);
}

/// Returns share and tokens on loan from other members to their owners, as far as needingPeer lacks
/// tokens, because only the owners may transfer them to it.
/// @return tokens returned to the owners
MicroTokens OrganisationAllowance::returnLoans(const Peer &needingPeer, MicroTokens tokens,
                                               Instant now)
{
    MicroTokens returned = 0;
    for (Peer &owner : m_peers) {
        const ShareUnits held = owner.account.held();
        if (&owner == &needingPeer || owner.gone || owner.account.incarnation == 0 || held == 0) {
            continue;
        }
        const Limits &limits = m_bucket.limits();
        const MicroTokens part = std::min(
                {tokens - returned, spareTokensFor(needingPeer, now), capacityOf(limits, held)});
        if (part <= 0) {
            continue;
        }
        transfer(owner, std::min(shareForTokens(limits, part), held), part, now);
        sendGive(owner, 0, false, now);
        returned += part;
    }
    return returned;
}

/// Tokens that may be transferred to a peer. Of two members that need tokens at the same time, the
/// one with the smaller id keeps what its own pending requests need; otherwise they would take each
/// other's tokens.
MicroTokens OrganisationAllowance::spareTokensFor(const Peer &peer, Instant now) const
{
    const bool keepsOwn = !m_pending.empty() && m_context.self.vm < peer.vm;
    const MicroTokens kept = keepsOwn ? pendingTokens() : 0;
    return std::max<MicroTokens>(m_bucket.level(now) - kept, 0);
}

/// Transfers to a peer the tokens that it still needs, as far as they are available and
/// transferable.
/// @return whether anything was transferred
bool OrganisationAllowance::transferNeeded(Peer &peer, Instant now)
{
    if (peer.need.tokens <= 0 || now > peer.need.until || peer.gone) {
        peer.need = {};
        return false;
    }
    const Limits &limits = m_bucket.limits();
    const ShareUnits possible = std::min(transferable(peer), m_bucket.share());
    const MicroTokens tokens
            = std::min({peer.need.tokens, spareTokensFor(peer, now), capacityOf(limits, possible)});
    if (tokens <= 0) {
        return false;
    }
    transfer(peer, std::min(shareForTokens(limits, tokens), possible), tokens, now);
    peer.need.tokens -= tokens;
    return true;
}

} // namespace teaseldrift::allowance
