#include "fleet_simulation_test.hpp"

#include <algorithm>

namespace teaseldrift::allowance::simulation {

namespace {

constexpr size_t zones = 3;
constexpr Duration step = 10ms;

std::string costKey(std::string_view vm, uint64_t incarnation, uint64_t requestId)
{
    return std::string(vm) + "/" + std::to_string(incarnation) + "/" + std::to_string(requestId);
}

std::string answerKey(std::string_view requester, uint64_t requesterProcess, uint64_t member,
                      uint64_t requestId)
{
    return costKey(requester, requesterProcess, member) + "/" + std::to_string(requestId);
}

} // namespace

FleetSimulation::FleetSimulation(size_t vms, bool clocksStop) : m_clocksStop(clocksStop)
{
    for (size_t i = 0; i < vms; ++i) {
        const std::string vm = "vm-" + std::to_string(m_created++);
        m_listed[vm] = "zone-" + std::to_string(i % zones);
    }
    publish();
    for (const auto &[vm, zone] : m_listed) {
        start(vm, zone);
    }
}

void FleetSimulation::start(const std::string &vm, const std::string &zone)
{
    Process process{.manager = AllowanceManager({.vm = vm, .incarnation = ++m_created},
                                                {.maximumListAge = maximumListAge}),
                    .incarnation = m_created,
                    .zone = zone};
    // Each process has a different clock offset, because clocks of VMs are not synchronised.
    process.clockLag = -Duration(static_cast<int64_t>(m_created) * 1'000'000'000);
    m_processes.erase(vm);
    m_processes.emplace(vm, std::move(process));
    refresh(vm, m_views.size() - 1);
    Process &started = m_processes.at(vm);
    started.manager.configure(organisation, limits, localTime(started));
}

void FleetSimulation::publish()
{
    View view{.at = m_now};
    for (const auto &[vm, zone] : m_listed) {
        const bool leaving = std::find(m_leaving.begin(), m_leaving.end(), vm) != m_leaving.end();
        view.vms.push_back({.id = vm, .availabilityZone = zone, .leaving = leaving});
    }
    m_views.push_back(std::move(view));
}

Instant FleetSimulation::localTime(const Process &process) const
{
    // pause() takes the time of the pause from the lag of a clock that stops.
    const bool isStopped = process.paused && m_clocksStop;
    return (isStopped ? Instant{} : m_now) - process.clockLag;
}

Process *FleetSimulation::pick(size_t number, std::string &vm)
{
    if (m_processes.empty()) {
        return nullptr;
    }
    const auto found = std::next(m_processes.begin(),
                                 static_cast<std::ptrdiff_t>(number % m_processes.size()));
    vm = found->first;
    return &found->second;
}

void FleetSimulation::recordAdmission(Instant at, MicroTokens cost)
{
    m_admissions.push_back({at, cost});
}

void FleetSimulation::recordDecision(const std::string &vm, const Process &process,
                                     const Decision &decision)
{
    m_wronglyTooLarge = m_wronglyTooLarge || decision.code == schema::LARGER_THAN_BURST;
    if (decision.verdict != Verdict::Admitted) {
        return;
    }
    const Ticket &ticket = decision.ticket;
    size_t admission = m_admissions.size();
    if (ticket.vm.empty()) {
        recordAdmission(m_now, ticket.cost);
    } else {
        admission = m_answers.at(
                answerKey(vm, process.incarnation, ticket.vmIncarnation, ticket.requestId));
    }
    m_tickets.push_back({vm, process.incarnation, decision.ticket, admission});
}

/// Takes the actions of a VM's manager. An admission for another VM is recorded when the member
/// decides it, even if its answer is lost.
void FleetSimulation::collectActions(const std::string &vm)
{
    Process &process = m_processes.at(vm);
    Actions actions = process.manager.takeActions();
    for (const PendingDecision &pending : actions.decisions) {
        recordDecision(vm, process, pending.decision);
    }
    for (const RefusedMessage &refused : actions.refused) {
        const bool isClaim
                = refused.reason == "impossible_totals" || refused.reason == "impossible_claim";
        if (isClaim && !m_hasFalseMessages) {
            m_stepViolation = "message of a correct VM refused: " + std::string(refused.reason);
        }
    }
    for (OutgoingMessage &outgoing : actions.messages) {
        const schema::AllowanceMessage &message = outgoing.message;
        m_processOf[message.sender_incarnation()] = process.incarnation;
        if (message.has_admit_request()) {
            m_costs[costKey(vm, message.sender_incarnation(), message.admit_request().request_id())]
                    = message.admit_request().cost();
        }
        if (message.has_admit_answer() && !message.admit_answer().not_member()
            && message.admit_answer().code() == schema::OK) {
            m_answers.emplace(answerKey(outgoing.vm, m_processOf[message.receiver_incarnation()],
                                        message.sender_incarnation(),
                                        message.admit_answer().request_id()),
                              m_admissions.size());
            recordAdmission(m_now, m_costs[costKey(outgoing.vm, message.receiver_incarnation(),
                                                   message.admit_answer().request_id())]);
        }
        if (m_claimedUnits.has_value() && message.has_fence_ack()) {
            for (schema::HeldShare &held : *outgoing.message.mutable_fence_ack()->mutable_held()) {
                held.set_units(*m_claimedUnits);
            }
        }
        m_inFlight.push_back({vm, outgoing.vm, std::move(outgoing.message)});
    }
    for (size_t i = 0; i < actions.reads.size(); ++i) {
        m_calls.push_back({vm, process.incarnation, std::nullopt, m_record, m_revision});
    }
    for (RecordWrite &write : actions.writes) {
        m_calls.push_back({vm, process.incarnation, std::move(write)});
    }
}

void FleetSimulation::receive(const Envelope &envelope)
{
    const auto found = m_processes.find(envelope.to);
    if (found == m_processes.end() || found->second.paused) {
        return;
    }
    found->second.manager.onMessage(envelope.from, envelope.message, localTime(found->second));
    collectActions(envelope.to);
}

void FleetSimulation::deliver(size_t number)
{
    if (m_inFlight.empty()) {
        return;
    }
    const auto chosen
            = m_inFlight.begin() + static_cast<std::ptrdiff_t>(number % m_inFlight.size());
    const Envelope envelope = *chosen;
    m_inFlight.erase(chosen);
    if (m_copiesToDelay > 0) {
        --m_copiesToDelay;
        m_delayed.push_back(envelope);
    }
    receive(envelope);
}

void FleetSimulation::drop(size_t number)
{
    if (!m_inFlight.empty()) {
        m_inFlight.erase(m_inFlight.begin()
                         + static_cast<std::ptrdiff_t>(number % m_inFlight.size()));
    }
}

void FleetSimulation::duplicate(size_t number)
{
    if (!m_inFlight.empty()) {
        m_inFlight.push_back(m_inFlight[number % m_inFlight.size()]);
    }
}

void FleetSimulation::delay(size_t number)
{
    if (!m_inFlight.empty()) {
        m_delayed.push_back(m_inFlight[number % m_inFlight.size()]);
        drop(number);
    }
}

void FleetSimulation::deliverDelayed(size_t number)
{
    if (!m_delayed.empty()) {
        const auto chosen
                = m_delayed.begin() + static_cast<std::ptrdiff_t>(number % m_delayed.size());
        const Envelope envelope = *chosen;
        m_delayed.erase(chosen);
        receive(envelope);
    }
}

void FleetSimulation::tickAll()
{
    for (auto &[vm, process] : m_processes) {
        if (!process.paused) {
            process.manager.tick(localTime(process));
            collectActions(vm);
        }
    }
}

/// Advances the time and delivers all messages and store results in order.
void FleetSimulation::run(Duration time)
{
    for (const Instant end = m_now + time; m_now < end; m_now += step) {
        tickAll();
        for (size_t rounds = 0; rounds < 50 && !m_inFlight.empty(); ++rounds) {
            for (size_t count = m_inFlight.size(); count > 0; --count) {
                deliver(0);
            }
            for (size_t count = m_calls.size(); count > 0; --count) {
                answerStore(0, 0);
            }
        }
        for (size_t count = m_calls.size(); count > 0; --count) {
            answerStore(0, 0);
        }
        checkStep();
    }
}

void FleetSimulation::admit(size_t vm, MicroTokens cost)
{
    std::string name;
    Process *process = pick(vm, name);
    if (process == nullptr || process->paused) {
        return;
    }
    const Decision decision = process->manager.admit(organisation, cost, localTime(*process));
    if (cost > limits.burst) {
        return;
    }
    recordDecision(name, *process, decision);
    collectActions(name);
}

void FleetSimulation::setLimits(const Limits &changed)
{
    limits = changed;
    for (auto &[vm, process] : m_processes) {
        process.manager.configure(organisation, limits, localTime(process));
        collectActions(vm);
    }
}

void FleetSimulation::spendAll()
{
    for (size_t vm = 0; vm < m_processes.size(); ++vm) {
        std::string name;
        const Process *process = pick(vm, name);
        admit(vm, process->manager.level(organisation, localTime(*process)));
    }
}

void FleetSimulation::refund(size_t number, MicroTokens unused)
{
    if (m_tickets.empty()) {
        return;
    }
    const auto chosen = m_tickets.begin() + static_cast<std::ptrdiff_t>(number % m_tickets.size());
    const OpenTicket open = *chosen;
    m_tickets.erase(chosen);
    const auto found = m_processes.find(open.vm);
    if (found == m_processes.end() || found->second.incarnation != open.incarnation
        || found->second.paused) {
        return;
    }
    const MicroTokens returned = std::min(unused, open.ticket.cost);
    found->second.manager.refund(organisation, open.ticket, returned, localTime(found->second));
    m_admissions[open.admission].net -= returned;
    collectActions(open.vm);
}

void FleetSimulation::pause(size_t vm)
{
    std::string name;
    Process *process = pick(vm, name);
    if (process == nullptr || process->paused) {
        return;
    }
    process->paused = true;
    if (m_clocksStop) {
        process->clockLag = process->clockLag - (m_now - Instant{});
    }
}

void FleetSimulation::resume(size_t vm)
{
    std::string name;
    Process *process = pick(vm, name);
    if (process == nullptr || !process->paused) {
        return;
    }
    process->paused = false;
    if (m_clocksStop) {
        process->clockLag = process->clockLag + (m_now - Instant{});
    }
}

void FleetSimulation::stop(const std::string &vm)
{
    m_processes.erase(vm);
}

void FleetSimulation::kill(size_t vm)
{
    std::string name;
    if (pick(vm, name) != nullptr && m_processes.size() > 1) {
        stop(name);
    }
}

void FleetSimulation::replace(size_t vm)
{
    const auto found
            = std::next(m_listed.begin(), static_cast<std::ptrdiff_t>(vm % m_listed.size()));
    start(found->first, found->second);
}

void FleetSimulation::replaceElsewhere(size_t vm)
{
    const auto found
            = std::next(m_listed.begin(), static_cast<std::ptrdiff_t>(vm % m_listed.size()));
    const std::string zone = found->second;
    stop(found->first);
    m_listed.erase(found);
    const std::string name = "vm-" + std::to_string(m_created++);
    m_listed[name] = zone;
    publish();
    start(name, zone);
}

void FleetSimulation::drain(size_t vm)
{
    std::string name;
    Process *process = pick(vm, name);
    if (process == nullptr || process->paused || m_leaving.size() + 2 > m_listed.size()) {
        return;
    }
    m_leaving.push_back(name);
    publish();
    process->manager.drain(localTime(*process));
    collectActions(name);
}

void FleetSimulation::refreshAll()
{
    for (size_t vm = 0; vm < m_processes.size(); ++vm) {
        refreshList(vm, 0);
    }
}

void FleetSimulation::heal()
{
    m_storeDown = false;
    for (const auto &[vm, zone] : m_listed) {
        if (m_processes.find(vm) == m_processes.end()) {
            start(vm, zone);
        }
    }
    for (size_t vm = 0; vm < m_processes.size(); ++vm) {
        resume(vm);
    }
    // The VM list is read again for longer than maximumListAge, so that all VMs recognise removed
    // VMs as gone.
    constexpr size_t rounds = 8;
    m_wholeFrom = m_now + recoveryTime;
    for (size_t round = 0; round < rounds; ++round) {
        refreshAll();
        run(3s);
    }
}

bool FleetSimulation::canAdmitBurst()
{
    const size_t before = m_admissions.size();
    for (size_t vm = 0; vm < m_processes.size(); ++vm) {
        admit(vm, limits.burst);
        run(1s);
        if (m_admissions.size() > before) {
            return true;
        }
    }
    return false;
}

} // namespace teaseldrift::allowance::simulation
