#include "teaseldrift/store/etcd_store.hpp"

#include <charconv>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "teaseldrift/base/json_input.hpp"
#include "teaseldrift/http/buffered_client.hpp"
#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/store/base64.hpp"

namespace teaseldrift::store {

namespace {

using nlohmann::json;

/// The gateway encodes 64-bit numbers as strings and omits fields that are zero.
uint64_t number(const json &object, const char *field)
{
    const auto found = object.find(field);
    if (found == object.end()) {
        return 0;
    }
    if (found->is_number_unsigned()) {
        return found->get<uint64_t>();
    }
    uint64_t value = 0;
    const std::string text = found->is_string() ? found->get<std::string>() : std::string();
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/// Text of a field; empty if it is absent or of another type.
std::string textOf(const json &object, const char *field)
{
    const auto found = object.find(field);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

/// Object or array in a field; an empty object if it is absent.
json structureOf(const json &object, const char *field)
{
    const auto found = object.find(field);
    return found != object.end() && found->is_structured() ? *found : json::object();
}

/// Smallest key that is greater than all keys with the prefix.
std::string prefixEnd(std::string prefix)
{
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xFF) {
        prefix.pop_back();
    }
    if (!prefix.empty()) {
        ++prefix.back();
    }
    return prefix;
}

StoreEntry toEntry(const json &object)
{
    return {
            .key = decodeBase64(textOf(object, "key")),
            .value = decodeBase64(textOf(object, "value")),
            .revision = number(object, "mod_revision"),
    };
}

StoreSnapshot toSnapshot(const json &response)
{
    StoreSnapshot snapshot{
            .count = number(response, "count"),
            .revision = number(structureOf(response, "header"), "revision"),
    };
    for (const json &entry : structureOf(response, "kvs")) {
        snapshot.entries.push_back(toEntry(entry));
    }
    return snapshot;
}

json toPut(const StoreWrite &write)
{
    if (write.isDelete) {
        return {{"requestDeleteRange", {{"key", encodeBase64(write.key)}}}};
    }
    json put = {{"key", encodeBase64(write.key)}, {"value", encodeBase64(write.value)}};
    if (write.lease != 0) {
        put["lease"] = std::to_string(write.lease);
    }
    return {{"requestPut", put}};
}

json toCompare(const StoreWrite &write)
{
    return {
            {"key", encodeBase64(write.key)},
            {"target", "MOD"},
            {"result", "EQUAL"},
            {"modRevision", std::to_string(write.expectedRevision)},
    };
}

std::error_code failure(http::CallOutcome end)
{
    return end == http::CallOutcome::NotSent ? std::make_error_code(std::errc::connection_refused)
                                             : std::make_error_code(std::errc::timed_out);
}

} // namespace

struct EtcdStore::Impl
{
    struct PendingCall
    {
        std::unique_ptr<http::Call> call;
        std::string body;
        int status = 0;
        http::EventLoop::TimerId timer = 0;
        std::function<void(http::CallOutcome, const json &)> done;
    };

    struct Watch
    {
        std::unique_ptr<http::Call> call;
        std::string buffer;
        std::function<void(std::span<const StoreEntry>)> onChange;
        std::function<void()> onClosed;
    };

    http::EventLoop &loop;
    http::Endpoint endpoint;
    Duration timeout;
    http::Client client;
    http::Client watchClient;
    std::map<uint64_t, PendingCall> pending;
    std::map<uint64_t, Watch> watches;
    uint64_t lastId = 0;

    Impl(http::EventLoop &eventLoop, http::Endpoint storeEndpoint, Duration callTimeout)
        : loop(eventLoop), endpoint(std::move(storeEndpoint)), timeout(callTimeout),
          client(eventLoop, {.connectTimeout = callTimeout, .ioTimeout = callTimeout}),
          watchClient(eventLoop, {.connectTimeout = callTimeout, .ioTimeout = 60s})
    { }

