/// The store loses the answer to one write of a machine that starts, and executes the write some
/// seconds later; then tenants ask for more than their usage caps (QUOTA).
///
/// lost_write FOLDER RECORD; exits with 1 if the rule was broken, 0 if not, 2 if it could not run.
/// With TROUBLE=0 in the environment the answer is not lost.

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <map>
#include <mutex>
#include <string_view>

#include "edge.hpp"
#include "record.hpp"
#include "server.hpp"
#include "store.hpp"

namespace {

using namespace review;

constexpr int tenants = 5;
constexpr std::array<std::string_view, 3> zones{"perth", "dundee", "forfar"};

/// Usage cap of each tenant.
constexpr double tokensPerSecond = 50000.0;
constexpr double burstTokens = 50000.0;
constexpr double requestTokens = 10000.0;
/// What a tenant asks of each machine: nearly twice its cap.
constexpr std::chrono::milliseconds requestInterval = 110ms;

/// As in the settings of the processes.
constexpr std::chrono::milliseconds quotaWindow = 8s;
constexpr double quotaOverrun = 0.1;
constexpr double quotaSlack = 140000.0;

/// The disturbance "answers of the store are lost" executes lost writes 1 to 6 s later.
constexpr std::chrono::milliseconds executedAfter = 5500ms;
constexpr std::chrono::milliseconds startTime = 8s;
constexpr std::chrono::milliseconds trafficBegin = 22s;
constexpr std::chrono::milliseconds trafficTime = 14s;

/// A request that a server has run.
struct Run
{
    std::chrono::milliseconds sentAt{0};
    std::chrono::milliseconds arrivedAt{0};
};

class Runs
{
public:
    void add(const std::string &tenant, Run run)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_runs[tenant].push_back(run);
    }

    /// @brief Most tokens of a tenant that were both sent and arrived in one window.
    double mostTokens(const std::string &tenant)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const std::vector<Run> &runs = m_runs[tenant];
        ptrdiff_t most = 0;
        for (const Run &first : runs) {
            most = std::max(most, std::count_if(runs.begin(), runs.end(), [&](const Run &run) {
                                return run.sentAt >= first.sentAt
                                       && run.arrivedAt <= first.sentAt + quotaWindow;
                            }));
        }
        return static_cast<double>(most) * requestTokens;
    }

private:
    std::mutex m_mutex;
    std::map<std::string, std::vector<Run>> m_runs;
};

std::string tenantName(int number)
{
    return "tenant-" + std::to_string(number);
}

std::string keyOf(int number)
{
    return "key-of-tenant-" + std::to_string(number);
}

std::string configuration()
{
    const nlohmann::json route{
            {"name", "r-lookup"},   {"host", "app.example"},   {"prefix", "/lookup/"},
            {"kind", "idempotent"}, {"timeout-ms", 1200},      {"target-latency-ms", 150},
            {"priority", 2},        {"service", "round-book"}, {"max-attempts", 2}};
    const nlohmann::json service{
            {"name", "round-book"}, {"health-path", "/health"}, {"max-conns", 96}};
    const nlohmann::json limits{{"max-header-bytes", 16384},
                                {"max-body-bytes", 4194304},
                                {"header-timeout-ms", 3000},
                                {"idle-timeout-ms", 15000}};
    nlohmann::json list = nlohmann::json::array();
    for (int number = 0; number < tenants; ++number) {
        list.push_back({{"name", tenantName(number)},
                        {"api-keys", nlohmann::json::array({keyOf(number)})},
                        {"unit", "tokens"},
                        {"plain-tokens", 200},
                        {"rate-per-s", tokensPerSecond},
                        {"burst", burstTokens}});
    }
    return nlohmann::json{{"version", 1},
                          {"routes", nlohmann::json::array({route})},
                          {"services", nlohmann::json::array({service})},
                          {"limits", limits},
                          {"tenants", list}}
            .dump();
}

/// A sound server that answers at once.
bool answer(int connection, const Message &request, Runs &runs, Record &record)
{
    const std::string id = request.header("request-id");
    const std::string tenant = request.header("tenant");
    const std::chrono::milliseconds sentAt(std::stoll(request.header("sent-at")));
    runs.add(tenant, {.sentAt = sentAt, .arrivedAt = record.elapsed()});
    record.write("server runs " + id + " of " + tenant);
    return sendAll(connection, "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Seal: seal-"
                                       + id + "\r\nContent-Length: 2\r\n\r\nok");
}

