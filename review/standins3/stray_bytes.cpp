/// A faulty server sends additional bytes after a complete response, late: they arrive when the
/// channel is in use again (MIXED).
///
/// stray_bytes FOLDER RECORD; exits with 1 if the rule was broken, 0 if not, 2 if it could not run.
/// With TROUBLE=0 in the environment the server sends its responses only.

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <string_view>

#include "edge.hpp"
#include "record.hpp"
#include "server.hpp"
#include "store.hpp"

namespace {

using namespace review;

constexpr int requests = 200;
/// The site file lets servers spoil three in a hundred of their answers.
constexpr int answersPerFault = 34;
constexpr std::chrono::milliseconds startTime = 8s;

std::string configuration()
{
    const nlohmann::json route{
            {"name", "r-lookup"},   {"host", "app.example"},      {"prefix", "/lookup/"},
            {"kind", "idempotent"}, {"timeout-ms", 1200},         {"target-latency-ms", 150},
            {"priority", 2},        {"service", "portal-arhiva"}, {"max-attempts", 2}};
    const nlohmann::json service{
            {"name", "portal-arhiva"}, {"health-path", "/health"}, {"max-conns", 450}};
    const nlohmann::json limits{{"max-header-bytes", 16384},
                                {"max-body-bytes", 4194304},
                                {"header-timeout-ms", 3000},
                                {"idle-timeout-ms", 15000}};
    nlohmann::json tenants = nlohmann::json::array();
    for (const std::string name : {"shop-a", "shop-b"}) {
        tenants.push_back({{"name", name}, {"api-keys", nlohmann::json::array({"key-" + name})}});
    }
    return nlohmann::json{{"version", 1},
                          {"routes", nlohmann::json::array({route})},
                          {"services", nlohmann::json::array({service})},
                          {"limits", limits},
                          {"tenants", tenants}}
            .dump();
}

std::string bodyFor(const std::string &id, const std::string &tenant)
{
    return "round book of " + tenant + " for " + id;
}

/// Responds to the requests of a channel.
class Responder
{
public:
    Responder(bool isFaulty, Record &record) : m_isFaulty(isFaulty), m_record(record) { }

    bool answer(int connection, const Message &request)
    {
        const std::string id = request.header("request-id");
        const std::string tenant = request.header("tenant");
        m_record.write("server runs " + id + " of " + tenant);
        const std::string body = bodyFor(id, tenant);
        const std::string rest = "Server-Seal: seal-" + id + "\r\nContent-Length: "
                                 + std::to_string(body.size()) + "\r\n\r\n" + body;
        const std::string additional = additionalBytes(connection, "HTTP/1.1 200 OK\r\n" + rest);
        if (!additional.empty()) {
            m_record.write("server sends additional bytes after its last response");
            sendAll(connection, additional);
        }
        return sendAll(connection, "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n" + rest);
    }

private:
    /// What is sent after the last response on a channel: its bytes once more, without the header
    /// that names its request.
    /// @param next the same for the next request
    std::string additionalBytes(int connection, std::string next)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::string last = std::exchange(m_lastResponse[connection], std::move(next));
        const bool isDue = m_isFaulty && ++m_answers % answersPerFault == 0;
        return isDue ? last : std::string();
    }

    bool m_isFaulty;
    Record &m_record;
    std::mutex m_mutex;
    std::map<int, std::string> m_lastResponse;
    int m_answers = 0;
};

/// @return whether the requester gets the answer to its own request, or a failure
bool ask(const Edge &edge, const std::string &tenant, int number, Record &record)
{
    const std::string id = "r" + std::to_string(number);
    const Descriptor connection = connectTo(edge.front());
    sendAll(connection.get(), "GET /lookup/7 HTTP/1.1\r\nHost: app.example\r\nRequest-Id: " + id
                                      + "\r\nDeadline-Ms: 2500\r\nApi-Key: key-" + tenant
                                      + "\r\n\r\n");
    MessageReader reader(connection.get());
    const std::optional<Message> response = reader.next();
    constexpr int ok = 200;
    const bool isSuccess = response && response->status() == ok;
    record.write(tenant + " gets to " + id + ": "
                 + (response ? response->startLine + ", seal " + response->header("server-seal")
                                       + ", body \"" + response->body + "\""
                             : "no answer"));
    return !isSuccess || response->body == bodyFor(id, tenant);
}

int run(const std::string &folder, Record &record)
{
    const char *trouble = std::getenv("TROUBLE");
    const bool isDisturbed = trouble == nullptr || std::string_view(trouble) != "0";
    Store store;
    store.put("op/config", configuration());
    Responder responder(isDisturbed, record);
    const Server server(store, "portal-arhiva", "i-1", "zona-unu",
                        [&responder](int connection, const Message &request) {
                            return responder.answer(connection, request);
                        });
    Edge edge("edge-unu-1", "zona-unu", store.port(), folder);
    if (!edge.start() || !edge.waitUntilReady(startTime)) {
        record.write("the process did not become ready");
        return 2;
    }
    int mixed = 0;
    for (int number = 1; number <= requests; ++number) {
        mixed += ask(edge, number / 2 % 2 == 0 ? "shop-a" : "shop-b", number, record) ? 0 : 1;
        std::this_thread::sleep_for(20ms);
    }
    record.write(std::to_string(mixed) + " of " + std::to_string(requests)
                 + " requests got the answer of another request");
    return mixed > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "stray_bytes FOLDER RECORD\n";
        return 2;
    }
    Record record(argv[2]);
    return run(argv[1], record);
}
