#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/allowance/local_token_bucket.hpp"
#include "teaseldrift/allowance/options.hpp"
#include "teaseldrift/allowance/peer.hpp"
#include "teaseldrift/allowance/types.hpp"
#include "teaseldrift/allowance/vm_registry.hpp"

namespace teaseldrift::allowance {

/// @brief State that the allowances of all organisations on one VM use. It must outlive them.
struct SharedContext
{
    ProcessIdentity self;
    Options options;
    VmRegistry registry;
    Actions actions;
    /// Last request id or nonce that was assigned.
    uint64_t counter = 0;
    uint64_t refusedMessages = 0;

    void refuse(std::string_view organisation, std::string_view vm, std::string_view reason);
};

/// @brief Exponentially weighted average of the tokens requested per second.
class DemandMeter
{
public:
    void add(MicroTokens tokens, Instant now, Duration window);
    /// @brief Tokens per second.
    [[nodiscard]] double rate(Instant now, Duration window) const;

private:
    double m_sum = 0.0;
    Instant m_at{};
};

/// @brief One organisation's allowance on one VM: a state machine without I/O.
///
/// The division record in the store assigns base shares to the members, which lend them to each
/// other according to demand. A VM is active once it is a member and every other member has
/// reported what it holds of the VM's base share. An inactive VM has no share and forwards its
/// requests to a member, which admits them on its behalf.
class OrganisationAllowance
{
public:
    OrganisationAllowance(SharedContext &context, std::string_view name);

    void configure(const Limits &limits, Instant now);
    void onVms(Instant now);
    Decision admit(MicroTokens cost, Instant now);
    void refund(const Ticket &ticket, MicroTokens unused, Instant now);
    void cancel(uint64_t requestId);
    void refuseAll(Instant now);
    void onMessage(std::string_view from, const schema::AllowanceMessage &message, Instant now);
    void onRead(const RecordReadResult &state, Instant now);
    void onWrite(RecordWriteOutcome outcome, Instant now);
    void tick(Instant now);
    void drain(Instant now);

    [[nodiscard]] ShareUnits share() const { return m_bucket.share(); }
    [[nodiscard]] MicroTokens level(Instant now) const { return m_bucket.level(now); }
    [[nodiscard]] const schema::DivisionRecord &record() const { return m_record; }
    [[nodiscard]] DivisionState divisionState() const;

private:
    /// A request that waits for tokens, received locally or forwarded by another VM.
    struct PendingRequest
    {
        uint64_t requestId = 0;
        MicroTokens cost = 0;
        Instant deadline{};
        /// Number of gathers in which it took part.
        size_t gatherRounds = 0;
        /// VM that forwarded the request; empty for a local one.
        std::string requester;
        uint64_t requesterIncarnation = 0;
        uint64_t requesterRequestId = 0;
    };

    /// A local request that waits for another member's decision.
    struct ForwardedRequest
    {
        uint64_t requestId = 0;
        MicroTokens cost = 0;
        std::vector<std::string> triedMembers;
        Instant deadline{};
    };

    /// An admission made for another VM, whose unused tokens can be refunded once.
    struct RemoteAdmission
    {
        std::string vm;
        uint64_t incarnation = 0;
        uint64_t requestId = 0;
        MicroTokens cost = 0;
        uint64_t sequence = 0;
        bool refunded = false;
    };

    /// The last rate refusal of a forwarded request. Until it expires, requests that cost at least
    /// as much are refused without asking a member.
    struct CachedRefusal
    {
        schema::ResultCode code = schema::OK;
        MicroTokens cost = 0;
        Instant until{};
        Instant retryAt{};
    };

    /// A VM that is gone, although an older snapshot of the VM list may still contain it.
    struct GoneVm
    {
        std::string vm;
        Instant until{};
    };

    enum class ChangeStep { Idle, Reading, Fencing, Writing };

    /// A change of the division record in progress on this VM.
    struct RecordChange
    {
        ChangeStep step = ChangeStep::Idle;
        std::optional<Instant> neededSince;
        Instant retryAt{};
        Instant startedAt{};
        uint64_t revision = 0;
        uint64_t nonce = 0;
        std::vector<std::string> gone;
        std::vector<std::string> acknowledgedBy;
        /// Units of gone VMs' base shares, by the member that holds them.
        std::vector<schema::DivisionMember> held;
        /// Gone VMs' base shares, less the units in `held`.
        std::vector<schema::DivisionMember> unclaimed;
        schema::DivisionRecord proposed;
    };

    SharedContext &m_context;
    std::string m_name;
    /// Unique among all instances that ever existed for the organisation on this VM.
    uint64_t m_incarnation;
    LocalTokenBucket m_bucket;
    DemandMeter m_demand;
    schema::DivisionRecord m_record;
    /// This process read the record from the store, or received it in a handshake from a member
    /// whose record is confirmed.
    bool m_recordConfirmed = false;
    bool m_isActive = false;
    /// Units of this VM's base share that no process can have used before, because this process
    /// wrote the first record. Their tokens are available when it becomes active.
    ShareUnits m_unusedUnits = 0;
    bool m_draining = false;
    std::vector<Peer> m_peers;
    /// Homes according to this VM's list, without VMs known to be gone.
    std::vector<std::string> m_homes;
    std::vector<GoneVm> m_gone;
    std::deque<PendingRequest> m_pending;
    Instant m_gatherDeadline{};
    bool m_gathering = false;
    bool m_loansReturned = false;
    std::vector<ForwardedRequest> m_forwarded;
    std::deque<RemoteAdmission> m_remoteAdmissions;
    /// Member that last admitted a forwarded request; it is tried first.
    std::string m_preferredMember;
    CachedRefusal m_cachedRefusal;
    Instant m_rebalancedAt{};
    Instant m_maintainedAt{};
    RecordChange m_change;