struct Counts
{
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::atomic<int> overCap = 0;
    std::atomic<int> other = 0;
};

/// Sends the requests of one tenant to one machine, one each interval.
void ask(int tenant, const Edge &edge, Record &record, Counts &counts)
{
    const Clock::time_point end = Clock::now() + trafficTime;
    Descriptor connection = connectTo(edge.front());
    std::optional<MessageReader> reader(connection.get());
    for (Clock::time_point next = Clock::now(); next < end; next += requestInterval) {
        std::this_thread::sleep_until(next);
        const std::string id = "r" + std::to_string(++counts.sent);
        record.write(tenantName(tenant) + " sends " + id + " to " + edge.name());
        sendAll(connection.get(), "GET /lookup/7 HTTP/1.1\r\nHost: app.example\r\nRequest-Id: " + id
                                          + "\r\nDeadline-Ms: 2500\r\nApi-Key: " + keyOf(tenant)
                                          + "\r\nToken-Count: 9500,500\r\nSent-At: "
                                          + std::to_string(record.elapsed().count()) + "\r\n\r\n");
        const std::optional<Message> response = reader->next();
        constexpr int ok = 200;
        constexpr int tooMany = 429;
        const int status = response ? response->status() : 0;
        record.write(id + " is answered " + std::to_string(status));
        ++(status == ok ? counts.served : status == tooMany ? counts.overCap : counts.other);
        if (!response || response->header("connection") == "close") {
            connection = connectTo(edge.front());
            reader.emplace(connection.get());
        }
    }
}

int judge(Runs &runs, Record &record)
{
    const double window = std::chrono::duration<double>(quotaWindow).count();
    const double allowed
            = (tokensPerSecond * window + burstTokens) * (1.0 + quotaOverrun) + quotaSlack;
    int broken = 0;
    for (int number = 0; number < tenants; ++number) {
        const double most = runs.mostTokens(tenantName(number));
        record.write(tenantName(number) + " ran at most " + std::to_string(most)
                     + " tokens in a window; allowed are " + std::to_string(allowed));
        broken += most > allowed ? 1 : 0;
    }
    return broken > 0 ? 1 : 0;
}

int run(const std::string &folder, Record &record)
{
    const char *trouble = std::getenv("TROUBLE");
    const bool isDisturbed = trouble == nullptr || std::string_view(trouble) != "0";
    Runs runs;
    Store store;
    store.put("op/config", configuration());
    const Server server(store, "round-book", "i-1", "perth",
                        [&](int connection, const Message &message) {
                            return answer(connection, message, runs, record);
                        });
    std::vector<std::unique_ptr<Edge>> edges;
    for (const std::string_view zone : zones) {
        const bool isVictim = isDisturbed && edges.empty();
        const uint16_t port
                = isVictim ? store.addPort(LostAnswer{
                          .executedAfter = executedAfter,
                          .onEvent = [&record](const std::string &text) { record.write(text); }})
                           : store.addPort();
        edges.push_back(std::make_unique<Edge>("edge-" + std::string(zone) + "-1",
                                               std::string(zone), port, folder));
        if (!edges.back()->start()) {
            return 2;
        }
    }
    for (const std::unique_ptr<Edge> &edge : edges) {
        if (!edge->waitUntilReady(startTime)) {
            record.write(edge->name() + " did not become ready");
            return 2;
        }
    }
    std::this_thread::sleep_for(trafficBegin - record.elapsed());
    record.write("the tenants begin to ask");
    Counts counts;
    std::vector<std::thread> threads;
    for (const std::unique_ptr<Edge> &edge : edges) {
        for (int number = 0; number < tenants; ++number) {
            threads.emplace_back([&, number] { ask(number, *edge, record, counts); });
        }
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    record.write(std::to_string(counts.sent) + " requests sent, " + std::to_string(counts.served)
                 + " answered 200, " + std::to_string(counts.overCap) + " answered 429, "
                 + std::to_string(counts.other) + " otherwise");
    return judge(runs, record);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "lost_write FOLDER RECORD\n";
        return 2;
    }
    Record record(argv[2]);
    return run(argv[1], record);
}
