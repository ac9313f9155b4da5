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
    : m_fleet(fleet), m_managers(fleet.scenario.vms), m_incarnations(fleet.scenario.vms),
      m_waiting(fleet.scenario.vms)
{
    for (size_t vm = 0; vm < fleet.scenario.vms; ++vm) {
        start(vm);
    }
    tick();
}

std::vector<homes::VmView> Teaseldrift::vmViews() const
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
    const Instant now = m_fleet.timeline.now();
    m_incarnations[vm] = ++m_lastIncarnation;
    m_managers[vm] = std::make_unique<allowance::AllowanceManager>(
            allowance::ProcessIdentity{.vm = m_fleet.names[vm], .incarnation = m_lastIncarnation});
    m_managers[vm]->setVms(vmViews(), now);
    for (const Organisation &organisation : m_fleet.scenario.organisations) {
        m_managers[vm]->configure(organisation.name, organisation.limits, now);
    }
    performActions(vm);
}

void Teaseldrift::crash(size_t vm)
{
    m_managers[vm].reset();
    for (const auto &[id, request] : m_waiting[vm]) {
        m_fleet.requests[request].reached = false;
    }
    m_waiting[vm].clear();
}

void Teaseldrift::onVmList()
{
    for (size_t vm = 0; vm < m_managers.size(); ++vm) {
        if (m_managers[vm] != nullptr) {
            m_managers[vm]->setVms(vmViews(), m_fleet.timeline.now());
            performActions(vm);
        }
    }
}

void Teaseldrift::tick()
{
    for (size_t vm = 0; vm < m_managers.size(); ++vm) {
        if (m_managers[vm] != nullptr) {
            m_managers[vm]->tick(m_fleet.timeline.now());
            performActions(vm);
        }
    }
    m_fleet.timeline.after(tickInterval, [this] { tick(); });
}

void Teaseldrift::admit(size_t index)
{
    const Request &request = m_fleet.requests[index];
    const std::string &name = m_fleet.scenario.organisations[request.organisation].name;
    const size_t vm = request.vm;
    const Decision decision = m_managers[vm]->admit(name, request.cost, m_fleet.timeline.now());
    if (decision.verdict == Verdict::Pending) {
        m_waiting[vm][decision.requestId] = index;
    } else {
        recordDecision(vm, index, decision);
    }
    performActions(vm);
}

void Teaseldrift::recordDecision(size_t vm, size_t request, const Decision &decision)
{
    Instant when = m_fleet.timeline.now();
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

void Teaseldrift::finish(size_t index)
{
    const Request &request = m_fleet.requests[index];
    const auto found = m_tickets.find(index);
    if (found == m_tickets.end() || m_managers[request.vm] == nullptr) {
        return;
    }
    const std::string &name = m_fleet.scenario.organisations[request.organisation].name;
    m_managers[request.vm]->refund(name, found->second, request.unused, m_fleet.timeline.now());
    m_tickets.erase(found);
    performActions(request.vm);
}

void Teaseldrift::performActions(size_t vm)
{
    allowance::Actions actions = m_managers[vm]->takeActions();
    for (const allowance::PendingDecision &pending : actions.decisions) {
        const auto found = m_waiting[vm].find(pending.decision.requestId);
        if (found != m_waiting[vm].end()) {
            const size_t request = found->second;
            m_waiting[vm].erase(found);
            recordDecision(vm, request, pending.decision);
        }
    }
    for (allowance::OutgoingMessage &outgoing : actions.messages) {
        deliver(vm, std::move(outgoing));
    }
    for (const allowance::RecordRead &recordRead : actions.reads) {
        read(vm, recordRead.organisation);
    }
    for (const allowance::RecordWrite &recordWrite : actions.writes) {
        write(vm, recordWrite);
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
                = m_fleet.timeline.now();
    }
    const auto slot = std::find(m_fleet.names.begin(), m_fleet.names.end(), outgoing.vm);
    if (slot == m_fleet.names.end()) {
        return;
    }
    const size_t to = static_cast<size_t>(slot - m_fleet.names.begin());
    m_fleet.timeline.after(m_fleet.delay(from, to), [this, to, sender = m_fleet.names[from],
                                                     message = std::move(outgoing.message)] {
        if (m_managers[to] != nullptr) {
            m_managers[to]->onMessage(sender, message, m_fleet.timeline.now());
            performActions(to);
        }
    });
}

void Teaseldrift::read(size_t vm, const std::string &organisation)
{
    ++m_fleet.cost.storeCalls;
    m_fleet.timeline.after(storeDelay, [this, vm, organisation, incarnation = m_incarnations[vm]] {
        if (m_managers[vm] == nullptr || m_incarnations[vm] != incarnation) {
            return;
        }
        const Record &record = m_store[organisation];
        m_managers[vm]->onRead(
                organisation,
                {.failed = m_fleet.storeDown, .record = record.record, .revision = record.revision},
                m_fleet.timeline.now());
        performActions(vm);
    });
}

void Teaseldrift::write(size_t vm, const allowance::RecordWrite &recordWrite)
{
    ++m_fleet.cost.storeCalls;
    m_fleet.timeline.after(storeDelay, [this, vm, recordWrite, incarnation = m_incarnations[vm]] {
        allowance::RecordWriteOutcome outcome = allowance::RecordWriteOutcome::Unknown;
        Record &record = m_store[recordWrite.organisation];
        if (!m_fleet.storeDown) {
            const bool isCurrent = record.revision == recordWrite.expectedRevision;
            outcome = isCurrent ? allowance::RecordWriteOutcome::Written
                                : allowance::RecordWriteOutcome::Conflict;
            if (isCurrent) {
                record = {.record = recordWrite.record, .revision = record.revision + 1};
            }
        }
        if (m_managers[vm] != nullptr && m_incarnations[vm] == incarnation) {
            m_managers[vm]->onWrite(recordWrite.organisation, outcome, m_fleet.timeline.now());
            performActions(vm);
        }
    });
}

} // namespace teaseldrift::rates
