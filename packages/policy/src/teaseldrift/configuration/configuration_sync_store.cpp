#include <algorithm>

#include "teaseldrift/configuration/configuration_sync.hpp"

namespace teaseldrift {

namespace {

/// Time after which a store call that was neither completed nor failed counts as failed.
constexpr Duration storeCallTimeout = 3s;
/// While all VMs have to read the store themselves, each one's interval grows by one
/// fallbackInterval for every so many VMs. This bounds the load on the store.
constexpr size_t vmsPerFallbackInterval = 200;
constexpr Duration fallbackInterval = 1s;
/// Delay before a read is repeated because the replica changed while it was in progress.
constexpr Duration concurrentChangeRetryDelay = 50ms;

} // namespace

/// Readers always read the store; other VMs only after a long time without a confirmation.
bool ConfigurationSync::shouldReadStore(Instant now) const
{
    if (m_isReader) {
        return true;
    }
    const bool empty = m_replica.revision() == 0;
    return unconfirmedFor(now) >= (empty ? m_options.startupReadDelay : m_options.majorityRoundAge);
}

void ConfigurationSync::tickStore(Actions &actions, Instant now)
{
    if (m_storeCall.has_value() && now - m_storeCall->sentAt > storeCallTimeout) {
        onStoreFailed(m_storeCall->id, now);
    }
    if (m_storeCall.has_value() || now < m_nextStoreCall || !shouldReadStore(now)) {
        return;
    }
    actions.push_back(readStore(m_replica.revision() == 0, now));
}

SyncAction ConfigurationSync::readStore(bool all, Instant now)
{
    const int64_t intervalFactor
            = 1 + static_cast<int64_t>(m_members.known.size() / vmsPerFallbackInterval);
    m_nextStoreCall
            = now
              + jittered(m_isReader ? m_options.storeInterval : fallbackInterval * intervalFactor);
    m_storeCall = StoreCall{
            .id = ++m_lastId,
            .sentAt = now,
            .afterRevision = m_replica.revision(),
            .newestRevision = m_replica.newestRevision(),
            .all = all,
    };
    return {
            .kind = all ? SyncActionKind::ReadAll : SyncActionKind::ReadChanges,
            .callId = m_storeCall->id,
            .afterRevision = m_storeCall->afterRevision,
    };
}

ConfigurationSync::Actions ConfigurationSync::onStoreRead(uint64_t callId, const StoreRead &read,
                                                          Instant now)
{
    if (!m_storeCall.has_value() || m_storeCall->id != callId) {
        return {};
    }
    const StoreCall call = *m_storeCall;
    m_storeCall.reset();
    m_storeBackoff = Duration::zero();
    const uint64_t formerRevision = m_replica.newestRevision();
    const bool isConfirmed = call.all ? applyAll(call, read) : applyChanges(call, read, now);
    Actions actions = announceIfNewer(formerRevision, now);
    if (isConfirmed) {
        m_replica.confirm(call.sentAt);
        m_verifiedRevision = std::max(m_verifiedRevision, read.revision);
    } else if (!call.all && call.newestRevision == formerRevision) {
        actions.push_back(readStore(true, now));
    } else if (!call.all) {
        m_nextStoreCall = now + concurrentChangeRetryDelay;
    }
    return actions;
}

/// @return whether the replica now equals the documents in the store
bool ConfigurationSync::applyAll(const StoreCall &call, const StoreRead &read)
{
    if (read.revision < call.afterRevision) {
        // The store has lost revisions that it had already served; the replica is newer.
        return false;
    }
    m_replica.apply(
            {
                    .documents = read.documents,
                    .revision = read.revision,
                    .complete = true,
                    .compactedRevision = read.revision,
            },
            0);
    return true;
}

/// Every document in the store is either among those read or unchanged since the call's revision
/// and so in the replica. If the counts are equal too, the replica contains no document that the
/// store has deleted.
/// @return whether the replica now equals the documents in the store
bool ConfigurationSync::applyChanges(const StoreCall &call, const StoreRead &read, Instant now)
{
    const bool isUnchanged = m_replica.newestRevision() == call.newestRevision
                             && m_replica.revision() == call.afterRevision;
    m_replica.applyDocuments(read.documents);
    if (!isUnchanged || read.revision < call.afterRevision || m_replica.liveCount() != read.count) {
        return false;
    }
    m_replica.apply({.revision = m_replica.newestRevision()}, call.afterRevision);
    if (m_watch.has_value() && m_watch->revision < m_replica.newestRevision()
        && !read.documents.empty() && !m_watch->behindSince.has_value()) {
        m_watch->behindSince = now;
    }
    return true;
}

void ConfigurationSync::onStoreFailed(uint64_t callId, Instant now)
{
    if (!m_storeCall.has_value() || m_storeCall->id != callId) {
        return;
    }
    m_storeCall.reset();
    m_storeBackoff
            = std::clamp(m_storeBackoff * 2, m_options.storeInterval, m_options.maxStoreBackoff);
    m_nextStoreCall = std::max(m_nextStoreCall, now + jittered(m_storeBackoff));
}

void ConfigurationSync::tickWatch(Actions &actions, Instant now)
{
    const bool lags = m_watch.has_value() && m_watch->behindSince.has_value()
                      && now - *m_watch->behindSince > m_options.watchLagLimit;
    if (m_watch.has_value() && (lags || !m_isReader)) {
        actions.push_back({.kind = SyncActionKind::StopWatch, .callId = m_watch->id});
        m_watch.reset();
    }
    if (m_watch.has_value() || !m_isReader || m_replica.revision() == 0 || now < m_nextWatch) {
        return;
    }
    // The replica equals the store at m_verifiedRevision, so the watch may start there.
    m_watch = StoreWatch{
            .id = ++m_lastId,
            .revision = std::max(m_verifiedRevision, m_replica.revision()),
    };
    actions.push_back({
            .kind = SyncActionKind::StartWatch,
            .callId = m_watch->id,
            .afterRevision = m_watch->revision,
    });
}

ConfigurationSync::Actions
ConfigurationSync::onWatchEvent(uint64_t callId,
                                std::span<const schema::VersionedDocument> documents, Instant now)
{
    if (!m_watch.has_value() || m_watch->id != callId || documents.empty()) {
        return {};
    }
    const uint64_t formerRevision = m_replica.newestRevision();
    for (const schema::VersionedDocument &document : documents) {
        m_watch->revision = std::max(m_watch->revision, document.revision());
    }
    m_watch->behindSince.reset();
    m_replica.apply(
            {.documents = {documents.begin(), documents.end()}, .revision = m_watch->revision},
            m_replica.revision());
    return announceIfNewer(formerRevision, now);
}

void ConfigurationSync::onWatchBroken(uint64_t callId, Instant now)
{
    if (!m_watch.has_value() || m_watch->id != callId) {
        return;
    }
    m_watch.reset();
    m_nextWatch = now + jittered(m_options.storeInterval);
}

} // namespace teaseldrift
