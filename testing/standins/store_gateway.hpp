#pragma once

#include <algorithm>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/http/server.hpp"

namespace teaseldrift::standins {

using nlohmann::json;

/// Decodes base64. Entries keep their encoded form; only comparing keys needs the raw bytes.
inline std::string decodeBase64(const std::string &text)
{
    std::string decoded(text.size() / 4 * 3 + 3, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(decoded.data()),
                                       reinterpret_cast<const unsigned char *>(text.data()),
                                       static_cast<int>(text.size()));
    const auto padding = std::count(text.begin(), text.end(), '=');
    decoded.resize(static_cast<size_t>(std::max<std::ptrdiff_t>(length - padding, 0)));
    return decoded;
}

inline uint64_t parseNumber(const json &object, const char *field)
{
    const json value = object.value(field, json("0"));
    return value.is_string() ? std::stoull(value.get<std::string>()) : value.get<uint64_t>();
}

struct Value
{
    json entry;
    uint64_t revision = 0;
    uint64_t lease = 0;
};

struct Event
{
    std::string key;
    json event;
    uint64_t revision = 0;
};

struct Lease
{
    Duration timeToLive{};
    Instant end;
    std::set<std::string> keys;
};

struct Watch
{
    std::weak_ptr<http::Exchange> exchange;
    std::string begin;
    std::string end;
    bool progress = false;
};

class Store
{
public:
    json range(const json &request) const
    {
        json entries = json::array();
        const std::string begin = decodeBase64(request.value("key", ""));
        const std::string end = decodeBase64(request.value("range_end", ""));
        const uint64_t minRevision = parseNumber(request, "min_mod_revision");
        uint64_t count = 0;
        for (auto it = m_values.lower_bound(begin); it != m_values.end(); ++it) {
            if (end.empty() ? it->first != begin : it->first >= end) {
                break;
            }
            ++count;
            if (it->second.revision >= minRevision) {
                entries.push_back(it->second.entry);
            }
        }
        return {{"header", header()}, {"kvs", entries}, {"count", std::to_string(count)}};
    }

    json transact(const json &request)
    {
        for (const json &compare : request.value("compare", json::array())) {
            const auto found = m_values.find(decodeBase64(compare.value("key", "")));
            const uint64_t revision = found == m_values.end() ? 0 : found->second.revision;
            if (revision != parseNumber(compare, "modRevision")) {
                return {{"header", header()}, {"succeeded", false}};
            }
        }
        ++m_revision;
        for (const json &operation : request.value("success", json::array())) {
            if (operation.contains("requestDeleteRange")) {
                erase(decodeBase64(operation["requestDeleteRange"].value("key", "")));
            } else {
                put(operation["requestPut"]);
            }
        }
        notify();
        return {{"header", header()}, {"succeeded", true}};
    }

    void watch(const std::shared_ptr<http::Exchange> &exchange, const json &request)
    {
        const json create = request.value("create_request", json::object());
        exchange->startStream(200, {{"content-type", "application/json"}});
        const json created = {{"result", {{"header", header()}, {"created", true}}}};
        exchange->write(created.dump() + "\n");
        m_watches.push_back({
                .exchange = exchange,
                .begin = decodeBase64(create.value("key", "")),
                .end = decodeBase64(create.value("range_end", "")),
                .progress = create.value("progress_notify", false),
        });
        const uint64_t start = parseNumber(create, "start_revision");
        if (start != 0) {
            sendEvents(m_watches.back(), start);
        }
    }

    json grant(const json &request, Instant now)
    {
        const std::chrono::seconds timeToLive(parseNumber(request, "TTL"));
        const uint64_t id = ++m_lastLease;
        m_leases[id] = {.timeToLive = timeToLive, .end = now + timeToLive};
        return {{"ID", std::to_string(id)}, {"TTL", std::to_string(timeToLive.count())}};
    }

