#include <algorithm>
#include <utility>

#include "organisation_allowance.hpp"

namespace teaseldrift::allowance {

namespace {

/// Epoch in which a VM became a member; 0 if it is not one.
uint64_t memberSince(const schema::DivisionRecord &record, std::string_view vm)
{
    for (const schema::DivisionMember &member : record.members()) {
        if (member.vm_id() == vm) {
            return member.since_epoch();
        }
    }
    return 0;
}

} // namespace

/// Keeps one peer per other member of the record, or per other home while there is no record.
void OrganisationAllowance::syncPeers(Instant now)
{
    std::vector<std::string> wanted = m_homes;
    if (m_record.epoch() != 0) {
        wanted.clear();
        for (const schema::DivisionMember &member : m_record.members()) {
            wanted.push_back(member.vm_id());
        }
        std::erase_if(m_peers, [&wanted](const Peer &peer) {
            return std::find(wanted.begin(), wanted.end(), peer.vm) == wanted.end();
        });
    }
    for (const std::string &vm : wanted) {
        if (vm != m_context.self.vm && findPeer(vm) == nullptr) {
            m_peers.push_back({.vm = vm, .knownSince = now});
        }
    }
}

/// Installs a division record if it is newer than the present one. Records originate only from the
/// store, so a copy received from another VM is genuine, but it may be outdated.
/// @param confirmed whether the record was current at some time during this process's life
void OrganisationAllowance::installRecord(const schema::DivisionRecord &record, bool confirmed,
                                          Instant now)
{
    if (record.epoch() == 0) {
        return;
    }
    m_recordConfirmed = m_recordConfirmed || confirmed;
    if (record.epoch() > m_record.epoch()) {
        // The account with a member that was removed and added again is discarded: what other
        // members held of its base share has become part of theirs.
        std::erase_if(m_peers, [this, &record](const Peer &peer) {
            return isMember(peer.vm)
                   && memberSince(m_record, peer.vm) != memberSince(record, peer.vm);
        });
        m_record = record;
        syncPeers(now);
        m_isActive = m_isActive && isMember(m_context.self.vm);
        updateShare(now);
        sendHellos(now);
    }
    tryActivate(now);
}

/// Opens sessions with the members that have not reported what they hold of this VM's base share.
void OrganisationAllowance::sendHellos(Instant now)
{
    const bool isCandidate = m_record.epoch() == 0 || isMember(m_context.self.vm);
    if (m_isActive || !isCandidate) {
        return;
    }
    for (Peer &peer : m_peers) {
        const bool isRecent = peer.handshake.helloNonce != 0
                              && now < peer.handshake.helloAt + options().retryInterval;
        if (peer.gone || peer.handshake.welcomed || isRecent) {
            continue;
        }
        if (peer.handshake.helloNonce == 0) {
            peer.handshake.helloNonce = nextId();
        }
        peer.handshake.helloAt = now;
        schema::AllowanceMessage message;
        schema::AllowanceHello &hello = *message.mutable_hello();
        hello.set_nonce(peer.handshake.helloNonce);
        *hello.mutable_record() = m_record;
        send(peer.vm, 0, std::move(message));
    }
    tryActivate(now);
}

/// Activates this member once all other members have reported what they hold of its base share.
void OrganisationAllowance::tryActivate(Instant now)
{
    if (m_isActive || !m_recordConfirmed || !isMember(m_context.self.vm)) {
        return;
    }
    bool isComplete = true;
    for (Peer &peer : m_peers) {
        if (peer.gone) {
            continue;
        }
        isComplete = isComplete && peer.handshake.welcomed;
        for (const schema::KnownIncarnation &known : peer.handshake.reportedIncarnations) {
            Peer *other = findPeer(known.vm_id());
            if (other == nullptr || other->gone || !other->handshake.welcomed
                || known.incarnation() == other->account.incarnation) {
                continue;
            }
            // The two peers disagree about an incarnation: the other peer has been restarted, or
            // the reporting peer has not noticed that yet. Both handshakes are repeated.
            peer.handshake = PeerHandshake{};
            other->handshake = PeerHandshake{};
            isComplete = false;
            break;
        }
    }
    if (!isComplete) {
        return;
    }
    m_isActive = true;
    updateShare(now);
    m_bucket.deposit(capacityOf(m_bucket.limits(), std::exchange(m_unusedUnits, 0)), now);
    for (Peer &peer : m_peers) {
        if (!peer.gone) {
            sendGive(peer, 0, false, now);
        }
    }
}

void OrganisationAllowance::startSession(Peer &peer, uint64_t incarnation, Instant now)
{
    if (peer.account.incarnation == incarnation) {
        return;
    }
    peer.account.restart(incarnation);
    peer.handshake = PeerHandshake{};
    peer.hint = PeerHint{};
    peer.need = UnmetNeed{};
    peer.awaitedRequest = 0;
    peer.unresponsiveUntil = now;
    updateShare(now);
}

/// Marks a peer whose VM was removed from the list. It no longer holds any share, and no further
/// messages are accepted from it. What this VM holds of its base share is kept.
void OrganisationAllowance::markPeerGone(Peer &peer, Instant now)
{
    if (peer.gone) {
        return;
    }
    startSession(peer, 0, now);
    peer.account.restart(0);
    peer.gone = true;
    m_gone.push_back({peer.vm, now + options().maximumListAge});
    std::erase(m_homes, peer.vm);
    updateShare(now);
    tryActivate(now);
}

void OrganisationAllowance::markGonePeers(Instant now)
{
    for (Peer &peer : m_peers) {
        if (!peer.gone && m_context.registry.isGone(peer.vm, peer.knownSince)) {
            markPeerGone(peer, now);
        }
    }
}

void OrganisationAllowance::onHello(std::string_view from, const schema::AllowanceMessage &message,
                                    Instant now)
{
    const schema::AllowanceHello &hello = message.hello();
    installRecord(hello.record(), false, now);
    Peer *peer = findPeer(from);
    if (m_record.epoch() == 0 || peer == nullptr || peer->gone || !isMember(from)) {
        if (m_record.epoch() > hello.record().epoch()) {
            sendNotice(from);
        }
        return;
    }
    PeerHandshake &handshake = peer->handshake;
    if (handshake.challengedIncarnation != message.sender_incarnation()) {
        handshake.challengedIncarnation = message.sender_incarnation();
        handshake.challengeNonce = nextId();
    }
    schema::AllowanceMessage answer;
    answer.mutable_challenge()->set_hello_nonce(hello.nonce());
    answer.mutable_challenge()->set_nonce(handshake.challengeNonce);
    *answer.mutable_challenge()->mutable_record() = m_record;
    send(from, message.sender_incarnation(), std::move(answer));
}

void OrganisationAllowance::onChallenge(Peer &peer, const schema::AllowanceMessage &message,
                                        Instant now)
{
    const schema::AllowanceChallenge &challenge = message.challenge();
    if (peer.handshake.helloNonce == 0 || challenge.hello_nonce() != peer.handshake.helloNonce) {
        return;
    }
    const std::string vm = peer.vm;
    schema::AllowanceMessage answer;
    answer.mutable_confirm()->set_hello_nonce(challenge.hello_nonce());
    answer.mutable_confirm()->set_challenge_nonce(challenge.nonce());
    send(vm, message.sender_incarnation(), std::move(answer));
    installRecord(challenge.record(), false, now);
}

void OrganisationAllowance::onConfirm(Peer &peer, const schema::AllowanceMessage &message,
                                      Instant now)
{
    const schema::AllowanceConfirm &confirm = message.confirm();
    const uint64_t incarnation = message.sender_incarnation();
    if (peer.handshake.challengeNonce == 0 || peer.handshake.challengedIncarnation != incarnation
        || peer.handshake.challengeNonce != confirm.challenge_nonce()) {
        return;
    }
    startSession(peer, incarnation, now);
    schema::AllowanceMessage answer;
    schema::AllowanceWelcome &welcome = *answer.mutable_welcome();
    welcome.set_hello_nonce(confirm.hello_nonce());
    welcome.set_held_units(peer.account.initialHeld);
    *welcome.mutable_record() = m_record;
    welcome.set_record_confirmed(m_recordConfirmed);
    for (const Peer &other : m_peers) {
        if (!other.gone && other.account.incarnation != 0) {
            schema::KnownIncarnation &known = *welcome.add_incarnations();
            known.set_vm_id(other.vm);
            known.set_incarnation(other.account.incarnation);
        }
    }
    send(peer.vm, incarnation, std::move(answer));
    sendHellos(now);
}

void OrganisationAllowance::onWelcome(Peer &peer, const schema::AllowanceMessage &message,
                                      Instant now)
{
    const schema::AllowanceWelcome &welcome = message.welcome();
    if (m_isActive || peer.handshake.helloNonce == 0
        || welcome.hello_nonce() != peer.handshake.helloNonce) {
        return;
    }
    if (welcome.held_units()
        > std::max(baseUnits(), baseUnitsIn(welcome.record(), m_context.self.vm))) {
        return refuseMessage(peer.vm, "impossible_claim");
    }
    startSession(peer, message.sender_incarnation(), now);
    peer.account.initialLent = welcome.held_units();
    peer.handshake.helloNonce = 0;
    peer.handshake.welcomed = true;
    peer.handshake.reportedIncarnations.assign(welcome.incarnations().begin(),
                                               welcome.incarnations().end());
    installRecord(welcome.record(), welcome.record_confirmed(), now);
}

void OrganisationAllowance::onNotice(std::string_view from, const schema::DivisionRecord &record,
                                     Instant now)
{
    installRecord(record, false, now);
    if (record.epoch() < m_record.epoch()) {
        sendNotice(from);
    }
}

void OrganisationAllowance::sendNotice(std::string_view vm)
{
    schema::AllowanceMessage message;
    *message.mutable_notice()->mutable_record() = m_record;
    send(vm, 0, std::move(message));
}

} // namespace teaseldrift::allowance
