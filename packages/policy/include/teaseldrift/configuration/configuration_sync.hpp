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

/// @brief I/O that the owner of a ConfigurationSync has to perform.
enum class SyncActionKind {
    /// Send `message` to `vmId`.
    Send,
    /// Read all documents from the store; complete with onStoreRead() or onStoreFailed().
    ReadAll,
    /// Read the documents newer than `afterRevision` and count all; complete with onStoreRead()
    /// or onStoreFailed().
    ReadChanges,
    /// Watch for changes after `afterRevision`; report with onWatchEvent() and onWatchBroken().
    StartWatch,
    StopWatch,
};

struct SyncAction
{
    SyncActionKind kind = SyncActionKind::Send;
    std::string vmId;
    /// Body of the message; the transport sets the sender.
    schema::PeerMessage message;
    /// Identifies the read or the watch in its callbacks.
    uint64_t callId = 0;
    uint64_t afterRevision = 0;
};

/// @brief Result of ReadAll or ReadChanges.
struct StoreRead
{
    std::vector<schema::VersionedDocument> documents;
    /// Number of all documents in the store.
    size_t count = 0;
    /// Store revision at which the read took place.
    uint64_t revision = 0;
};

/// @brief Members of the fleet, as ConfigurationSync needs them.
struct SyncMembers
{
    /// VMs that form the distribution tree; may include this VM.
    std::vector<std::string> live;
    /// All VMs that may serve requests, including this VM; majorities are counted over them.
    std::vector<std::string> known;
    /// VMs that are sent heartbeats.
    std::vector<std::string> neighbours;
    /// The platform's VM list has been read. Before, `known` is too small to count a majority
    /// over.
    bool listLoaded = false;
};

struct SyncOptions
{
    /// VMs that read and watch the store (readers).
    size_t readerCount = 3;
    /// Children of each VM in the distribution tree.
    size_t fanOut = 8;
    Duration heartbeatInterval = 500ms;
    /// Interval of a reader's reads of the store.
    Duration storeInterval = 500ms;
    /// Upper limit of the backoff while the store does not answer.
    Duration maxStoreBackoff = 2s;
    /// Interval of the requests of a VM that is not a reader to its parent.
    Duration refreshInterval = 550ms;
    Duration answerTimeout = 300ms;
    /// Delay before a parent is asked again that was not confirmed itself.
    Duration unconfirmedRetryDelay = 100ms;
    /// Age of the last freshness confirmation at which a reader polls the other readers and starts
    /// majority rounds.
    Duration readerMajorityRoundAge = 750ms;
    /// Age of the last freshness confirmation at which any VM starts majority rounds and reads
    /// the store.
    Duration majorityRoundAge = 2200ms;
    Duration majorityRoundInterval = 700ms;
    /// Time after its start at which a VM without a configuration reads the store itself, if no
    /// parent has answered. Readers do so at once.
    Duration startupReadDelay = 600ms;
    /// Age of the last freshness confirmation up to which the configuration counts as current.
    Duration freshnessBound = 3s;
    /// Time that a watch may lag behind a read before it is restarted.
    Duration watchLagLimit = 2s;
};

/// @brief Replicates the configuration to one VM and confirms its freshness.
///
/// The first VMs in rendezvous order are readers: they watch the store and read it at short
/// intervals. The other VMs form a tree below the readers, and each polls its parent. A change is
/// announced to the neighbours at once, and they fetch it. While the store does not answer, readers
/// confirm their configuration by majority rounds, and the other VMs keep polling their parents. A
/// VM that gets no confirmation from its parents starts majority rounds and reads the store itself.
///
/// Performs no I/O: each call returns the actions for the caller to perform.
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

    /// @param incarnation random number of this process; request ids are counted from it, so that
    ///        answers to a former process of the VM match no request
    ConfigurationSync(std::string selfId, uint64_t incarnation, Instant startedAt,
                      SyncOptions options = {});

    void setMembers(SyncMembers members);

    /// @brief Marks this VM as leaving in its heartbeats.
    void leave() { m_leaving = true; }

    /// @brief Returns the actions that are due; to be called every few tens of milliseconds.
    /// @param random uniformly distributed, for jitter and the choice of a parent
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

    /// @brief Applies documents that an operator's tool has written to the store and pushes here.
    Actions offer(std::span<const schema::VersionedDocument> documents, Instant now);

    /// @brief Whether the configuration is confirmed within the freshness bound, so that requests
    /// with an API key may be served.
    [[nodiscard]] bool isCurrent(Instant now) const;

    /// @brief Time after which requests with an API key must be refused unless the configuration is
    /// confirmed again; nothing if it never was.
    [[nodiscard]] std::optional<Instant> currentUntil() const;

    /// @brief Whether this VM's answers count towards a majority.
    ///
    /// A restarted process has lost the changes that the former process had reported as applied, so
    /// it votes only after its configuration has been confirmed since its start.
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
        /// Id of its majority round; 0 for none.
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
        /// Newest revision in the replica when the call was sent.
        uint64_t newestRevision = 0;
        bool all = false;
    };

    struct StoreWatch
    {
        uint64_t id = 0;
        /// Revision at which the watch starts, then the newest one that it has reported.
        uint64_t revision = 0;
        /// Time of the first read since the last event that returned changes unknown to the watch.
        std::optional<Instant> behindSince;
    };

    std::string m_selfId;
    Instant m_startedAt;
    SyncOptions m_options;
    SyncMembers m_members;
    ConfigurationReplica m_replica;
    bool m_leaving = false;
    bool m_isReader = false;
    /// VMs to poll for configuration, the parent first, then the alternatives.
    std::vector<std::string> m_parents;
    uint64_t m_lastId;
    uint64_t m_random = 0;
    std::map<uint64_t, Request> m_requests;
    uint64_t m_parentRequest = 0;
    std::optional<MajorityRound> m_round;
    std::optional<StoreCall> m_storeCall;
    std::optional<StoreWatch> m_watch;
    /// Newest store revision at which a read found the store's documents equal to the replica's.
    uint64_t m_verifiedRevision = 0;
    Duration m_storeBackoff{};
    Instant m_nextHeartbeat;
    Instant m_nextRefresh;
    Instant m_nextRound;
    Instant m_nextStoreCall;
    Instant m_nextWatch;
    /// Announced revision that is being fetched.
    uint64_t m_fetchingRevision = 0;
    Instant m_fetchDeadline;
    /// Newest revision that each neighbour is known to hold, by VM id.
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
