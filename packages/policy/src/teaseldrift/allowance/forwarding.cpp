#include <algorithm>

#include "organisation_allowance.hpp"

namespace teaseldrift::allowance {

Decision OrganisationAllowance::forwardRequest(MicroTokens cost, Instant now)
{
    const uint64_t requestId = nextId();
    if (m_cachedRefusal.code != schema::OK && now < m_cachedRefusal.until
        && cost >= m_cachedRefusal.cost) {
        return {.requestId = requestId,
                .code = m_cachedRefusal.code,
                .retryAfter = std::max<Duration>(m_cachedRefusal.retryAt - now, 1ms)};
    }
    ForwardedRequest request{.requestId = requestId, .cost = cost};
    if (m_forwarded.size() >= options().maximumPending || !forwardToNextMember(request, now)) {
        return {.requestId = requestId,
                .code = schema::ALLOWANCE_UNCONFIRMED,
                .retryAfter = options().retryInterval};
    }
    m_forwarded.push_back(std::move(request));
    return {.requestId = requestId, .verdict = Verdict::Pending};
}

/// Forwards a request to a member that it has not been forwarded to. Prefers responsive members,
/// then the one that last admitted a request, then members in this VM's availability zone.
/// @return whether there was such a member
bool OrganisationAllowance::forwardToNextMember(ForwardedRequest &request, Instant now)
{
    if (request.triedMembers.size() >= options().maximumForwardAttempts) {
        return false;
    }
    const std::string_view zone = m_context.registry.zoneOf(m_context.self.vm);
    const Peer *best = nullptr;
    int bestRank = 0;
    for (const Peer &peer : m_peers) {
        const bool wasAsked
                = std::find(request.triedMembers.begin(), request.triedMembers.end(), peer.vm)
                  != request.triedMembers.end();
        if (peer.gone || wasAsked) {
            continue;
        }
        const bool isNear = m_context.registry.zoneOf(peer.vm) == zone;
        const int rank = 1 + (isNear ? 1 : 0) + (peer.vm == m_preferredMember ? 2 : 0)
                         + (now >= peer.unresponsiveUntil ? 4 : 0);
        if (rank > bestRank) {
            best = &peer;
            bestRank = rank;
        }
    }
    if (best == nullptr) {
        return false;
    }
    request.triedMembers.push_back(best->vm);
    request.deadline = now + options().forwardTimeout;
    schema::AllowanceMessage message;
    message.mutable_admit_request()->set_request_id(request.requestId);
    message.mutable_admit_request()->set_cost(request.cost);
    send(best->vm, 0, std::move(message));
    return true;
}

void OrganisationAllowance::expireForwardedRequests(Instant now)
{
    std::erase_if(m_forwarded, [this, now](ForwardedRequest &request) {
        if (now < request.deadline) {
            return false;
        }
        Peer *unresponsive = findPeer(request.triedMembers.back());
        if (unresponsive != nullptr) {
            unresponsive->unresponsiveUntil = now + options().unresponsiveCooldown;
        }
        if (forwardToNextMember(request, now)) {
            return false;
        }
        m_context.actions.decisions.push_back({m_name,
                                               {.requestId = request.requestId,
                                                .code = schema::ALLOWANCE_UNCONFIRMED,
                                                .retryAfter = options().retryInterval}});
        return true;
    });
}

void OrganisationAllowance::onAdmitRequest(std::string_view from,
                                           const schema::AllowanceMessage &message, Instant now)
{
    const schema::AllowanceAdmitRequest &received = message.admit_request();
    PendingRequest request{.requestId = nextId(),
                           .cost = received.cost(),
                           .requester = std::string(from),
                           .requesterIncarnation = message.sender_incarnation(),
                           .requesterRequestId = received.request_id()};
    if (!m_isActive) {
        schema::AllowanceMessage answer;
        answer.mutable_admit_answer()->set_request_id(received.request_id());
        answer.mutable_admit_answer()->set_not_member(true);
        *answer.mutable_admit_answer()->mutable_record() = m_record;
        send(from, message.sender_incarnation(), std::move(answer));
        return;
    }
    if (isDuplicateRequest(request)) {
        return;
    }
    if (received.cost() < 0 || received.cost() > m_bucket.limits().burst) {
        return deliverDecision(request, {.code = schema::LARGER_THAN_BURST});
    }
    m_demand.add(received.cost(), now, options().demandWindow);
    const Decision decision = admitOrQueue(request, now);
    if (decision.verdict != Verdict::Pending) {
        deliverDecision(request, decision);
    }
}

void OrganisationAllowance::sendAdmitAnswer(const PendingRequest &request, const Decision &decision)
{
    if (decision.verdict == Verdict::Admitted) {
        m_remoteAdmissions.push_back({.vm = request.requester,
                                      .incarnation = request.requesterIncarnation,
                                      .requestId = request.requesterRequestId,
                                      .cost = decision.ticket.cost,
                                      .sequence = decision.ticket.sequence});
        if (m_remoteAdmissions.size() > options().maximumRemoteAdmissions) {
            m_remoteAdmissions.pop_front();
        }
    }
    schema::AllowanceMessage message;
    schema::AllowanceAdmitAnswer &answer = *message.mutable_admit_answer();
    answer.set_request_id(request.requesterRequestId);
    answer.set_code(static_cast<uint32_t>(decision.code));
    answer.set_retry_after_us(static_cast<uint64_t>(decision.retryAfter.count()));
    send(request.requester, request.requesterIncarnation, std::move(message));
}

void OrganisationAllowance::onAdmitAnswer(std::string_view from,
                                          const schema::AllowanceMessage &message, Instant now)
{
    const schema::AllowanceAdmitAnswer &answer = message.admit_answer();
    if (answer.not_member()) {
        installRecord(answer.record(), false, now);
    }
    const auto found = std::find_if(m_forwarded.begin(), m_forwarded.end(),
                                    [&answer](const ForwardedRequest &request) {
                                        return request.requestId == answer.request_id();
                                    });
    if (found == m_forwarded.end() || found->triedMembers.back() != from || now > found->deadline) {
        return;
    }
    if (answer.not_member() && forwardToNextMember(*found, now)) {
        return;
    }
    const bool isAdmitted = answer.code() == schema::OK && !answer.not_member();
    Decision decision{.requestId = found->requestId};
    if (isAdmitted) {
        decision.verdict = Verdict::Admitted;
        decision.ticket = {.cost = found->cost,
                           .vm = std::string(from),
                           .vmIncarnation = message.sender_incarnation(),
                           .requestId = found->requestId};
        m_preferredMember = from;
    } else {
        decision.code = answer.not_member() ? schema::ALLOWANCE_UNCONFIRMED
                                            : static_cast<schema::ResultCode>(answer.code());
        decision.retryAfter = Duration(static_cast<int64_t>(answer.retry_after_us()));
        if (decision.code == schema::RATE_EXCEEDED) {
            m_cachedRefusal = {.code = decision.code,
                               .cost = found->cost,
                               .until = now + std::min(options().hintLifetime, decision.retryAfter),
                               .retryAt = now + decision.retryAfter};
        }
    }
    m_context.actions.decisions.push_back({m_name, decision});
    m_forwarded.erase(found);
}

void OrganisationAllowance::refund(const Ticket &ticket, MicroTokens unused, Instant now)
{
    const MicroTokens returned = std::min(unused, ticket.cost);
    if (returned <= 0) {
        return;
    }
    if (ticket.vm.empty()) {
        m_bucket.refund(ticket.sequence, returned, now);
        decidePending(now);
        return;
    }
    schema::AllowanceMessage message;
    message.mutable_give_back()->set_request_id(ticket.requestId);
    message.mutable_give_back()->set_unused(returned);
    send(ticket.vm, ticket.vmIncarnation, std::move(message));
}

void OrganisationAllowance::onGiveBack(std::string_view from,
                                       const schema::AllowanceMessage &message, Instant now)
{
    const schema::AllowanceGiveBack &back = message.give_back();
    RemoteAdmission *admission
            = findRemoteAdmission(from, message.sender_incarnation(), back.request_id());
    if (admission == nullptr || admission->refunded || back.unused() < 0
        || back.unused() > admission->cost) {
        return refuseMessage(from, "impossible_refund");
    }
    // The entry is kept, so that a duplicate of the message has no effect.
    admission->refunded = true;
    m_bucket.refund(admission->sequence, back.unused(), now);
    decidePending(now);
}

OrganisationAllowance::RemoteAdmission *
OrganisationAllowance::findRemoteAdmission(std::string_view vm, uint64_t incarnation,
                                           uint64_t requestId)
{
    const auto found = std::find_if(m_remoteAdmissions.begin(), m_remoteAdmissions.end(),
                                    [&](const RemoteAdmission &admission) {
                                        return admission.requestId == requestId
                                               && admission.incarnation == incarnation
                                               && admission.vm == vm;
                                    });
    return found == m_remoteAdmissions.end() ? nullptr : &*found;
}

/// Whether a forwarded request is pending or was admitted; the network may duplicate messages.
bool OrganisationAllowance::isDuplicateRequest(const PendingRequest &request)
{
    const bool isPending = std::any_of(
            m_pending.begin(), m_pending.end(), [&request](const PendingRequest &other) {
                return other.requesterRequestId == request.requesterRequestId
                       && other.requesterIncarnation == request.requesterIncarnation;
            });
    return isPending
           || findRemoteAdmission(request.requester, request.requesterIncarnation,
                                  request.requesterRequestId)
                      != nullptr;
}

} // namespace teaseldrift::allowance
