#include "teaseldrift/configuration/configuration_sync.hpp"

#include <algorithm>

#include "teaseldrift/base/rendezvous.hpp"

namespace teaseldrift {

namespace {

/// Age after which the answer to a request is ignored.
constexpr Duration requestLifetime = 3s;
constexpr std::string_view treeKey = "configuration";

/// Rounds up, so that a confirmation never appears more recent than it is.
uint32_t toAgeMs(Duration age)
{
    const int64_t ms = std::chrono::ceil<std::chrono::milliseconds>(age).count();
    return static_cast<uint32_t>(std::clamp<int64_t>(ms, 0, UINT32_MAX));
}

} // namespace

ConfigurationSync::ConfigurationSync(std::string selfId, uint64_t incarnation, Instant startedAt,
                                     SyncOptions options)
    : m_selfId(std::move(selfId)), m_startedAt(startedAt), m_options(options),
      m_lastId(incarnation), m_nextHeartbeat(startedAt), m_nextRefresh(startedAt),
      m_nextRound(startedAt), m_nextStoreCall(startedAt), m_nextWatch(startedAt)
{
    updateTreePosition();
}

void ConfigurationSync::setMembers(SyncMembers members)
{
    m_members = std::move(members);
    std::erase_if(m_neighbourRevisions, [this](const auto &item) {
        return std::find(m_members.neighbours.begin(), m_members.neighbours.end(), item.first)
               == m_members.neighbours.end();
    });
    updateTreePosition();
}

/// Computes this VM's position in the distribution tree from the rendezvous order of the live VMs:
/// first the readers, then `fanOut` children of each VM.
void ConfigurationSync::updateTreePosition()
{
    std::vector<RendezvousMember> live;
    for (const std::string &vmId : m_members.live) {
        live.push_back({.id = vmId});
    }
    const std::vector<size_t> order
            = rendezvousOrder(rendezvousKey(treeKey), live, m_members.live.size());
    const auto self = std::find_if(order.begin(), order.end(), [this](size_t index) {
        return m_members.live[index] == m_selfId;
    });
    const size_t rank = static_cast<size_t>(self - order.begin());
    const bool isInTree = self != order.end();
    m_isReader = order.empty() || (isInTree && rank < m_options.readerCount);
    const bool hasParent = isInTree && !m_isReader;
    const size_t parent = hasParent ? (rank - m_options.readerCount) / m_options.fanOut : 0;
    const size_t candidates = std::min(std::max(m_options.readerCount, parent + 1), order.size());
    m_parents.clear();
    for (size_t i = 0; i < candidates; ++i) {
        const std::string &vmId = m_members.live[order[i]];
        if (vmId != m_selfId) {
            m_parents.push_back(vmId);
        }
    }
    if (hasParent && parent < m_parents.size()) {
        std::swap(m_parents.front(), m_parents[parent]);
    }
}

ConfigurationSync::Actions ConfigurationSync::tick(Instant now, uint64_t random)
{
    Actions actions;
    m_random = random;
    expireRequests(now);
    tickHeartbeat(actions, now);
    tickParent(actions, now);
    tickMajority(actions, now);
    tickStore(actions, now);
    tickWatch(actions, now);
    return actions;
}

void ConfigurationSync::expireRequests(Instant now)
{
    std::erase_if(m_requests,
                  [now](const auto &item) { return now - item.second.sentAt > requestLifetime; });
}

Duration ConfigurationSync::confirmationAge(Instant now) const
{
    const std::optional<Instant> confirmedAt = m_replica.confirmedAt();
    return confirmedAt.has_value() ? now - *confirmedAt : Duration::max();
}

/// Time since the last confirmation, or since the start of the process if that is later.
Duration ConfigurationSync::unconfirmedFor(Instant now) const
{
    return std::min(confirmationAge(now), now - m_startedAt);
}

/// The duration, varied by up to 20% in both directions.
Duration ConfigurationSync::jittered(Duration duration) const
{
    constexpr int64_t steps = 1024;
    constexpr int64_t spreadDivisor = 5;
    const int64_t step = static_cast<int64_t>(m_random % (2 * steps + 1)) - steps;
    return duration + duration * step / (steps * spreadDivisor);
}

schema::Heartbeat ConfigurationSync::makeHeartbeat(Instant now) const
{
    schema::Heartbeat heartbeat;
    heartbeat.set_configuration_revision(m_replica.revision());
    heartbeat.set_configuration_age_ms(toAgeMs(confirmationAge(now)));
    heartbeat.set_leaving(m_leaving);
    if (m_replica.newestRevision() != m_replica.revision()) {
        heartbeat.set_newest_document_revision(m_replica.newestRevision());
    }
    return heartbeat;
}

void ConfigurationSync::tickHeartbeat(Actions &actions, Instant now)
{
    if (now < m_nextHeartbeat) {
        return;
    }
    m_nextHeartbeat = now + jittered(m_options.heartbeatInterval);
    for (const std::string &neighbour : m_members.neighbours) {
        SyncAction action{.vmId = neighbour};
        *action.message.mutable_heartbeat() = makeHeartbeat(now);
        actions.push_back(std::move(action));
    }
}

/// Sends a heartbeat to the neighbours that are not known to hold the newest document.
ConfigurationSync::Actions ConfigurationSync::announce(Instant now) const
{
    Actions actions;
    for (const std::string &neighbour : m_members.neighbours) {
        const auto found = m_neighbourRevisions.find(neighbour);
        if (found != m_neighbourRevisions.end() && found->second >= m_replica.newestRevision()) {
            continue;
        }
        SyncAction action{.vmId = neighbour};
        *action.message.mutable_heartbeat() = makeHeartbeat(now);
        actions.push_back(std::move(action));
    }
    return actions;
}

ConfigurationSync::Actions ConfigurationSync::announceIfNewer(uint64_t formerRevision,
                                                              Instant now) const
{
    return m_replica.newestRevision() > formerRevision ? announce(now) : Actions();
}

void ConfigurationSync::recordNeighbourRevision(std::string_view vmId, uint64_t revision)
{
    const auto neighbour
            = std::find(m_members.neighbours.begin(), m_members.neighbours.end(), vmId);
    if (neighbour != m_members.neighbours.end()) {
        m_neighbourRevisions[*neighbour] = revision;
    }
}

SyncAction ConfigurationSync::makeRequest(std::string_view vmId, uint64_t round, Instant now)
{
    const uint64_t id = ++m_lastId;
    m_requests[id] = {
            .vmId = std::string(vmId),
            .sentAt = now,
            .knownRevision = m_replica.revision(),
            .round = round,
    };
    SyncAction action{.vmId = std::string(vmId)};
    schema::ConfigurationRequest &body = *action.message.mutable_configuration_request();
    body.set_known_revision(m_replica.revision());
    body.set_request_id(id);
    return action;
}

/// Polls the parent, or a random one of the alternatives if the last poll was not answered within
/// the timeout. Readers poll a random other reader, and only if their last confirmation is old.
void ConfigurationSync::tickParent(Actions &actions, Instant now)
{
    if (m_parents.empty()
        || (m_isReader && confirmationAge(now) < m_options.readerMajorityRoundAge)) {
        return;
    }
    const auto open = m_requests.find(m_parentRequest);
    const bool missed
            = open != m_requests.end() && now - open->second.sentAt >= m_options.answerTimeout;
    if (now < m_nextRefresh && !missed) {
        return;
    }
    m_nextRefresh = now + jittered(m_options.refreshInterval);
    const size_t choice = missed || m_isReader ? m_random % m_parents.size() : 0;
    actions.push_back(makeRequest(m_parents[choice], 0, now));
    m_parentRequest = m_lastId;
}

/// Polls all known VMs if the last confirmation is old: the answers of a majority confirm the
/// configuration without the store.
void ConfigurationSync::tickMajority(Actions &actions, Instant now)
{
    const Duration limit
            = m_isReader ? m_options.readerMajorityRoundAge : m_options.majorityRoundAge;
    if (unconfirmedFor(now) < limit) {
        m_round.reset();
        return;
    }
    if (now < m_nextRound || !m_members.listLoaded) {
        return;
    }
    m_nextRound = now + jittered(m_options.majorityRoundInterval);
    m_round = MajorityRound{
            .id = ++m_lastId,
            .startedAt = now,
            .knownVms = m_members.known.size(),
    };
    for (const std::string &vmId : m_members.known) {
        if (vmId != m_selfId) {
            actions.push_back(makeRequest(vmId, m_round->id, now));
        }
    }
    if (canVote()) {
        m_round->votes.insert(m_selfId);
        finishRoundOnMajority();
    }
}

void ConfigurationSync::finishRoundOnMajority()
{
    if (m_round->votes.size() * 2 <= m_round->knownVms) {
        return;
    }
    m_replica.confirm(m_round->startedAt);
    m_round.reset();
}

void ConfigurationSync::countVote(std::string_view vmId, const schema::ConfigurationAnswer &answer)
{
    m_round->knownVms = std::max<size_t>(m_round->knownVms, answer.known_vms());
    if (!answer.votes()) {
        return;
    }
    m_round->votes.insert(std::string(vmId));
    finishRoundOnMajority();
}

bool ConfigurationSync::canVote() const
{
    return m_replica.confirmedAt().has_value() && *m_replica.confirmedAt() >= m_startedAt;
}

ConfigurationSync::Actions ConfigurationSync::onHeartbeat(std::string_view vmId,
                                                          const schema::Heartbeat &heartbeat,
                                                          Instant now)
{
    const uint64_t offered
            = std::max(heartbeat.configuration_revision(), heartbeat.newest_document_revision());
    recordNeighbourRevision(vmId, offered);
    const bool isFetching = m_fetchingRevision >= offered && now < m_fetchDeadline;
    const bool newer = offered > m_replica.newestRevision()
                       || heartbeat.configuration_revision() > m_replica.revision();
    if (!newer || isFetching) {
        return {};
    }
    m_fetchingRevision = offered;
    m_fetchDeadline = now + m_options.answerTimeout;
    return {makeRequest(vmId, 0, now)};
}

ConfigurationSync::Actions ConfigurationSync::onRequest(std::string_view vmId,
                                                        const schema::ConfigurationRequest &request,
                                                        Instant now)
{
    SyncAction action{.vmId = std::string(vmId)};
    schema::ConfigurationAnswer &answer = *action.message.mutable_configuration_answer();
    const ConfigurationDelta delta = m_replica.deltaSince(request.known_revision());
    answer.set_request_id(request.request_id());
    answer.mutable_documents()->Add(delta.documents.begin(), delta.documents.end());
    answer.set_revision(delta.revision);
    answer.set_complete(delta.complete);
    answer.set_forgotten_revision(delta.complete ? delta.compactedRevision : 0);
    answer.set_unconfirmed(!m_replica.confirmedAt().has_value());
    answer.set_age_ms(answer.unconfirmed() ? 0 : toAgeMs(confirmationAge(now)));
    answer.set_votes(canVote());
    answer.set_known_vms(static_cast<uint32_t>(m_members.known.size()));
    return {std::move(action)};
}

ConfigurationSync::Actions ConfigurationSync::onAnswer(std::string_view vmId,
                                                       const schema::ConfigurationAnswer &answer,
                                                       Instant now)
{
    const auto found = m_requests.find(answer.request_id());
    if (found == m_requests.end() || found->second.vmId != vmId) {
        return {};
    }
    const Request request = found->second;
    m_requests.erase(found);
    const uint64_t formerRevision = m_replica.newestRevision();
    m_replica.apply(
            {
                    .documents = {answer.documents().begin(), answer.documents().end()},
                    .revision = answer.revision(),
                    .complete = answer.complete(),
                    .compactedRevision = answer.forgotten_revision(),
            },
            request.knownRevision);
    if (answer.unconfirmed()) {
        m_nextRefresh = std::min(m_nextRefresh, now + m_options.unconfirmedRetryDelay);
    } else {
        m_replica.confirm(request.sentAt - std::chrono::milliseconds(answer.age_ms()));
    }
    if (m_round.has_value() && request.round == m_round->id) {
        countVote(vmId, answer);
    }
    recordNeighbourRevision(vmId, std::max(answer.revision(), m_replica.newestRevision()));
    return announceIfNewer(formerRevision, now);
}

ConfigurationSync::Actions
ConfigurationSync::offer(std::span<const schema::VersionedDocument> documents, Instant now)
{
    const uint64_t formerRevision = m_replica.newestRevision();
    m_replica.applyDocuments(documents);
    return announceIfNewer(formerRevision, now);
}

bool ConfigurationSync::isCurrent(Instant now) const
{
    return m_replica.isCurrent(now, m_options.freshnessBound);
}

std::optional<Instant> ConfigurationSync::currentUntil() const
{
    const std::optional<Instant> confirmedAt = m_replica.confirmedAt();
    if (!confirmedAt.has_value()) {
        return std::nullopt;
    }
    return *confirmedAt + m_options.freshnessBound;
}

} // namespace teaseldrift
