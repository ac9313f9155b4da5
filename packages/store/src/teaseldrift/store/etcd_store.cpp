#include "teaseldrift/store/etcd_store.hpp"

#include <charconv>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/store/base64.hpp"

namespace teaseldrift::store {

namespace {

using nlohmann::json;

/// The gateway writes 64-bit numbers as strings, and leaves zero out.
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

/// A field's text, empty if it is missing or of another type.
std::string textOf(const json &object, const char *field)
{
    const auto found = object.find(field);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

/// A field's object or array, empty if it is missing.
json partOf(const json &object, const char *field)
{
    const auto found = object.find(field);
    return found != object.end() && found->is_structured() ? *found : json::object();
}

/// The first key after all keys with this prefix.
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

StoreEntry entryOf(const json &object)
{
    return {
            .key = decodeBase64(textOf(object, "key")),
            .value = decodeBase64(textOf(object, "value")),
            .revision = number(object, "mod_revision"),
    };
}

StoreSnapshot snapshotOf(const json &answer)
{
    StoreSnapshot snapshot{
            .count = number(answer, "count"),
            .revision = number(partOf(answer, "header"), "revision"),
    };
    for (const json &entry : partOf(answer, "kvs")) {
        snapshot.entries.push_back(entryOf(entry));
    }
    return snapshot;
}

json putOf(const StoreWrite &write)
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

json compareOf(const StoreWrite &write)
{
    return {
            {"key", encodeBase64(write.key)},
            {"target", "MOD"},
            {"result", "EQUAL"},
            {"modRevision", std::to_string(write.expectedRevision)},
    };
}

std::error_code failure(http::CallEnd end)
{
    return end == http::CallEnd::NotSent ? std::make_error_code(std::errc::connection_refused)
                                         : std::make_error_code(std::errc::timed_out);
}

} // namespace

struct EtcdStore::Native
{
    struct Pending
    {
        std::unique_ptr<http::Call> call;
        std::string body;
        int status = 0;
        http::EventLoop::TimerId timer = 0;
        std::function<void(http::CallEnd, const json &)> done;
    };

    struct Watch
    {
        std::unique_ptr<http::Call> call;
        std::string buffer;
        std::function<void(std::span<const StoreEntry>)> onChange;
        std::function<void()> onBroken;
    };

    http::EventLoop &loop;
    http::Endpoint endpoint;
    Duration timeout;
    http::Client client;
    http::Client watchClient;
    std::map<uint64_t, Pending> pending;
    std::map<uint64_t, Watch> watches;
    uint64_t lastId = 0;

    Native(http::EventLoop &eventLoop, http::Endpoint storeEndpoint, Duration callTimeout)
        : loop(eventLoop), endpoint(std::move(storeEndpoint)), timeout(callTimeout),
          client(eventLoop, {.connectTimeout = callTimeout, .ioTimeout = callTimeout}),
          watchClient(eventLoop, {.connectTimeout = callTimeout, .ioTimeout = 60s})
    { }

