#include "teaseldrift/relay/store_relay.hpp"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "teaseldrift/base/milliseconds.hpp"
#include "teaseldrift/http/buffered_client.hpp"
#include "teaseldrift/relay/unresponsive_vms.hpp"
#include "teaseldrift/schema/vm_record.pb.h"
#include "teaseldrift/store/change_log.hpp"

namespace teaseldrift::relay {

namespace {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
/// Some of the requested changes are no longer retained.
constexpr int statusGone = 410;
/// This VM has no recent confirmation of the store's state.
constexpr int statusUnavailable = 503;

/// Interval at which pending queries are checked.
constexpr Duration tickInterval = 100ms;

/// Bound of the age that another VM states.
constexpr uint64_t maxStatedAgeMs = 60000;

/// @param sentBefore latest time at which the other VM can have responded
store::StoreSnapshot read(const schema::ChangesAnswer &response, Instant sentBefore)
{
    const std::chrono::milliseconds age(std::min(response.age_ms(), maxStatedAgeMs));
    store::StoreSnapshot changes{.revision = response.revision(),
                                 .epoch = response.epoch(),
                                 .confirmedAt = sentBefore - age};
    for (const schema::ChangesAnswer::Change &change : response.changes()) {
        changes.entries.push_back({.key = change.key(),
                                   .value = change.value(),
                                   .revision = change.revision(),
                                   .deleted = change.is_deleted()});
    }
    changes.count = changes.entries.size();
    return changes;
}

std::string write(const store::StoreSnapshot &changes, Duration age)
{
    schema::ChangesAnswer response;
    response.set_age_ms(static_cast<uint64_t>(
            std::chrono::ceil<std::chrono::milliseconds>(std::max(age, Duration(0))).count()));
    response.set_revision(changes.revision);
    response.set_epoch(changes.epoch);
    for (const store::StoreEntry &entry : changes.entries) {
        schema::ChangesAnswer::Change &change = *response.add_changes();
        change.set_key(entry.key);
        change.set_value(entry.value);
        change.set_revision(entry.revision);
        change.set_is_deleted(entry.deleted);
    }
    return response.SerializeAsString();
}

StoreRelayTransport httpTransport(http::EventLoop &loop, http::Client &peers)
{
    const std::shared_ptr<http::BufferedClient> calls
            = std::make_shared<http::BufferedClient>(loop, peers);
    return {.send = [calls](const http::Endpoint &vm, std::string query, Duration timeout,
                            StoreRelayTransport::ResponseHandler onResponse) {
        calls->start(
                vm,
                {.method = "POST", .path = std::string(StoreRelay::path), .body = std::move(query)},
                timeout, std::move(onResponse));
    }};
}

} // namespace

struct StoreRelay::Impl
{
    struct PendingQuery
    {
        std::string prefix;
        uint64_t revision = 0;
        uint64_t epoch = 0;
        Instant until;
        StoreRelayTransport::Respond respond;
    };

    http::EventLoop &loop;
    StoreRelayTransport transport;
    FleetState &fleet;
    telemetry::EventLog &log;
    telemetry::Metrics &metrics;
    StoreRelayOptions options;
    std::map<std::string, store::ChangeLog, std::less<>> logs;
    std::vector<PendingQuery> pendingQueries;
    Instant lastQueryAt;
    UnresponsiveVms unresponsive{options.unresponsiveCooldown};
    http::EventLoop::TimerId timer = 0;

