#include <algorithm>

#include "organisation_allowance.hpp"

namespace teaseldrift::allowance {

Decision OrganisationAllowance::askMember(MicroTokens cost, Instant now)
{
    const uint64_t requestId = nextNumber();
    if (m_guestRefusal.code != schema::OK && now < m_guestRefusal.until
        && cost >= m_guestRefusal.cost) {
        return {.requestId = requestId,
                .code = m_guestRefusal.code,
                .retryAfter = std::max<Duration>(m_guestRefusal.retryAt - now, 1ms)};
    }
    GuestQuestion question{.requestId = requestId, .cost = cost};
    if (m_guestQuestions.size() >= options().maximumPending || !askNextMember(question, now)) {
        return {.requestId = requestId,
                .code = schema::ALLOWANCE_UNCONFIRMED,
                .retryAfter = options().retryInterval};
    }
    m_guestQuestions.push_back(std::move(question));
    return {.requestId = requestId, .verdict = Verdict::Pending};
}

/// Asks the nearest member that was not asked yet; members that fell silent come last.
bool OrganisationAllowance::askNextMember(GuestQuestion &question, Instant now)
{
    if (question.asked.size() >= options().guestAttempts) {
        return false;
    }
    const std::string_view zone = m_environment.registry.zoneOf(m_environment.self.vm);
    const Peer *best = nullptr;
    int bestRank = 0;
    for (const Peer &peer : m_peers) {
        const bool wasAsked = std::find(question.asked.begin(), question.asked.end(), peer.vm)
                              != question.asked.end();
        if (peer.gone || wasAsked) {
            continue;
        }
        const bool isNear = m_environment.registry.zoneOf(peer.vm) == zone;
        const int rank = 1 + (isNear ? 1 : 0) + (peer.vm == m_guestOf ? 2 : 0)
                         + (now >= peer.silentUntil ? 4 : 0);
        if (rank > bestRank) {
            best = &peer;
            bestRank = rank;
        }
    }
    if (best == nullptr) {
        return false;
    }
    question.asked.push_back(best->vm);
    question.deadline = now + options().guestTimeout;
    schema::AllowanceMessage message;
    message.mutable_admit_request()->set_request_id(question.requestId);
    message.mutable_admit_request()->set_cost(question.cost);
    send(best->vm, 0, std::move(message));
    return true;
}

void OrganisationAllowance::expireGuestQuestions(Instant now)
{
    std::erase_if(m_guestQuestions, [this, now](GuestQuestion &question) {
        if (now < question.deadline) {
            return false;
        }
        Peer *silent = findPeer(question.asked.back());
        if (silent != nullptr) {
            silent->silentUntil = now + options().silence;
        }
        if (askNextMember(question, now)) {
            return false;
        }
        m_environment.actions.decisions.push_back({m_name,
                                                   {.requestId = question.requestId,
                                                    .code = schema::ALLOWANCE_UNCONFIRMED,
                                                    .retryAfter = options().retryInterval}});
        return true;
    });
}

void OrganisationAllowance::onAdmitRequest(std::string_view from,
                                           const schema::AllowanceMessage &message, Instant now)
{
    const schema::AllowanceAdmitRequest &request = message.admit_request();
    Question question{.requestId = nextNumber(),
                      .cost = request.cost(),
                      .guest = std::string(from),
                      .guestIncarnation = message.sender_incarnation(),
                      .guestRequestId = request.request_id()};
    if (!m_standing) {
        schema::AllowanceMessage answer;
        answer.mutable_admit_answer()->set_request_id(request.request_id());
        answer.mutable_admit_answer()->set_not_member(true);
        *answer.mutable_admit_answer()->mutable_record() = m_record;
        send(from, message.sender_incarnation(), std::move(answer));
        return;
    }
    if (isKnownGuestRequest(question)) {
        return;
    }
    if (request.cost() < 0 || request.cost() > m_bucket.limits().burst) {
        return answerQuestion(question, {.code = schema::LARGER_THAN_BURST});
    }
    m_demand.add(request.cost(), now, options().demandWindow);
    const Decision decision = ask(question, now);
    if (decision.verdict != Verdict::Pending) {
        answerQuestion(question, decision);
    }
}

void OrganisationAllowance::sendAdmitAnswer(const Question &question, const Decision &decision)
{
    if (decision.verdict == Verdict::Admitted) {
        m_guestTickets.push_back({.vm = question.guest,
                                  .incarnation = question.guestIncarnation,
                                  .requestId = question.guestRequestId,
                                  .cost = decision.ticket.cost,
                                  .sequence = decision.ticket.sequence});
        if (m_guestTickets.size() > options().maximumGuestTickets) {
            m_guestTickets.pop_front();
        }
    }
    schema::AllowanceMessage message;
    schema::AllowanceAdmitAnswer &answer = *message.mutable_admit_answer();
    answer.set_request_id(question.guestRequestId);
    answer.set_code(static_cast<uint32_t>(decision.code));
    answer.set_retry_after_us(static_cast<uint64_t>(decision.retryAfter.count()));
    send(question.guest, question.guestIncarnation, std::move(message));
}

void OrganisationAllowance::onAdmitAnswer(std::string_view from,
                                          const schema::AllowanceMessage &message, Instant now)
{
    const schema::AllowanceAdmitAnswer &answer = message.admit_answer();
    if (answer.not_member()) {
        install(answer.record(), false, now);
    }
    const auto found = std::find_if(m_guestQuestions.begin(), m_guestQuestions.end(),
                                    [&answer](const GuestQuestion &question) {
                                        return question.requestId == answer.request_id();
                                    });
    if (found == m_guestQuestions.end() || found->asked.back() != from || now > found->deadline) {
        return;
    }
    if (answer.not_member() && askNextMember(*found, now)) {
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
        m_guestOf = from;
    } else {
        decision.code = answer.not_member() ? schema::ALLOWANCE_UNCONFIRMED
                                            : static_cast<schema::ResultCode>(answer.code());
        decision.retryAfter = Duration(static_cast<int64_t>(answer.retry_after_us()));
        if (decision.code == schema::RATE_EXCEEDED) {
            m_guestRefusal = {.code = decision.code,
                              .cost = found->cost,
                              .until = now + std::min(options().hintLifetime, decision.retryAfter),
                              .retryAt = now + decision.retryAfter};
        }
    }
    m_environment.actions.decisions.push_back({m_name, decision});
    m_guestQuestions.erase(found);
}

void OrganisationAllowance::refund(const Ticket &ticket, MicroTokens unused, Instant now)
{
    const MicroTokens returned = std::min(unused, ticket.cost);
    if (returned <= 0) {
        return;
    }
    if (ticket.vm.empty()) {
        m_bucket.refund(ticket.sequence, returned, now);
        settle(now);
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
    GuestTicket *ticket = findGuestTicket(from, message.sender_incarnation(), back.request_id());
    if (ticket == nullptr || ticket->closed) {
        return;
    }
    // It stays known, so that a repeated message changes nothing.
    ticket->closed = true;
    m_bucket.refund(ticket->sequence, std::min(back.unused(), ticket->cost), now);
    settle(now);
}

OrganisationAllowance::GuestTicket *OrganisationAllowance::findGuestTicket(std::string_view vm,
                                                                           uint64_t incarnation,
                                                                           uint64_t requestId)
{
    const auto found = std::find_if(
            m_guestTickets.begin(), m_guestTickets.end(), [&](const GuestTicket &ticket) {
                return ticket.requestId == requestId && ticket.incarnation == incarnation
                       && ticket.vm == vm;
            });
    return found == m_guestTickets.end() ? nullptr : &*found;
}

/// Whether a guest's request was admitted before or waits; the network may repeat messages.
bool OrganisationAllowance::isKnownGuestRequest(const Question &question)
{
    const bool isPending
            = std::any_of(m_pending.begin(), m_pending.end(), [&question](const Question &other) {
                  return other.guestRequestId == question.guestRequestId
                         && other.guestIncarnation == question.guestIncarnation;
              });
    return isPending
           || findGuestTicket(question.guest, question.guestIncarnation, question.guestRequestId)
                      != nullptr;
}

} // namespace teaseldrift::allowance
