#include "fleet_simulation_test.hpp"

#include <algorithm>

namespace teaseldrift::allowance::simulation {

/// Passes a VM a snapshot of the VM list that is within maximumListAge and not older than its last.
void FleetSimulation::refreshList(size_t vm, size_t lag)
{
    std::string name;
    Process *process = pick(vm, name);
    if (process == nullptr || process->paused) {
        return;
    }
    size_t oldest = process->viewIndex;
    while (oldest + 1 < m_views.size() && m_views[oldest + 1].at + maximumListAge <= m_now) {
        ++oldest;
    }
    refresh(name, m_views.size() - 1 - lag % (m_views.size() - oldest));
}

void FleetSimulation::refresh(const std::string &vm, size_t viewIndex)
{
    Process &process = m_processes.at(vm);
    process.viewIndex = viewIndex;
    process.manager.setVms(m_views[viewIndex].vms, localTime(process));
    collectActions(vm);
}

bool FleetSimulation::apply(const RecordWrite &write)
{
    if (write.expectedRevision != m_revision) {
        return false;
    }
    m_record = write.record;
    ++m_revision;
    return true;
}

/// Completes a store call with an injected fault: 0 none, 1 loses the response, 2 loses the call,
/// 3 reports an unknown outcome while a write is still in flight, 4 answers a read with the record
/// as it was when the read was sent.
void FleetSimulation::answerStore(size_t number, size_t fault)
{
    if (m_calls.empty()) {
        return;
    }
    const auto chosen = m_calls.begin() + static_cast<std::ptrdiff_t>(number % m_calls.size());
    const StoreCall call = *chosen;
    m_calls.erase(chosen);
    fault = m_storeDown ? 2 : fault % 5;
    RecordWriteOutcome outcome = RecordWriteOutcome::Unknown;
    if (call.write.has_value() && (fault < 2 || fault == 4)) {
        const bool written = apply(*call.write);
        outcome = written ? RecordWriteOutcome::Written : RecordWriteOutcome::Conflict;
    }
    if (call.write.has_value() && fault == 3) {
        m_calls.push_back({.write = call.write});
    }
    const auto found = m_processes.find(call.vm);
    if (found == m_processes.end() || found->second.incarnation != call.incarnation
        || found->second.paused) {
        return;
    }
    Process &process = found->second;
    const Instant now = localTime(process);
    if (call.write.has_value()) {
        const bool isLost = fault == 1 || fault == 2 || fault == 3;
        process.manager.onWrite(organisation, isLost ? RecordWriteOutcome::Unknown : outcome, now);
    } else if (fault == 4) {
        process.manager.onRead(organisation,
                               {.record = call.readRecord, .revision = call.readRevision}, now);
    } else {
        process.manager.onRead(organisation,
                               {.failed = fault != 0, .record = m_record, .revision = m_revision},
                               now);
    }
    collectActions(call.vm);
}

void FleetSimulation::inject(const std::string &from, const std::string &to,
                             schema::AllowanceMessage message)
{
    m_hasFalseMessages = true;
    if (message.organisation().empty()) {
        message.set_organisation(std::string(organisation));
    }
    if (message.sender_incarnation() == 0 && m_processes.contains(from)) {
        message.set_sender_incarnation(state(from).incarnation);
    }
    if (message.receiver_incarnation() == 0) {
        message.set_receiver_incarnation(state(to).incarnation);
    }
    receive({from, to, std::move(message)});
}

DivisionState FleetSimulation::state(const std::string &vm) const
{
    return m_processes.at(vm).manager.divisionState(organisation);
}

uint64_t FleetSimulation::refusedMessages(const std::string &vm) const
{
    return m_processes.at(vm).manager.refusedMessages();
}

MicroTokens FleetSimulation::levels() const
{
    MicroTokens sum = 0;
    for (const auto &[vm, process] : m_processes) {
        sum += process.manager.level(organisation, localTime(process));
    }
    return sum;
}

std::string FleetSimulation::violation() const
{
    // Tokens missing from the whole bucket after each admission must not exceed the burst.
    MicroTokens owed = 0;
    Instant last{};
    for (const Admission &admission : m_admissions) {
        const MicroTokens growth = limits.rate / 1'000'000 * (admission.at - last).count();
        owed = std::max<MicroTokens>(0, owed - growth) + admission.net;
        last = admission.at;
        if (owed > limits.burst) {
            return "tokens admitted above the rate limit: " + std::to_string(owed - limits.burst);
        }
    }
    if (!m_stepViolation.empty()) {
        return m_stepViolation;
    }
    // A transfer that was applied twice, or a share that two VMs use, makes the sums too large.
    if (shares() > wholeShare) {
        return "sum of shares exceeds the whole";
    }
    if (levels() + tokensUnderWay() > limits.burst - debt()) {
        return "levels and tokens on their way exceed what the limit leaves";
    }
    const std::string misplaced = placeViolation();
    if (!misplaced.empty()) {
        return misplaced;
    }
    return m_wronglyTooLarge ? "request within the burst refused as larger than the burst" : "";
}

} // namespace teaseldrift::allowance::simulation