    void post(std::string path, const json &body,
              std::function<void(http::CallEnd, const json &)> done);
    void read(const json &body, std::function<void(std::error_code, const StoreSnapshot &)> done);
    void finish(uint64_t id, http::CallEnd end);
    void readWatch(uint64_t id, std::string_view data);
    void breakWatch(uint64_t id);
};

void EtcdStore::Native::post(std::string path, const json &body,
                             std::function<void(http::CallEnd, const json &)> done)
{
    const uint64_t id = ++lastId;
    Pending &call = pending[id];
    call.done = std::move(done);
    call.timer = loop.startTimer(timeout, [this, id] {
        const auto found = pending.find(id);
        finish(id,
               found->second.call->maybeSent() ? http::CallEnd::Broken : http::CallEnd::NotSent);
    });
    call.call = client.start(
            endpoint,
            {.method = "POST",
             .path = std::move(path),
             .headers = {{"content-type", "application/json"}},
             .body = body.dump()},
            http::ConnectionUse::Fresh,
            {
                    .onHead
                    = [this,
                       id](const http::ResponseHead &head) { pending[id].status = head.status; },
                    .onData = [this, id](std::string_view data) { pending[id].body += data; },
                    .onEnd = [this, id](http::CallEnd end) { finish(id, end); },
            });
}

void EtcdStore::Native::read(const json &body,
                             std::function<void(std::error_code, const StoreSnapshot &)> done)
{
    post("/v3/kv/range", body, [done = std::move(done)](http::CallEnd end, const json &answer) {
        if (end != http::CallEnd::Complete) {
            done(failure(end), {});
            return;
        }
        done({}, snapshotOf(answer));
    });
}

void EtcdStore::Native::finish(uint64_t id, http::CallEnd end)
{
    constexpr int statusOk = 200;
    const auto found = pending.find(id);
    if (found == pending.end()) {
        return;
    }
    const Pending call = std::move(found->second);
    pending.erase(found);
    loop.cancelTimer(call.timer);
    json answer = json::parse(call.body, nullptr, false);
    if (end == http::CallEnd::Complete && (call.status != statusOk || !answer.is_object())) {
        end = http::CallEnd::Broken;
    }
    call.done(end, answer);
}

void EtcdStore::Native::readWatch(uint64_t id, std::string_view data)
{
    watches[id].buffer += data;
    while (watches.contains(id)) {
        Watch &watch = watches[id];
        const size_t lineEnd = watch.buffer.find('\n');
        if (lineEnd == std::string::npos) {
            return;
        }
        const json message = json::parse(watch.buffer.substr(0, lineEnd), nullptr, false);
        watch.buffer.erase(0, lineEnd + 1);
        const json result = message.is_object() ? partOf(message, "result") : json();
        if (!result.is_object() || result.contains("canceled")) {
            // The gateway reports an error, or that the start revision is compacted.
            breakWatch(id);
            return;
        }
        std::vector<StoreEntry> entries;
        for (const json &event : partOf(result, "events")) {
            StoreEntry entry = entryOf(partOf(event, "kv"));
            entry.deleted = textOf(event, "type") == "DELETE";
            entries.push_back(std::move(entry));
        }
        if (!entries.empty()) {
            const std::function<void(std::span<const StoreEntry>)> onChange = watch.onChange;
            onChange(entries);
        }
    }
}

void EtcdStore::Native::breakWatch(uint64_t id)
{
    const auto found = watches.find(id);
    if (found == watches.end()) {
        return;
    }
    const std::function<void()> onBroken = found->second.onBroken;
    watches.erase(found);
    onBroken();
}

EtcdStore::EtcdStore(http::EventLoop &loop, http::Endpoint endpoint, Duration timeout)
    : m_native(std::make_unique<Native>(loop, std::move(endpoint), timeout))
{ }

EtcdStore::~EtcdStore() = default;

void EtcdStore::readPrefix(std::string_view prefix,
                           std::function<void(std::error_code, const StoreSnapshot &)> done)
{
    m_native->read({{"key", encodeBase64(prefix)},
                    {"range_end", encodeBase64(prefixEnd(std::string(prefix)))}},
                   std::move(done));
}

void EtcdStore::readChanges(std::string_view prefix, uint64_t afterRevision,
                            std::function<void(std::error_code, const StoreSnapshot &)> done)
{
    m_native->read({{"key", encodeBase64(prefix)},
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
            body["compare"].push_back(compareOf(write));
        }
        body["success"].push_back(putOf(write));
    }
    m_native->post(
            "/v3/kv/txn", body, [done = std::move(done)](http::CallEnd end, const json &answer) {
                if (end != http::CallEnd::Complete) {
                    done({.outcome = end == http::CallEnd::NotSent ? StoreOutcome::NotApplied
                                                                   : StoreOutcome::Unknown});
                    return;
                }
                done({.outcome = answer.value("succeeded", json()) == true ? StoreOutcome::Written
                                                                           : StoreOutcome::Conflict,
                      .revision = number(partOf(answer, "header"), "revision")});
            });
}

uint64_t EtcdStore::watchPrefix(std::string_view prefix, uint64_t afterRevision,
                                std::function<void(std::span<const StoreEntry>)> onChange,
                                std::function<void()> onBroken)
{
    const uint64_t id = ++m_native->lastId;
    const json body = {{"create_request",
                        {{"key", encodeBase64(prefix)},
                         {"range_end", encodeBase64(prefixEnd(std::string(prefix)))},
                         {"start_revision", std::to_string(afterRevision + 1)},
                         {"progress_notify", true}}}};
    Native::Watch &watch = m_native->watches[id];
    watch.onChange = std::move(onChange);
    watch.onBroken = std::move(onBroken);
    Native *native = m_native.get();
    watch.call = m_native->watchClient.start(
            m_native->endpoint,
            {.method = "POST",
             .path = "/v3/watch",
             .headers = {{"content-type", "application/json"}},
             .body = body.dump()},
            http::ConnectionUse::Fresh,
            {
                    .onHead = [](const http::ResponseHead &) {},
                    .onData = [native, id](std::string_view data) { native->readWatch(id, data); },
                    .onEnd = [native, id](http::CallEnd) { native->breakWatch(id); },
            });
    return id;
}

void EtcdStore::stopWatch(uint64_t watch)
{
    m_native->watches.erase(watch);
}

void EtcdStore::grantLease(Duration timeToLive, std::function<void(std::error_code, uint64_t)> done)
{
    const json body = {
            {"TTL", std::to_string(std::chrono::ceil<std::chrono::seconds>(timeToLive).count())}};
    m_native->post("/v3/lease/grant", body,
                   [done = std::move(done)](http::CallEnd end, const json &answer) {
                       if (end != http::CallEnd::Complete) {
                           done(failure(end), 0);
                           return;
                       }
                       done({}, number(answer, "ID"));
                   });
}

void EtcdStore::renewLease(uint64_t lease, std::function<void(std::error_code, Duration)> done)
{
    const json body = {{"ID", std::to_string(lease)}};
    m_native->post("/v3/lease/keepalive", body,
                   [done = std::move(done)](http::CallEnd end, const json &answer) {
                       if (end != http::CallEnd::Complete) {
                           done(failure(end), {});
                           return;
                       }
                       const json result = partOf(answer, "result");
                       done({}, std::chrono::seconds(number(result, "TTL")));
                   });
}

} // namespace teaseldrift::store