    void post(std::string path, const json &body,
              std::function<void(http::CallOutcome, const json &)> done);
    void read(const json &body, std::function<void(std::error_code, const StoreSnapshot &)> done);
    void finish(uint64_t id, http::CallOutcome end);
    void handleWatchData(uint64_t id, std::string_view data);
    void closeWatch(uint64_t id);
};

void EtcdStore::Impl::post(std::string path, const json &body,
                           std::function<void(http::CallOutcome, const json &)> done)
{
    const uint64_t id = ++lastId;
    PendingCall &call = pending[id];
    call.done = std::move(done);
    call.timer = loop.startTimer(timeout, [this, id] {
        const auto found = pending.find(id);
        finish(id, found->second.call->maybeSent() ? http::CallOutcome::Broken
                                                   : http::CallOutcome::NotSent);
    });
    call.call = client.start(
            endpoint,
            {.method = "POST",
             .path = std::move(path),
             .headers = {{"content-type", "application/json"}},
             .body = body.dump(),
             .maxResponseBytes = http::BufferedClient::defaultMaxResponseBytes},
            http::ConnectionUse::Fresh,
            {
                    .onHead
                    = [this,
                       id](const http::ResponseHead &head) { pending[id].status = head.status; },
                    .onData = [this, id](std::string_view data) { pending[id].body += data; },
                    .onEnd = [this, id](http::CallOutcome end) { finish(id, end); },
            });
}

void EtcdStore::Impl::read(const json &body,
                           std::function<void(std::error_code, const StoreSnapshot &)> done)
{
    post("/v3/kv/range", body,
         [done = std::move(done)](http::CallOutcome end, const json &response) {
             if (end != http::CallOutcome::Complete) {
                 done(failure(end), {});
                 return;
             }
             done({}, toSnapshot(response));
         });
}

void EtcdStore::Impl::finish(uint64_t id, http::CallOutcome end)
{
    constexpr int statusOk = 200;
    const auto found = pending.find(id);
    if (found == pending.end()) {
        return;
    }
    const PendingCall call = std::move(found->second);
    pending.erase(found);
    loop.cancelTimer(call.timer);
    json response = parseJson(call.body);
    if (end == http::CallOutcome::Complete && (call.status != statusOk || !response.is_object())) {
        end = http::CallOutcome::Broken;
    }
    call.done(end, response);
}

void EtcdStore::Impl::handleWatchData(uint64_t id, std::string_view data)
{
    watches[id].buffer += data;
    while (watches.contains(id)) {
        Watch &watch = watches[id];
        const size_t lineEnd = watch.buffer.find('\n');
        if (lineEnd == std::string::npos) {
            return;
        }
        const json message = parseJson(watch.buffer.substr(0, lineEnd));
        watch.buffer.erase(0, lineEnd + 1);
        const json result = message.is_object() ? structureOf(message, "result") : json();
        if (!result.is_object() || result.contains("canceled")) {
            // An error, or the start revision has been compacted.
            closeWatch(id);
            return;
        }
        std::vector<StoreEntry> entries;
        for (const json &event : structureOf(result, "events")) {
            StoreEntry entry = toEntry(structureOf(event, "kv"));
            entry.deleted = textOf(event, "type") == "DELETE";
            entries.push_back(std::move(entry));
        }
        if (!entries.empty()) {
            const std::function<void(std::span<const StoreEntry>)> onChange = watch.onChange;
            onChange(entries);
        }
    }
}

void EtcdStore::Impl::closeWatch(uint64_t id)
{
    const auto found = watches.find(id);
    if (found == watches.end()) {
        return;
    }
    const std::function<void()> onClosed = found->second.onClosed;
    watches.erase(found);
    onClosed();
}

EtcdStore::EtcdStore(http::EventLoop &loop, http::Endpoint endpoint, Duration timeout)
    : m_impl(std::make_unique<Impl>(loop, std::move(endpoint), timeout))
{ }

EtcdStore::~EtcdStore() = default;

void EtcdStore::readPrefix(std::string_view prefix,
                           std::function<void(std::error_code, const StoreSnapshot &)> done)
{
    m_impl->read({{"key", encodeBase64(prefix)},
                  {"range_end", encodeBase64(prefixEnd(std::string(prefix)))}},
                 std::move(done));
}

void EtcdStore::readChanges(std::string_view prefix, uint64_t afterRevision,
                            std::function<void(std::error_code, const StoreSnapshot &)> done)
{
    m_impl->read({{"key", encodeBase64(prefix)},
                  {"range_end", encodeBase64(prefixEnd(std::string(prefix)))},
                  {"min_mod_revision", std::to_string(afterRevision + 1)}},
                 std::move(done));
}

void EtcdStore::write(std::span<const StoreWrite> writes,
                      std::function<void(StoreWriteResult)> done)
{
    json body = {{"compare", json::array()}, {"success", json::array()}};
    for (const StoreWrite &write : writes) {
        if (!write.isUnconditional) {
            body["compare"].push_back(toCompare(write));
        }
        body["success"].push_back(toPut(write));
    }
    m_impl->post("/v3/kv/txn", body,
                 [done = std::move(done)](http::CallOutcome end, const json &response) {
                     if (end != http::CallOutcome::Complete) {
                         done({.outcome = end == http::CallOutcome::NotSent
                                                  ? StoreOutcome::NotApplied
                                                  : StoreOutcome::Unknown});
                         return;
                     }
                     done({.outcome = response.value("succeeded", json()) == true
                                              ? StoreOutcome::Written
                                              : StoreOutcome::Conflict,
                           .revision = number(structureOf(response, "header"), "revision")});
                 });
}

uint64_t EtcdStore::watchPrefix(std::string_view prefix, uint64_t afterRevision,
                                std::function<void(std::span<const StoreEntry>)> onChange,
                                std::function<void()> onClosed)
{
    const uint64_t id = ++m_impl->lastId;
    const json body = {{"create_request",
                        {{"key", encodeBase64(prefix)},
                         {"range_end", encodeBase64(prefixEnd(std::string(prefix)))},
                         {"start_revision", std::to_string(afterRevision + 1)},
                         {"progress_notify", true}}}};
    Impl::Watch &watch = m_impl->watches[id];
    watch.onChange = std::move(onChange);
    watch.onClosed = std::move(onClosed);
    Impl *impl = m_impl.get();
    watch.call = m_impl->watchClient.start(
            m_impl->endpoint,
            {.method = "POST",
             .path = "/v3/watch",
             .headers = {{"content-type", "application/json"}},
             .body = body.dump()},
            http::ConnectionUse::Fresh,
            {
                    .onHead = [](const http::ResponseHead &) {},
                    .onData
                    = [impl, id](std::string_view data) { impl->handleWatchData(id, data); },
                    .onEnd = [impl, id](http::CallOutcome) { impl->closeWatch(id); },
            });
    return id;
}

void EtcdStore::stopWatch(uint64_t watch)
{
    m_impl->watches.erase(watch);
}

void EtcdStore::grantLease(Duration timeToLive, std::function<void(std::error_code, uint64_t)> done)
{
    const json body = {
            {"TTL", std::to_string(std::chrono::ceil<std::chrono::seconds>(timeToLive).count())}};
    m_impl->post("/v3/lease/grant", body,
                 [done = std::move(done)](http::CallOutcome end, const json &response) {
                     if (end != http::CallOutcome::Complete) {
                         done(failure(end), 0);
                         return;
                     }
                     done({}, number(response, "ID"));
                 });
}

void EtcdStore::renewLease(uint64_t lease, std::function<void(std::error_code, Duration)> done)
{
    const json body = {{"ID", std::to_string(lease)}};
    m_impl->post("/v3/lease/keepalive", body,
                 [done = std::move(done)](http::CallOutcome end, const json &response) {
                     if (end != http::CallOutcome::Complete) {
                         done(failure(end), {});
                         return;
                     }
                     const json result = structureOf(response, "result");
                     done({}, std::chrono::seconds(number(result, "TTL")));
                 });
}

} // namespace teaseldrift::store