    void tick();
    void answerPendingQueries(Instant now);
    bool tryAnswer(const PendingQuery &pendingQuery, Instant now);
    [[nodiscard]] const schema::VmRecord *zoneRepresentative(Instant now) const;
    void onQueryFailed(const std::string &vmId, const http::BufferedResponse &response);
};

StoreRelay::StoreRelay(http::EventLoop &loop, http::Client &peers, FleetState &fleet,
                       telemetry::EventLog &log, telemetry::Metrics &metrics,
                       StoreRelayOptions options)
    : StoreRelay(loop, httpTransport(loop, peers), fleet, log, metrics, options)
{ }

StoreRelay::StoreRelay(http::EventLoop &loop, StoreRelayTransport transport, FleetState &fleet,
                       telemetry::EventLog &log, telemetry::Metrics &metrics,
                       StoreRelayOptions options)
    : m_impl(new Impl{.loop = loop,
                      .transport = std::move(transport),
                      .fleet = fleet,
                      .log = log,
                      .metrics = metrics,
                      .options = options})
{ }

StoreRelay::~StoreRelay()
{
    m_impl->loop.cancelTimer(m_impl->timer);
}

const StoreRelayOptions &StoreRelay::options() const
{
    return m_impl->options;
}

const schema::VmRecord *StoreRelay::Impl::zoneRepresentative(Instant now) const
{
    return fleet.zoneRepresentative(fleet.options().availabilityZone, [&](const std::string &vmId) {
        return unresponsive.contains(vmId, now);
    });
}

bool StoreRelay::usesRelay(Instant now) const
{
    return m_impl->fleet.vmCount() >= m_impl->options.minVmCount
           && m_impl->zoneRepresentative(now) != nullptr;
}

bool StoreRelay::servesOthers(Instant now) const
{
    const bool wasQueried = m_impl->lastQueryAt != Instant()
                            && now - m_impl->lastQueryAt < m_impl->options.servingPeriod;
    // The zone's representative retains changes from its start, before the first query arrives.
    return wasQueried
           || (m_impl->fleet.vmCount() >= m_impl->options.minVmCount
               && m_impl->zoneRepresentative(now) == nullptr);
}

void StoreRelay::Impl::onQueryFailed(const std::string &vmId,
                                     const http::BufferedResponse &response)
{
    unresponsive.add(vmId, http::EventLoop::now());
    metrics.counter({"teaseldrift_changes_unanswered_total"}).add();
    log.write(telemetry::EventPriority::Important, "changes_not_passed_on",
              {{"asked_vm", std::string_view(vmId)},
               {"status", static_cast<int64_t>(response.status)},
               {"failure", toString(response.failure)},
               {"elapsed_ms", toMs(response.elapsed)},
               {"received_bytes", static_cast<int64_t>(response.receivedBytes)}});
}

void StoreRelay::query(const std::string &prefix, uint64_t revision, uint64_t epoch,
                       RelayHandler handler)
{
    Impl &impl = *m_impl;
    const schema::VmRecord *vm = impl.zoneRepresentative(http::EventLoop::now());
    http::Endpoint endpoint;
    if (vm == nullptr || !http::parseEndpoint(vm->peer_address(), endpoint)) {
        handler(RelayResult::NotRetained, {});
        return;
    }
    schema::ChangesAsk query;
    query.set_prefix(prefix);
    query.set_revision(revision);
    query.set_epoch(epoch);
    const Duration timeout = impl.options.maxQueryWait + impl.options.roundTripTime;
    impl.transport.send(endpoint, query.SerializeAsString(), timeout,
                        [&impl, vmId = vm->vm_id(), sentBefore = http::EventLoop::now() + timeout,
                         handler = std::move(handler)](const http::BufferedResponse &response) {
                            schema::ChangesAnswer changes;
                            if (response.status == statusOk
                                && changes.ParseFromString(response.body)) {
                                store::StoreSnapshot received
                                        = read(changes, std::min(sentBefore, response.headAt));
                                received.relayedBy = vmId;
                                handler(RelayResult::Changes, received);
                                return;
                            }
                            if (response.status == statusGone) {
                                handler(RelayResult::NotRetained, {});
                                return;
                            }
                            impl.onQueryFailed(vmId, response);
                            handler(RelayResult::Failed, {});
                        });
}

void StoreRelay::recordChanges(const std::string &prefix, uint64_t after,
                               const store::StoreSnapshot &changes, Instant confirmedAt)
{
    const Instant now = http::EventLoop::now();
    if (!servesOthers(now)) {
        m_impl->logs.clear();
        return;
    }
    m_impl->logs[prefix].append(after, changes, confirmedAt);
    m_impl->answerPendingQueries(now);
}

void StoreRelay::dropChanges(const std::string &prefix)
{
    if (m_impl->logs.erase(prefix) > 0) {
        m_impl->answerPendingQueries(http::EventLoop::now());
    }
}

void StoreRelay::markStoreUnavailable(const std::string &prefix, Instant sentAt)
{
    const auto log = m_impl->logs.find(prefix);
    if (log != m_impl->logs.end()) {
        log->second.markStoreUnavailable(sentAt);
        m_impl->answerPendingQueries(http::EventLoop::now());
    }
}

void StoreRelay::handle(const std::shared_ptr<http::Exchange> &exchange)
{
    handle(exchange->body(), [exchange](int status, std::string body) {
        exchange->respond({.status = status, .body = std::move(body)});
    });
}

void StoreRelay::handle(std::string_view message, StoreRelayTransport::Respond respond)
{
    schema::ChangesAsk query;
    if (!query.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
        respond(statusBadRequest, {});
        return;
    }
    Impl &impl = *m_impl;
    const Instant now = http::EventLoop::now();
    impl.lastQueryAt = now;
    Impl::PendingQuery pendingQuery{.prefix = query.prefix(),
                                    .revision = query.revision(),
                                    .epoch = query.epoch(),
                                    .until = now + impl.options.maxQueryWait,
                                    .respond = std::move(respond)};
    if (!impl.tryAnswer(pendingQuery, now)) {
        impl.pendingQueries.push_back(std::move(pendingQuery));
        if (impl.timer == 0) {
            impl.timer = impl.loop.startTimer(tickInterval, [&impl] { impl.tick(); });
        }
    }
}

/// @return false if the query has to wait for changes
bool StoreRelay::Impl::tryAnswer(const PendingQuery &pendingQuery, Instant now)
{
    const auto log = logs.find(pendingQuery.prefix);
    const std::optional<store::StoreSnapshot> changesSince
            = log == logs.end() ? std::nullopt : log->second.changesSince(pendingQuery.revision);
    if (log != logs.end() && now - log->second.confirmedAt() > options.maxAge) {
        pendingQuery.respond(statusUnavailable, {});
        return true;
    }
    // Revisions of different epochs are not comparable; the other VM then asks the store.
    if (!changesSince || pendingQuery.epoch != log->second.epoch()) {
        pendingQuery.respond(statusGone, {});
        return true;
    }
    if (changesSince->entries.empty() && now < pendingQuery.until) {
        return false;
    }
    pendingQuery.respond(statusOk, write(*changesSince, now - log->second.confirmedAt()));
    return true;
}

void StoreRelay::Impl::answerPendingQueries(Instant now)
{
    std::erase_if(pendingQueries,
                  [&](const PendingQuery &pendingQuery) { return tryAnswer(pendingQuery, now); });
}

void StoreRelay::Impl::tick()
{
    timer = 0;
    answerPendingQueries(http::EventLoop::now());
    if (!pendingQueries.empty()) {
        timer = loop.startTimer(tickInterval, [this] { tick(); });
    }
}

} // namespace teaseldrift::relay
