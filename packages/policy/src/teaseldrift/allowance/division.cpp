#include <algorithm>

#include "organisation_allowance.hpp"

namespace teaseldrift::allowance {

namespace {

constexpr Duration fenceTimeout = 2s;
constexpr Duration storeTimeout = 5s;

schema::DivisionMember *findMember(schema::DivisionRecord &record, std::string_view vm)
{
    for (schema::DivisionMember &member : *record.mutable_members()) {
        if (member.vm_id() == vm) {
            return &member;
        }
    }
    return nullptr;
}

schema::DivisionMember &findOrAddMember(schema::DivisionRecord &record, std::string_view vm)
{
    schema::DivisionMember *found = findMember(record, vm);
    if (found != nullptr) {
        return *found;
    }
    schema::DivisionMember &added = *record.add_members();
    added.set_vm_id(std::string(vm));
    added.set_since_epoch(record.epoch());
    return added;
}

/// Raises each home to an equal part of the whole as far as the free units suffice, in the order of
/// the homes. The first home gets the remainder.
void distribute(schema::DivisionRecord &record, std::span<const std::string> homes, ShareUnits free)
{
    const ShareUnits target = wholeShare / static_cast<ShareUnits>(homes.size());
    for (const std::string &home : homes) {
        schema::DivisionMember &member = findOrAddMember(record, home);
        const ShareUnits missing = target - std::min(target, member.base_units());
        const ShareUnits added = std::min(missing, free);
        member.set_base_units(member.base_units() + added);
        free -= added;
    }
    schema::DivisionMember &first = findOrAddMember(record, homes.front());
    first.set_base_units(first.base_units() + free);
}

bool contains(std::span<const std::string> names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

std::optional<size_t> OrganisationAllowance::homeRank() const
{
    const auto found = std::find(m_homes.begin(), m_homes.end(), m_context.self.vm);
    if (found == m_homes.end()) {
        return std::nullopt;
    }
    return static_cast<size_t>(found - m_homes.begin());
}

bool OrganisationAllowance::isChangeNeeded() const
{
    if (!m_recordConfirmed) {
        return true;
    }
    const bool lacksHome = std::any_of(m_homes.begin(), m_homes.end(),
                                       [this](const std::string &home) { return !isMember(home); });
    const bool hasGone = std::any_of(m_peers.begin(), m_peers.end(),
                                     [](const Peer &peer) { return peer.gone; });
    return lacksHome || hasGone;
}

void OrganisationAllowance::maintainDivision(Instant now)
{
    const std::optional<size_t> rank = homeRank();
    const bool mayRead = rank.has_value() || isMember(m_context.self.vm);
    if (!mayRead || !isChangeNeeded()) {
        m_change.neededSince.reset();
        if (m_change.step == ChangeStep::Fencing) {
            m_change.step = ChangeStep::Idle;
        }
        return;
    }
    if (!m_change.neededSince.has_value()) {
        m_change.neededSince = now;
    }
    switch (m_change.step) {
    case ChangeStep::Idle: {
        // Members have time to supply the record before the store is read. Only homes change the
        // division, the lower ranks later.
        const Duration delay
                = m_recordConfirmed ? options().rankDelay * static_cast<int64_t>(rank.value_or(0))
                                    : options().retryInterval;
        const bool mayAct = rank.has_value() || !m_recordConfirmed;
        if (mayAct && now >= *m_change.neededSince + delay && now >= m_change.retryAt) {
            startRead(now);
        }
        return;
    }
    case ChangeStep::Fencing:
        if (now >= m_change.startedAt + fenceTimeout) {
            return failChange(options().storeRetryInterval, now);
        }
        return sendFences();
    case ChangeStep::Reading:
    case ChangeStep::Writing:
        if (now >= m_change.startedAt + storeTimeout) {
            failChange(options().storeRetryInterval, now);
        }
        return;
    }
}

void OrganisationAllowance::startRead(Instant now)
{
    m_change.step = ChangeStep::Reading;
    m_change.startedAt = now;
    m_context.actions.reads.push_back({m_name});
}

void OrganisationAllowance::failChange(Duration pause, Instant now)
{
    m_change.step = ChangeStep::Idle;
    m_change.retryAt = now + pause;
}

void OrganisationAllowance::onRead(const RecordReadResult &state, Instant now)
{
    if (m_change.step != ChangeStep::Reading) {
        return;
    }
    if (state.failed) {
        return failChange(options().storeRetryInterval, now);
    }
    m_change.revision = state.revision;
    if (state.record.has_value()) {
        installRecord(*state.record, true, now);
        if (state.record->epoch() < m_record.epoch()) {
            return failChange(options().storeRetryInterval, now);
        }
    }
    const std::optional<size_t> rank = homeRank();
    const bool isMyTurn = rank.has_value()
                          && now >= m_change.neededSince.value_or(now)
                                             + options().rankDelay * static_cast<int64_t>(*rank);
    const bool isAbsent = !state.record.has_value();
    // A record that was deleted is not recreated, because its shares may still be in use.
    const bool mayCreate = isAbsent && m_record.epoch() == 0;
    if (!isMyTurn || (isAbsent && !mayCreate) || (!isAbsent && !isChangeNeeded())) {
        return failChange(options().retryInterval, now);
    }
    startFence(now);
}

void OrganisationAllowance::startFence(Instant now)
{
    m_change.step = ChangeStep::Fencing;
    m_change.startedAt = now;
    m_change.nonce = nextId();
    m_change.gone.clear();
    m_change.acknowledgedBy.clear();
    m_change.held.clear();
    m_change.unclaimed.clear();
    for (const Peer &peer : m_peers) {
        if (peer.gone && isMember(peer.vm)) {
            m_change.gone.push_back(peer.vm);
            schema::DivisionMember held;
            held.set_vm_id(m_context.self.vm);
            held.set_base_units(peer.account.held());
            schema::DivisionMember unclaimed;
            unclaimed.set_vm_id(peer.vm);
            unclaimed.set_base_units(baseUnitsOf(peer.vm)
                                     - std::min(baseUnitsOf(peer.vm), held.base_units()));
            m_change.held.push_back(std::move(held));
            m_change.unclaimed.push_back(std::move(unclaimed));
        }
    }
    sendFences();
    if (m_change.gone.empty()) {
        propose(now);
    } else {
        proposeIfAcknowledged(now);
    }
}

void OrganisationAllowance::sendFences()
{
    if (m_change.gone.empty()) {
        return;
    }
    for (const Peer &peer : m_peers) {
        if (peer.gone || contains(m_change.acknowledgedBy, peer.vm)) {
            continue;
        }
        schema::AllowanceMessage message;
        schema::AllowanceFence &fence = *message.mutable_fence();
        fence.set_nonce(m_change.nonce);
        *fence.mutable_record() = m_record;
        for (const std::string &vm : m_change.gone) {
            fence.add_gone_vm_ids(vm);
        }
        send(peer.vm, 0, std::move(message));
    }
}

void OrganisationAllowance::onFence(std::string_view from, const schema::AllowanceMessage &message,
                                    Instant now)
{
    const schema::AllowanceFence &fence = message.fence();
    installRecord(fence.record(), false, now);
    if (m_record.epoch() != fence.record().epoch()) {
        return sendNotice(from);
    }
    schema::AllowanceMessage answer;
    schema::AllowanceFenceAck &ack = *answer.mutable_fence_ack();
    ack.set_nonce(fence.nonce());
    for (const std::string &vm : fence.gone_vm_ids()) {
        Peer *peer = findPeer(vm);
        if (peer == nullptr) {
            continue;
        }
        markPeerGone(*peer, now);
        schema::HeldShare &held = *ack.add_held();
        held.set_vm_id(vm);
        held.set_units(peer->account.held());
    }
    send(from, message.sender_incarnation(), std::move(answer));
}

/// Takes what a member claims of the gone VMs from their base shares.
/// @return false if a VM is not among those asked for, or the claims exceed its base share
bool OrganisationAllowance::claimHeld(const schema::AllowanceFenceAck &ack)
{
    std::vector<schema::DivisionMember> unclaimed = m_change.unclaimed;
    for (const schema::HeldShare &share : ack.held()) {
        const auto found = std::find_if(unclaimed.begin(), unclaimed.end(),
                                        [&share](const schema::DivisionMember &gone) {
                                            return gone.vm_id() == share.vm_id();
                                        });
        if (found == unclaimed.end() || share.units() > found->base_units()) {
            return false;
        }
        found->set_base_units(found->base_units() - share.units());
    }
    m_change.unclaimed = std::move(unclaimed);
    return true;
}

void OrganisationAllowance::onFenceAck(std::string_view from, const schema::AllowanceFenceAck &ack,
                                       Instant now)
{
    if (findPeer(from) == nullptr) {
        return refuseMessage(from, "unknown_vm");
    }
    if (m_change.step != ChangeStep::Fencing || ack.nonce() != m_change.nonce
        || contains(m_change.acknowledgedBy, from)) {
        return;
    }
    if (!claimHeld(ack)) {
        return refuseMessage(from, "impossible_claim");
    }
    m_change.acknowledgedBy.emplace_back(from);
    for (const schema::HeldShare &share : ack.held()) {
        schema::DivisionMember held;
        held.set_vm_id(std::string(from));
        held.set_base_units(share.units());
        m_change.held.push_back(std::move(held));
    }
    proposeIfAcknowledged(now);
}

void OrganisationAllowance::proposeIfAcknowledged(Instant now)
{
    const bool isComplete = std::all_of(m_peers.begin(), m_peers.end(), [this](const Peer &peer) {
        return peer.gone || contains(m_change.acknowledgedBy, peer.vm);
    });
    if (isComplete) {
        propose(now);
    }
}

/// Writes the next division record. Units of gone VMs that members hold become part of those
/// members' base shares; the rest of the gone VMs' base shares is distributed among the homes.
void OrganisationAllowance::propose(Instant now)
{
    if (m_homes.empty()) {
        return failChange(options().storeRetryInterval, now);
    }
    schema::DivisionRecord next;
    next.set_epoch(m_record.epoch() + 1);
    ShareUnits free = m_record.epoch() == 0 ? wholeShare : 0;
    for (const schema::DivisionMember &member : m_record.members()) {
        if (contains(m_change.gone, member.vm_id())) {
            free += member.base_units();
        } else {
            *next.add_members() = member;
        }
    }
    for (const schema::DivisionMember &held : m_change.held) {
        schema::DivisionMember *holder = findMember(next, held.vm_id());
        if (holder != nullptr) {
            holder->set_base_units(holder->base_units() + held.base_units());
            free -= held.base_units();
        }
    }
    distribute(next, m_homes, free);
    m_change.proposed = next;
    m_change.step = ChangeStep::Writing;
    m_change.startedAt = now;
    m_context.actions.writes.push_back({.organisation = m_name,
                                        .record = std::move(next),
                                        .expectedRevision = m_change.revision});
}

void OrganisationAllowance::onWrite(RecordWriteOutcome outcome, Instant now)
{
    if (m_change.step != ChangeStep::Writing) {
        return;
    }
    m_change.step = ChangeStep::Idle;
    if (outcome != RecordWriteOutcome::Written) {
        // If the outcome is unknown, the next attempt reads the record first.
        const bool isConflict = outcome == RecordWriteOutcome::Conflict;
        m_change.retryAt
                = now + (isConflict ? options().retryInterval : options().storeRetryInterval);
        return;
    }
    if (m_change.revision == 0) {
        const schema::DivisionMember *self = findMember(m_change.proposed, m_context.self.vm);
        m_unusedUnits = self == nullptr ? 0 : self->base_units();
    }
    installRecord(m_change.proposed, true, now);
    for (const Peer &peer : m_peers) {
        sendNotice(peer.vm);
    }
}

} // namespace teaseldrift::allowance