    json keepAlive(const json &request, Instant now)
    {
        const auto found = m_leases.find(parseNumber(request, "ID"));
        int64_t left = 0;
        if (found != m_leases.end()) {
            found->second.end = now + found->second.timeToLive;
            left = std::chrono::duration_cast<std::chrono::seconds>(found->second.timeToLive)
                           .count();
        }
        return {{"result",
                 {{"ID", std::to_string(parseNumber(request, "ID"))},
                  {"TTL", std::to_string(left)}}}};
    }

    void expire(Instant now)
    {
        for (auto it = m_leases.begin(); it != m_leases.end();) {
            if (it->second.end > now) {
                ++it;
                continue;
            }
            const std::set<std::string> keys = it->second.keys;
            it = m_leases.erase(it);
            ++m_revision;
            for (const std::string &key : keys) {
                erase(key);
            }
            notify();
        }
    }

    void reportProgress()
    {
        const json message = {{"result", {{"header", header()}}}};
        for (const Watch &watch : m_watches) {
            const std::shared_ptr<http::Exchange> exchange = watch.exchange.lock();
            if (exchange != nullptr && watch.progress) {
                exchange->write(message.dump() + "\n");
            }
        }
    }

    void closeWatches()
    {
        for (const Watch &watch : m_watches) {
            const std::shared_ptr<http::Exchange> exchange = watch.exchange.lock();
            if (exchange != nullptr) {
                exchange->abort();
            }
        }
        m_watches.clear();
    }

    size_t openWatches()
    {
        m_watches.remove_if([](const Watch &watch) { return watch.exchange.expired(); });
        return m_watches.size();
    }

private:
    std::map<std::string, Value> m_values;
    std::map<uint64_t, Lease> m_leases;
    std::vector<Event> m_history;
    std::list<Watch> m_watches;
    uint64_t m_revision = 1;
    uint64_t m_lastLease = 0;

    [[nodiscard]] json header() const { return {{"revision", std::to_string(m_revision)}}; }

    void detachFromLease(const std::string &key)
    {
        const auto found = m_values.find(key);
        if (found != m_values.end() && m_leases.contains(found->second.lease)) {
            m_leases[found->second.lease].keys.erase(key);
        }
    }

    void erase(const std::string &key)
    {
        const auto found = m_values.find(key);
        if (found == m_values.end()) {
            return;
        }
        const json kv = {{"key", found->second.entry["key"]},
                         {"mod_revision", std::to_string(m_revision)}};
        detachFromLease(key);
        m_values.erase(found);
        m_history.push_back({key, {{"type", "DELETE"}, {"kv", kv}}, m_revision});
    }

    void put(const json &request)
    {
        const std::string key = decodeBase64(request.value("key", ""));
        const uint64_t lease = parseNumber(request, "lease");
        const json entry = {{"key", request.value("key", "")},
                            {"value", request.value("value", "")},
                            {"mod_revision", std::to_string(m_revision)}};
        detachFromLease(key);
        if (m_leases.contains(lease)) {
            m_leases[lease].keys.insert(key);
        }
        m_values[key] = {.entry = entry, .revision = m_revision, .lease = lease};
        m_history.push_back({key, {{"type", "PUT"}, {"kv", entry}}, m_revision});
    }

    /// Sends the events of the latest revision to all watches.
    void notify()
    {
        for (const Watch &watch : m_watches) {
            sendEvents(watch, m_revision);
        }
    }

