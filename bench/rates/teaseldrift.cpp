#include <algorithm>

#include "policies.hpp"

namespace teaseldrift::rates {

namespace {

using allowance::Decision;
using allowance::Verdict;

constexpr Duration tickInterval = 10ms;

std::string decisionKey(std::string_view vm, uint64_t member, uint64_t requestId)
{
    return std::string(vm) + "/" + std::to_string(member) + "/" + std::to_string(requestId);
}

} // namespace

Teaseldrift::Teaseldrift(Fleet &fleet)
    : m_fleet(fleet), m_books(fleet.scenario.vms), m_incarnations(fleet.scenario.vms),
      m_waiting(fleet.scenario.vms)
{
    for (size_t vm = 0; vm < fleet.scenario.vms; ++vm) {
        start(vm);
    }
    tick();
}

std::vector<homes::VmView> Teaseldrift::views() const
{
    std::vector<homes::VmView> list;
    for (size_t vm = 0; vm < m_fleet.scenario.vms; ++vm) {
        if (m_fleet.listed[vm]) {
            list.push_back({.id = m_fleet.names[vm], .availabilityZone = m_fleet.zoneOf(vm)});
        }
    }
    return list;
}

void Teaseldrift::start(size_t vm)
{
    const Instant now = m_fleet.simulation.now();
    m_incarnations[vm] = ++m_started;
    m_books[vm] = std::make_unique<allowance::AllowanceManager>(
            allowance::ProcessIdentity{.vm = m_fleet.names[vm], .incarnation = m_started});
    m_books[vm]->setVms(views(), now);
    for (const Organisation &organisation : m_fleet.scenario.organisations) {
        m_books[vm]->configure(organisation.name, organisation.limits, now);
    }
    collect(vm);
}

void Teaseldrift::crash(size_t vm)
{
    m_books[vm].reset();
    for (const auto &[id, request] : m_waiting[vm]) {
        m_fleet.requests[request].reached = false;
    }
    m_waiting[vm].clear();
}

void Teaseldrift::listChanged()
{
    for (size_t vm = 0; vm < m_books.size(); ++vm) {
        if (m_books[vm] != nullptr) {
            m_books[vm]->setVms(views(), m_fleet.simulation.now());
            collect(vm);
        }
    }
}

void Teaseldrift::tick()
{
    for (size_t vm = 0; vm < m_books.size(); ++vm) {
        if (m_books[vm] != nullptr) {
            m_books[vm]->tick(m_fleet.simulation.now());
            collect(vm);
        }
    }
    m_fleet.simulation.after(tickInterval, [this] { tick(); });
}

void Teaseldrift::admit(size_t number)
{
    const Request &request = m_fleet.requests[number];
    const std::string &name = m_fleet.scenario.organisations[request.organisation].name;
    const size_t vm = request.vm;
    const Decision decision = m_books[vm]->admit(name, request.cost, m_fleet.simulation.now());
    if (decision.verdict == Verdict::Pending) {
        m_waiting[vm][decision.requestId] = number;
    } else {
        note(vm, number, decision);
    }
    collect(vm);
}

void Teaseldrift::note(size_t vm, size_t request, const Decision &decision)
{
    Instant when = m_fleet.simulation.now();
    if (decision.verdict == Verdict::Admitted) {
        const allowance::Ticket &ticket = decision.ticket;
        m_tickets[request] = ticket;
        if (!ticket.vm.empty()) {
            when = m_decidedAt.at(
                    decisionKey(m_fleet.names[vm], ticket.vmIncarnation, ticket.requestId));
        }
    }
    m_fleet.decide(request, decision.verdict == Verdict::Admitted, when);
}

void Teaseldrift::finish(size_t number)
{
    const Request &request = m_fleet.requests[number];
    const auto found = m_tickets.find(number);
    if (found == m_tickets.end() || m_books[request.vm] == nullptr) {
        return;
    }
    const std::string &name = m_fleet.scenario.organisations[request.organisation].name;
    m_books[request.vm]->refund(name, found->second, request.unused, m_fleet.simulation.now());
    m_tickets.erase(found);
    collect(request.vm);
}

void Teaseldrift::collect(size_t vm)
{
    allowance::Actions actions = m_books[vm]->takeActions();
    for (const allowance::PendingDecision &pending : actions.decisions) {
        const auto found = m_waiting[vm].find(pending.decision.requestId);
        if (found != m_waiting[vm].end()) {
            const size_t request = found->second;
            m_waiting[vm].erase(found);
            note(vm, request, pending.decision);
        }
    }
    for (allowance::OutgoingMessage &outgoing : actions.messages) {
        deliver(vm, std::move(outgoing));
    }
    for (const allowance::RecordRead &wanted : actions.reads) {
        read(vm, wanted.organisation);
    }
    for (const allowance::RecordWrite &wanted : actions.writes) {
        write(vm, wanted);
    }
}

void Teaseldrift::deliver(size_t from, allowance::OutgoingMessage outgoing)
{
    ++m_fleet.cost.messages;
    m_fleet.cost.bytes += outgoing.message.ByteSizeLong();
    const schema::AllowanceMessage &message = outgoing.message;
    if (message.has_admit_answer() && message.admit_answer().code() == schema::OK) {
        m_decidedAt[decisionKey(outgoing.vm, message.sender_incarnation(),
                                message.admit_answer().request_id())]
                = m_fleet.simulation.now();
    }
    const auto slot = std::find(m_fleet.names.begin(), m_fleet.names.end(), outgoing.vm);
    if (slot == m_fleet.names.end()) {
        return;
    }
    const size_t to = static_cast<size_t>(slot - m_fleet.names.begin());
    m_fleet.simulation.after(m_fleet.delay(from, to), [this, to, sender = m_fleet.names[from],
                                                       message = std::move(outgoing.message)] {
        if (m_books[to] != nullptr) {
            m_books[to]->onMessage(sender, message, m_fleet.simulation.now());
            collect(to);
        }
    });
}

void Teaseldrift::read(size_t vm, const std::string &organisation)
{
    ++m_fleet.cost.storeCalls;
    m_fleet.simulation.after(storeDelay, [this, vm, organisation,
                                          incarnation = m_incarnations[vm]] {
        if (m_books[vm] == nullptr || m_incarnations[vm] != incarnation) {
            return;
        }
        const Record &record = m_store[organisation];
        m_books[vm]->onRead(
                organisation,
                {.failed = m_fleet.storeDown, .record = record.record, .revision = record.revision},
                m_fleet.simulation.now());
        collect(vm);
    });
}

void Teaseldrift::write(size_t vm, const allowance::RecordWrite &wanted)
{
    ++m_fleet.cost.storeCalls;
    m_fleet.simulation.after(storeDelay, [this, vm, wanted, incarnation = m_incarnations[vm]] {
        allowance::RecordWriteOutcome outcome = allowance::RecordWriteOutcome::Unknown;
        Record &record = m_store[wanted.organisation];
        if (!m_fleet.storeDown) {
            const bool isCurrent = record.revision == wanted.expectedRevision;
            outcome = isCurrent ? allowance::RecordWriteOutcome::Written
                                : allowance::RecordWriteOutcome::Conflict;
            if (isCurrent) {
                record = {.record = wanted.record, .revision = record.revision + 1};
            }
        }
        if (m_books[vm] != nullptr && m_incarnations[vm] == incarnation) {
            m_books[vm]->onWrite(wanted.organisation, outcome, m_fleet.simulation.now());
            collect(vm);
        }
    });
}

} // namespace teaseldrift::rates
