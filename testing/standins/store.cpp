/// Stand-in for the platform's key-value service: the etcd v3 JSON gateway, in memory.

#include <iostream>
#include <list>
#include <map>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/http/server.hpp"

namespace {

using nlohmann::json;
using namespace teaseldrift;

/// Keys stay in their base64 form; only order and prefixes need the raw bytes.
std::string decode(const std::string &text)
{
    std::string decoded(text.size() / 4 * 3 + 3, '\0');
    int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(decoded.data()),
                                 reinterpret_cast<const unsigned char *>(text.data()),
                                 static_cast<int>(text.size()));
    while (length > 0 && !text.empty() && decoded[static_cast<size_t>(length) - 1] == '\0') {
        --length;
    }
    decoded.resize(static_cast<size_t>(std::max(length, 0)));
    return decoded;
}

struct Value
{
    json entry;
    uint64_t revision;
};

struct Watch
{
    std::weak_ptr<http::Exchange> exchange;
    std::string begin;
    std::string end;
};

class Store
{
public:
    json range(const json &request) const
    {
        json entries = json::array();
        const std::string begin = decode(request.value("key", ""));
        const std::string end = decode(request.value("range_end", ""));
        for (auto it = m_values.lower_bound(begin); it != m_values.end(); ++it) {
            if (end.empty() ? it->first != begin : it->first >= end) {
                break;
            }
            entries.push_back(it->second.entry);
        }
        return {{"header", header()}, {"kvs", entries}};
    }

    json transact(const json &request)
    {
        for (const json &compare : request.value("compare", json::array())) {
            const auto found = m_values.find(decode(compare.value("key", "")));
            const uint64_t revision = found == m_values.end() ? 0 : found->second.revision;
            if (revision != std::stoull(compare.value("modRevision", "0"))) {
                return {{"header", header()}, {"succeeded", false}};
            }
        }
        ++m_revision;
        json events = json::array();
        for (const json &operation : request.value("success", json::array())) {
            events.push_back(apply(operation));
        }
        notify(events);
        return {{"header", header()}, {"succeeded", true}};
    }

    void watch(const std::shared_ptr<http::Exchange> &exchange, const json &request)
    {
        const json create = request.value("create_request", json::object());
        exchange->startStream(200, {{"content-type", "application/json"}});
        const json created = {{"result", {{"header", header()}, {"created", true}}}};
        exchange->write(created.dump() + "\n");
        m_watches.push_back(
                {exchange, decode(create.value("key", "")), decode(create.value("range_end", ""))});
    }

private:
    std::map<std::string, Value> m_values;
    std::list<Watch> m_watches;
    uint64_t m_revision = 1;

    [[nodiscard]] json header() const { return {{"revision", std::to_string(m_revision)}}; }

    json apply(const json &operation)
    {
        if (operation.contains("requestDeleteRange")) {
            const json &request = operation["requestDeleteRange"];
            m_values.erase(decode(request.value("key", "")));
            return {{"type", "DELETE"},
                    {"kv",
                     {{"key", request.value("key", "")},
                      {"mod_revision", std::to_string(m_revision)}}}};
        }
        const json &put = operation["requestPut"];
        const json entry = {{"key", put.value("key", "")},
                            {"value", put.value("value", "")},
                            {"mod_revision", std::to_string(m_revision)}};
        m_values[decode(put.value("key", ""))] = {entry, m_revision};
        return {{"type", "PUT"}, {"kv", entry}};
    }

    void notify(const json &events)
    {
        for (auto it = m_watches.begin(); it != m_watches.end();) {
            const std::shared_ptr<http::Exchange> exchange = it->exchange.lock();
            if (exchange == nullptr) {
                it = m_watches.erase(it);
                continue;
            }
            json matching = json::array();
            for (const json &event : events) {
                const std::string key = decode(event["kv"].value("key", ""));
                if (key >= it->begin && key < it->end) {
                    matching.push_back(event);
                }
            }
            if (!matching.empty()) {
                const json message = {{"result", {{"header", header()}, {"events", matching}}}};
                exchange->write(message.dump() + "\n");
            }
            ++it;
        }
    }
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("stand-in for the platform's key-value service");
    uint16_t port = 2379;
    app.add_option("--port", port);
    CLI11_PARSE(app, argc, argv);

    http::EventLoop loop;
    Store store;
    http::Server server(loop, {.endpoint = {.address = "127.0.0.1", .port = port}},
                        [&store](const std::shared_ptr<http::Exchange> &exchange) {
                            const json request = json::parse(exchange->body(), nullptr, false);
                            const std::string path(exchange->path());
                            if (path == "/v3/kv/range") {
                                exchange->respond({.body = store.range(request).dump()});
                            } else if (path == "/v3/kv/txn") {
                                exchange->respond({.body = store.transact(request).dump()});
                            } else if (path == "/v3/watch") {
                                store.watch(exchange, request);
                            } else {
                                exchange->respond({.status = 404});
                            }
                        });
    const std::error_code error = server.listen();
    if (error) {
        std::cerr << error.message() << "\n";
        return 1;
    }
    std::cout << "listening on " << server.port() << std::endl;
    loop.run();
    return 0;
}
