#include "teaseldrift/ctl/configuration_store.hpp"

#include <chrono>

#include "teaseldrift/configuration/change_outcome.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/store/etcd_store.hpp"

namespace teaseldrift::ctl {

namespace {

constexpr int maxWriteAttempts = 3;
constexpr int maxReadAttempts = 5;
constexpr Duration retryDelay = 300ms;

store::StoreWrite toWrite(const DocumentChange &change, const std::string &keyPrefix)
{
    return {
            .key = keyPrefix + change.name,
            .value = change.after ? change.after->SerializeAsString() : "",
            .isDelete = !change.after,
            .expectedRevision = change.expectedRevision,
    };
}

} // namespace

struct ConfigurationStore::Impl
{
    http::EventLoop loop;
    store::EtcdStore store;
    std::string keyPrefix;

    Impl(http::Endpoint endpoint, const std::string &prefix)
        : store(loop, std::move(endpoint)), keyPrefix(prefix + std::string(configurationKeySegment))
    { }

    store::StoreWriteResult writeOnce(std::span<const DocumentChange> changes);
    ConfigurationWriteResult resolve(std::span<const DocumentChange> changes,
                                     std::string_view changeId, const ConfigurationReadResult &read,
                                     bool wasRejected) const;
    void waitBeforeRetry();
};

void ConfigurationStore::Impl::waitBeforeRetry()
{
    loop.startTimer(retryDelay, [this] { loop.stop(); });
    loop.run();
}

store::StoreWriteResult ConfigurationStore::Impl::writeOnce(std::span<const DocumentChange> changes)
{
    std::vector<store::StoreWrite> writes;
    for (const DocumentChange &change : changes) {
        writes.push_back(toWrite(change, keyPrefix));
    }
    store::StoreWriteResult result;
    store.write(writes, [this, &result](store::StoreWriteResult response) {
        result = response;
        loop.stop();
    });
    loop.run();
    return result;
}

ConfigurationWriteResult ConfigurationStore::Impl::resolve(std::span<const DocumentChange> changes,
                                                           std::string_view changeId,
                                                           const ConfigurationReadResult &read,
                                                           bool wasRejected) const
{
    const ChangeResolution resolution = resolveUncertainWrite(changes, read.documents, changeId);
    if (resolution.outcome == ChangeOutcome::Committed) {
        return {.outcome = WriteOutcome::Written, .revision = resolution.revision};
    }
    if (resolution.outcome == ChangeOutcome::Conflict || wasRejected) {
        return {.outcome = WriteOutcome::Conflict, .conflictDiff = resolution.conflictDiff};
    }
    return {.outcome = WriteOutcome::Uncertain};
}

ConfigurationStore::ConfigurationStore(http::Endpoint store, std::string prefix)
    : m_impl(std::make_unique<Impl>(std::move(store), prefix))
{ }

ConfigurationStore::~ConfigurationStore() = default;

ConfigurationReadResult ConfigurationStore::read()
{
    ConfigurationReadResult result;
    for (int i = 0; i < maxReadAttempts; ++i) {
        if (i > 0) {
            m_impl->waitBeforeRetry();
        }
        store::StoreSnapshot snapshot;
        m_impl->store.readPrefix(m_impl->keyPrefix,
                                 [this, &result, &snapshot](std::error_code error,
                                                            const store::StoreSnapshot &response) {
                                     result.error = error;
                                     snapshot = response;
                                     m_impl->loop.stop();
                                 });
        m_impl->loop.run();
        if (result.error) {
            continue;
        }
        result.revision = snapshot.revision;
        for (const store::StoreEntry &entry : snapshot.entries) {
            schema::VersionedDocument &document = result.documents.emplace_back();
            document.set_name(entry.key.substr(m_impl->keyPrefix.size()));
            document.set_revision(entry.revision);
            if (!document.mutable_document()->ParseFromString(entry.value)) {
                result.error = std::make_error_code(std::errc::bad_message);
            }
        }
        return result;
    }
    return result;
}

ConfigurationWriteResult ConfigurationStore::write(std::span<const DocumentChange> changes,
                                                   std::string_view changeId)
{
    ConfigurationWriteResult report{.outcome = WriteOutcome::NotApplied};
    for (int i = 0; i < maxWriteAttempts; ++i) {
        const store::StoreWriteResult result = m_impl->writeOnce(changes);
        if (result.outcome == store::StoreOutcome::Written) {
            return {.outcome = WriteOutcome::Written, .revision = result.revision};
        }
        if (result.outcome == store::StoreOutcome::NotApplied) {
            m_impl->waitBeforeRetry();
            continue;
        }
        report.outcome = WriteOutcome::Uncertain;
        const ConfigurationReadResult current = read();
        if (current.error) {
            continue;
        }
        const bool wasRejected = result.outcome == store::StoreOutcome::Conflict;
        report = m_impl->resolve(changes, changeId, current, wasRejected);
        if (report.outcome != WriteOutcome::Uncertain) {
            return report;
        }
    }
    return report;
}

} // namespace teaseldrift::ctl
