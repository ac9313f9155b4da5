#include <algorithm>

#include "fleet_simulation_test.hpp"

namespace teaseldrift::allowance::simulation {

namespace {

using States = std::map<std::string, DivisionState>;

const MemberAccount *findAccount(const DivisionState &state, std::string_view vm)
{
    const auto found = std::find_if(state.accounts.begin(), state.accounts.end(),
                                    [vm](const MemberAccount &member) { return member.vm == vm; });
    return found == state.accounts.end() ? nullptr : &*found;
}

/// The account that a living VM keeps with the VM of `state`, if both are in one session.
const PeerAccount *counterpart(const States &states, const std::string &vm,
                               const DivisionState &state, const MemberAccount &member)
{
    const auto other = states.find(member.vm);
    if (member.gone || other == states.end()
        || other->second.incarnation != member.account.incarnation) {
        return nullptr;
    }
    const MemberAccount *back = findAccount(other->second, vm);
    const bool isMutual = back != nullptr && !back->gone && other->second.isActive
                          && back->account.incarnation == state.incarnation;
    return isMutual ? &back->account : nullptr;
}

} // namespace

int64_t FleetSimulation::shares() const
{
    int64_t sum = 0;
    for (const auto &[vm, process] : m_processes) {
        sum += process.manager.share(organisation);
    }
    return sum;
}

/// What the limit does not leave now: tokens admitted and not yet accrued again.
MicroTokens FleetSimulation::debt() const
{
    MicroTokens debt = 0;
    Instant last{};
    const auto pass = [&](Instant until) {
        debt = std::max<MicroTokens>(0, debt - limits.rate / 1'000'000 * (until - last).count());
        last = until;
    };
    for (const Admission &admission : m_admissions) {
        pass(admission.at);
        debt += admission.net;
    }
    pass(m_now);
    return debt;
}

MicroTokens FleetSimulation::tokensUnderWay() const
{
    States states;
    for (const auto &[vm, process] : m_processes) {
        states[vm] = process.manager.divisionState(organisation);
    }
    MicroTokens sum = 0;
    for (const auto &[vm, state] : states) {
        for (const MemberAccount &member : state.accounts) {
            const PeerAccount *back = counterpart(states, vm, state, member);
            if (state.isActive && back != nullptr) {
                sum += member.account.givenTokens - back->appliedTokens;
            }
        }
    }
    return sum;
}

std::string FleetSimulation::placeViolation() const
{
    States states;
    for (const auto &[vm, process] : m_processes) {
        DivisionState state = process.manager.divisionState(organisation);
        if (!m_record.has_value()
            || (state.isActive && state.record.epoch() != m_record->epoch())) {
            return "";
        }
        states[vm] = std::move(state);
    }
    int64_t placed = shares();
    for (const auto &[vm, state] : states) {
        if (!state.isActive) {
            continue;
        }
        for (const MemberAccount &member : state.accounts) {
            const PeerAccount &account = member.account;
            const PeerAccount *back = counterpart(states, vm, state, member);
            if (back == nullptr) {
                // Lent to a process that is dead or not active yet.
                placed += account.lent();
                continue;
            }
            if (account.initialLent != back->initialHeld || back->appliedUnits > account.givenUnits
                || back->appliedTokens > account.givenTokens) {
                return "accounts of " + vm + " and " + member.vm + " disagree";
            }
            placed += static_cast<int64_t>(account.givenUnits - back->appliedUnits);
        }
    }
    for (const schema::DivisionMember &member : m_record->members()) {
        const auto owner = states.find(member.vm_id());
        if (owner != states.end() && owner->second.isActive) {
            continue;
        }
        // The base share of a process that is dead or not active yet, less what others hold of it.
        placed += member.base_units();
        for (const auto &[vm, state] : states) {
            const MemberAccount *account = findAccount(state, member.vm_id());
            if (state.isActive && account != nullptr) {
                placed -= account->account.held();
            }
        }
    }
    return placed == wholeShare
                   ? ""
                   : "units that have no place or two: " + std::to_string(wholeShare - placed);
}

void FleetSimulation::checkStep()
{
    if (!m_stepViolation.empty()) {
        return;
    }
    m_stepViolation = placeViolation();
    if (m_stepViolation.empty() && m_wholeFrom.has_value() && m_now >= *m_wholeFrom
        && shares() != wholeShare) {
        m_stepViolation = "shares do not sum to the whole after the recovery time: "
                          + std::to_string(wholeShare - shares());
    }
}

} // namespace teaseldrift::allowance::simulation
