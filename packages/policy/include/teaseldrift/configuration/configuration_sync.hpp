#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/configuration/replica.hpp"
#include "teaseldrift/schema/fleet.pb.h"

namespace teaseldrift {

/// @brief What a ConfigurationSync wants done.
enum class SyncActionKind {
    /// Send `message` to `vmId`.
    Send,
    /// Read all documents from the store; answer with onStoreRead().
    ReadAll,
    /// Read documents newer than `afterRevision` and count all; answer with onStoreRead().
    ReadChanges,
    /// Watch the documents after `afterRevision`; answer with onWatchEvent(), onWatchBroken().
    StartWatch,
    StopWatch,
};

struct SyncAction
{
    SyncActionKind kind = SyncActionKind::Send;
    std::string vmId;
    /// Body only; the transport fills in the sender.
    schema::PeerMessage message;
    /// Identifies a read or a watch in its answer.
    uint64_t callId = 0;
    uint64_t afterRevision = 0;
};

/// @brief Answer to ReadAll or ReadChanges.
struct StoreRead
{
    std::vector<schema::VersionedDocument> documents;
    /// Documents that exist in the store.
    size_t count = 0;
    /// Revision of the store at the time of the read.
    uint64_t revision = 0;
};

/// @brief The other VMs as far as configuration matters.
struct SyncMembers
{
    /// VMs that pass configuration on; may include this VM.
    std::vector<std::string> live;
    /// All VMs that may serve, this one included: the base of majorities.
    std::vector<std::string> known;
    std::vector<std::string> neighbours;
    /// The platform's list has been read, so that `known` may be the base of majorities.
    bool listLoaded = false;
};

struct SyncOptions
{
    /// VMs that read and watch the store.
    size_t readerCount = 3;
    /// VMs that ask one VM for its proof.
    size_t fanOut = 8;
    Duration heartbeatInterval = 500ms;
    /// Time between a reader's confirmations with the store.
    Duration storeInterval = 500ms;
    /// Longest time between probes of a store that does not answer.
    Duration maxStoreBackoff = 2s;
    /// Time between an ordinary VM's requests to its parent.
    Duration refreshInterval = 550ms;
    Duration answerTimeout = 300ms;
    /// Time until a parent is asked again that had no proof itself.
    Duration unconfirmedRetryDelay = 100ms;
    /// Age of the proof at which a reader asks a majority of the VMs.
    Duration readerMajorityRoundAge = 750ms;
    /// Age of the proof at which any VM asks a majority, and the store.
    Duration majorityRoundAge = 2200ms;
    Duration majorityRoundInterval = 700ms;
    /// Delay of a starting VM's own first read of the store while it waits for its parent.
    Duration startupReadDelay = 600ms;
    Duration freshnessBound = 3s;
    /// Time that a watch may lag behind a read before it is opened anew.
    Duration watchLagLimit = 2s;
};

/// @brief Keeps one VM's configuration up to date and proven, from the store and from peers.
///
/// The first VMs in rendezvous order are readers: they watch the store and confirm with it at short
/// intervals. The others ask a parent in a tree below the readers. A change is announced to the
/// neighbours at once, and they fetch it. When the store does not answer, the readers prove their
/// configuration by the answers of a majority; the others go on asking their parents. Any VM
/// whose parents fall silent does the same as a reader.
///
/// Pure: each call returns what to do next.
///
/// ```cpp
/// ConfigurationSync sync("vm-1", incarnation, now);
/// sync.setMembers(members);
/// perform(sync.tick(now, random()));
/// if (!sync.isCurrent(now)) { refuseKeyedRequest(); }
/// ```
class ConfigurationSync
{
public:
    using Actions = std::vector<SyncAction>;

    /// @param incarnation random per process start; keeps answers to a former process apart
    ConfigurationSync(std::string selfId, uint64_t incarnation, Instant startedAt,
                      SyncOptions options = {});

    void setMembers(SyncMembers members);

    /// @brief Says in heartbeats that this VM is leaving.
    void leave() { m_leaving = true; }

    /// @brief To be called every few ten milliseconds.
    /// @param random uniform 64-bit number for jitter and choices
    Actions tick(Instant now, uint64_t random);

    Actions onHeartbeat(std::string_view vmId, const schema::Heartbeat &heartbeat, Instant now);
    Actions onRequest(std::string_view vmId, const schema::ConfigurationRequest &request,
                      Instant now);
    Actions onAnswer(std::string_view vmId, const schema::ConfigurationAnswer &answer, Instant now);