    // Common (organisation_allowance.cpp)
    [[nodiscard]] const Options &options() const { return m_context.options; }
    uint64_t nextId() { return ++m_context.counter; }
    Peer *findPeer(std::string_view vm);
    [[nodiscard]] bool isMember(std::string_view vm) const;
    [[nodiscard]] ShareUnits baseUnits() const { return baseUnitsOf(m_context.self.vm); }
    [[nodiscard]] ShareUnits baseUnitsOf(std::string_view vm) const
    {
        return baseUnitsIn(m_record, vm);
    }
    [[nodiscard]] static ShareUnits baseUnitsIn(const schema::DivisionRecord &record,
                                                std::string_view vm);
    void refuseMessage(std::string_view vm, std::string_view reason);
    void send(std::string_view vm, uint64_t incarnation, schema::AllowanceMessage message);
    void updateShare(Instant now);
    [[nodiscard]] bool isInSession(const Peer &peer, const schema::AllowanceMessage &message) const;

    // Admission, and gathering of tokens from other members (gather.cpp)
    Decision admitOrQueue(PendingRequest request, Instant now);
    Decision admittedDecision(const PendingRequest &request);
    Decision refusedDecision(const PendingRequest &request, Instant now) const;
    void deliverDecision(const PendingRequest &request, const Decision &decision);
    [[nodiscard]] MicroTokens pendingTokens() const;
    [[nodiscard]] bool hasUnresponsivePeer(Instant now) const;
    [[nodiscard]] std::optional<MicroTokens> reachableTokens(Instant now) const;
    [[nodiscard]] MicroTokens roundingLoss() const;
    void startGather(Instant now);
    [[nodiscard]] bool isGatherComplete() const;
    void endGather(Instant now);
    void decidePending(Instant now);
    bool transferNeeded(Peer &peer, Instant now);
    MicroTokens returnLoans(const Peer &needingPeer, MicroTokens tokens, Instant now);
    [[nodiscard]] MicroTokens spareTokensFor(const Peer &peer, Instant now) const;
    void onNeed(Peer &peer, const schema::AllowanceNeed &need, Instant now);

    // Loans of share between members (loans.cpp)
    [[nodiscard]] ShareUnits lendable() const;
    [[nodiscard]] ShareUnits transferable(const Peer &peer) const;
    void transfer(Peer &peer, ShareUnits units, MicroTokens tokens, Instant now);
    void sendGive(Peer &peer, uint64_t requestId, bool loansReturned, Instant now);
    [[nodiscard]] bool areTotalsPossible(const Peer &peer,
                                         const schema::AllowanceGive &message) const;
    void onGive(Peer &peer, const schema::AllowanceGive &message, Instant now);
    void rebalance(Instant now);
    void report(Instant now);
    bool transferSurplus(Peer &peer, ShareUnits units, Instant now);
    void returnSurplus(ShareUnits surplus, Instant now);

    // Sessions with other members (sessions.cpp)
    void syncPeers(Instant now);
    void sendHellos(Instant now);
    void tryActivate(Instant now);
    void markPeerGone(Peer &peer, Instant now);
    void markGonePeers(Instant now);
    void installRecord(const schema::DivisionRecord &record, bool confirmed, Instant now);
    void startSession(Peer &peer, uint64_t incarnation, Instant now);
    void onHello(std::string_view from, const schema::AllowanceMessage &message, Instant now);
    void onChallenge(Peer &peer, const schema::AllowanceMessage &message, Instant now);
    void onConfirm(Peer &peer, const schema::AllowanceMessage &message, Instant now);
    void onWelcome(Peer &peer, const schema::AllowanceMessage &message, Instant now);
    void onNotice(std::string_view from, const schema::DivisionRecord &record, Instant now);
    void sendNotice(std::string_view vm);

    // Requests forwarded between VMs (forwarding.cpp)
    Decision forwardRequest(MicroTokens cost, Instant now);
    bool forwardToNextMember(ForwardedRequest &request, Instant now);
    void expireForwardedRequests(Instant now);
    void onAdmitRequest(std::string_view from, const schema::AllowanceMessage &message,
                        Instant now);
    void onAdmitAnswer(std::string_view from, const schema::AllowanceMessage &message, Instant now);
    void onGiveBack(std::string_view from, const schema::AllowanceMessage &message, Instant now);
    RemoteAdmission *findRemoteAdmission(std::string_view vm, uint64_t incarnation,
                                         uint64_t requestId);
    bool isDuplicateRequest(const PendingRequest &request);
    void sendAdmitAnswer(const PendingRequest &request, const Decision &decision);

    // Changes of the division record (division.cpp)
    [[nodiscard]] std::optional<size_t> homeRank() const;
    [[nodiscard]] bool isChangeNeeded() const;
    void maintainDivision(Instant now);
    void startRead(Instant now);
    void startFence(Instant now);
    void sendFences();
    bool claimHeld(const schema::AllowanceFenceAck &ack);
    void proposeIfAcknowledged(Instant now);
    void propose(Instant now);
    void failChange(Duration pause, Instant now);
    void onFence(std::string_view from, const schema::AllowanceMessage &message, Instant now);
    void onFenceAck(std::string_view from, const schema::AllowanceFenceAck &ack, Instant now);
};

} // namespace teaseldrift::allowance