    void sendEvents(const Watch &watch, uint64_t startRevision) const
    {
        const std::shared_ptr<http::Exchange> exchange = watch.exchange.lock();
        const auto begin = std::find_if(
                m_history.rbegin(), m_history.rend(),
                [startRevision](const Event &event) { return event.revision < startRevision; });
        json matching = json::array();
        for (auto it = begin.base(); it != m_history.end(); ++it) {
            if (it->key >= watch.begin && it->key < watch.end) {
                matching.push_back(it->event);
            }
        }
        if (exchange != nullptr && !matching.empty()) {
            const json message = {{"result", {{"header", header()}, {"events", matching}}}};
            exchange->write(message.dump() + "\n");
        }
    }
};

/// HTTP interface of the store, with fault injection and call counts.
///
/// ```cpp
/// StoreGateway gateway(loop);
/// http::Server server(loop, {}, [&gateway](const std::shared_ptr<http::Exchange> &exchange) {
///     gateway.handle(exchange);
/// });
/// ```
class StoreGateway
{
public:
    explicit StoreGateway(http::EventLoop &loop) : m_loop(loop) { runPeriodicTasks(); }
    ~StoreGateway() { m_loop.cancelTimer(m_timer); }
    StoreGateway(const StoreGateway &) = delete;
    StoreGateway &operator=(const StoreGateway &) = delete;

    /// @brief Sets a fault as POST /fault does.
    void setFault(const std::string &mode, Duration responseDelay = {})
    {
        m_mode = mode;
        m_responseDelay = responseDelay;
        if (m_mode == "down") {
            m_store.closeWatches();
        }
    }

    /// @brief Number of calls received.
    [[nodiscard]] uint64_t calls() const { return m_calls["total"].get<uint64_t>(); }

    void handle(const std::shared_ptr<http::Exchange> &exchange)
    {
        const std::string path(exchange->path());
        const json request = json::parse(exchange->body(), nullptr, false);
        if (path == "/fault") {
            setFault(request.value("mode", "none"),
                     std::chrono::milliseconds(request.value("ms", 0)));
            exchange->respond({.body = "{}"});
        } else if (path == "/calls") {
            m_calls["watches_open"] = m_store.openWatches();
            exchange->respond({.body = m_calls.dump()});
        } else if (m_mode == "down") {
            abortConnection(exchange);
        } else {
            count(path);
            serve(exchange, path, request);
        }
    }

private:
    http::EventLoop &m_loop;
    Store m_store;
    json m_calls = {{"total", 0}};
    std::string m_mode = "none";
    Duration m_responseDelay{};
    http::EventLoop::TimerId m_timer = 0;

    void count(const std::string &path)
    {
        m_calls["total"] = m_calls["total"].get<uint64_t>() + 1;
        m_calls[path] = m_calls.value(path, uint64_t(0)) + 1;
    }

    static void abortConnection(const std::shared_ptr<http::Exchange> &exchange)
    {
        exchange->startStream(503, {});
        exchange->abort();
    }

    void serve(const std::shared_ptr<http::Exchange> &exchange, const std::string &path,
               const json &request)
    {
        const Instant now = http::EventLoop::now();
        if (path == "/v3/kv/range") {
            respondTo(exchange, m_store.range(request));
        } else if (path == "/v3/kv/txn") {
            respondTo(exchange, m_store.transact(request));
        } else if (path == "/v3/watch") {
            m_store.watch(exchange, request);
        } else if (path == "/v3/lease/grant") {
            respondTo(exchange, m_store.grant(request, now));
        } else if (path == "/v3/lease/keepalive") {
            respondTo(exchange, m_store.keepAlive(request, now));
        } else {
            exchange->respond({.status = 404});
        }
    }

    void respondTo(const std::shared_ptr<http::Exchange> &exchange, const json &body)
    {
        if (m_mode == "lose_answers") {
            abortConnection(exchange);
        } else if (m_mode == "slow") {
            m_loop.startTimer(m_responseDelay, [exchange, text = body.dump()] {
                exchange->respond({.body = text});
            });
        } else {
            exchange->respond({.body = body.dump()});
        }
    }

    void runPeriodicTasks()
    {
        constexpr Duration interval = 200ms;
        m_store.expire(http::EventLoop::now());
        if (m_mode == "none") {
            m_store.reportProgress();
        }
        m_timer = m_loop.startTimer(interval, [this] { runPeriodicTasks(); });
    }
};

} // namespace teaseldrift::standins