    Actions onStoreRead(uint64_t callId, const StoreRead &read, Instant now);
    void onStoreFailed(uint64_t callId, Instant now);
    Actions onWatchEvent(uint64_t callId, std::span<const schema::VersionedDocument> documents,
                         Instant now);
    void onWatchBroken(uint64_t callId, Instant now);

    /// @brief Takes documents that an operator has written to the store and hands over.
    Actions offer(std::span<const schema::VersionedDocument> documents, Instant now);

    /// @brief Whether keyed requests may be served.
    [[nodiscard]] bool isCurrent(Instant now) const;

    /// @brief Instant from which keyed requests must be refused unless a new proof arrives.
    [[nodiscard]] std::optional<Instant> currentUntil() const;

    /// @brief Whether this VM's answers count towards a majority.
    ///
    /// A process that has just started has forgotten what the former one held, so it must have
    /// proven its configuration since its start.
    [[nodiscard]] bool canVote() const;

    [[nodiscard]] bool isReader() const { return m_isReader; }

    [[nodiscard]] size_t knownVms() const { return m_members.known.size(); }

    [[nodiscard]] const ConfigurationReplica &replica() const { return m_replica; }

private:
    struct Request
    {
        std::string vmId;
        Instant sentAt;
        uint64_t knownRevision = 0;
        /// Majority round that it belongs to; 0 for none.
        uint64_t round = 0;
    };

    struct MajorityRound
    {
        uint64_t id = 0;
        Instant startedAt;
        std::set<std::string, std::less<>> votes;
        size_t knownVms = 0;
    };

    struct StoreCall
    {
        uint64_t id = 0;
        Instant sentAt;
        uint64_t afterRevision = 0;
        /// Newest document held when the call was sent.
        uint64_t newestRevision = 0;
        bool all = false;
    };

    struct StoreWatch
    {
        uint64_t id = 0;
        uint64_t revision = 0;
        std::optional<Instant> behindSince;
    };

    std::string m_selfId;
    Instant m_startedAt;
    SyncOptions m_options;
    SyncMembers m_members;
    ConfigurationReplica m_replica;
    bool m_leaving = false;
    bool m_isReader = false;
    /// VMs to ask for a proof, the preferred one first.
    std::vector<std::string> m_parents;
    uint64_t m_lastId;
    uint64_t m_random = 0;
    std::map<uint64_t, Request> m_requests;
    uint64_t m_parentRequest = 0;
    std::optional<MajorityRound> m_round;
    std::optional<StoreCall> m_storeCall;
    std::optional<StoreWatch> m_watch;
    /// Store revision at which the store's documents were last seen to be the same as here.
    uint64_t m_verifiedRevision = 0;
    Duration m_storeBackoff{};
    Instant m_nextHeartbeat;
    Instant m_nextRefresh;
    Instant m_nextRound;
    Instant m_nextStoreCall;
    Instant m_nextWatch;
    /// Revision that is being fetched after an announcement.
    uint64_t m_fetchingRevision = 0;
    Instant m_fetchDeadline;
    /// Newest revision that each neighbour is known to hold.
    std::map<std::string, uint64_t, std::less<>> m_neighbourRevisions;

    void updateTreePosition();
    [[nodiscard]] Duration confirmationAge(Instant now) const;
    [[nodiscard]] Duration unconfirmedFor(Instant now) const;
    [[nodiscard]] Duration jittered(Duration duration) const;
    void expireRequests(Instant now);
    SyncAction makeRequest(std::string_view vmId, uint64_t round, Instant now);
    [[nodiscard]] schema::Heartbeat makeHeartbeat(Instant now) const;
    void recordNeighbourRevision(std::string_view vmId, uint64_t revision);
    Actions announce(Instant now) const;
    Actions announceIfNewer(uint64_t formerRevision, Instant now) const;
    void tickHeartbeat(Actions &actions, Instant now);
    void tickParent(Actions &actions, Instant now);
    void tickMajority(Actions &actions, Instant now);
    void tickStore(Actions &actions, Instant now);
    void tickWatch(Actions &actions, Instant now);
    [[nodiscard]] bool shouldReadStore(Instant now) const;
    void countVote(std::string_view vmId, const schema::ConfigurationAnswer &answer);
    void finishRoundOnMajority();
    bool applyAll(const StoreCall &call, const StoreRead &read);
    bool applyChanges(const StoreCall &call, const StoreRead &read, Instant now);
    SyncAction readStore(bool all, Instant now);
};

} // namespace teaseldrift
