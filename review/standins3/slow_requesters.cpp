/// Requesters on kept channels read the answers slowly while their machine gets SIGTERM (LOST).
///
/// slow_requesters FOLDER RECORD; exits with 1 if the rule was broken, 0 if not, 2 if it could not
/// run. With TROUBLE=0 in the environment the requesters read at once.

#include <atomic>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <string_view>

#include "edge.hpp"
#include "record.hpp"
#include "server.hpp"
#include "store.hpp"

namespace {

using namespace review;

constexpr int requesters = 8;
/// The rule allows three closed channels at any time.
constexpr int allowedLosses = 3;

/// The time budget of the sheet's longest streams is 12 s; requesters give one up after a gap of 10
/// s, four times their objective of 2.5 s.
constexpr int events = 60;
constexpr size_t eventBytes = 300;
constexpr std::chrono::milliseconds eventInterval = 10ms;

/// Small windows, as on the platform's links.
constexpr int receiveBuffer = 2048;
constexpr std::chrono::milliseconds pauseTime = 3000ms;
constexpr std::chrono::milliseconds termDelay = 200ms;
constexpr std::chrono::milliseconds startTime = 8s;

std::string configuration()
{
    const nlohmann::json route{{"name", "r-sheet"},        {"host", "app.example"},
                               {"prefix", "/sheet/"},      {"kind", "streaming"},
                               {"timeout-ms", 12000},      {"target-latency-ms", 2500},
                               {"target-gap-ms", 800},     {"priority", 1},
                               {"service", "model-harti"}, {"max-attempts", 1}};
    const nlohmann::json service{
            {"name", "model-harti"}, {"health-path", "/health"}, {"max-conns", 710}};
    const nlohmann::json limits{{"max-header-bytes", 16384},
                                {"max-body-bytes", 4194304},
                                {"header-timeout-ms", 3000},
                                {"idle-timeout-ms", 15000}};
    return nlohmann::json{{"version", 1},
                          {"routes", nlohmann::json::array({route})},
                          {"services", nlohmann::json::array({service})},
                          {"limits", limits}}
            .dump();
}

std::string chunk(const std::string &bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

std::string bodyOf(int eventCount)
{
    std::string body;
    for (int number = 1; number <= eventCount; ++number) {
        body += "id: " + std::to_string(number) + "\ndata: " + std::string(eventBytes, 'x')
                + "\n\n";
    }
    return body;
}

/// A sound server: sends all events, one after the other, and ends the answer.
bool answer(int connection, const Message &request, Record &record)
{
    const std::string id = request.header("request-id");
    record.write("server runs " + id);
    const bool isShort = id.starts_with("short");
    bool isSent = sendAll(connection,
                          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: " + id
                                  + "\r\nServer-Seal: seal-" + id
                                  + "\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int number = 1; isSent && number <= (isShort ? 1 : events); ++number) {
        isSent = sendAll(connection, chunk("id: " + std::to_string(number)
                                           + "\ndata: " + std::string(eventBytes, 'x') + "\n\n"));
        std::this_thread::sleep_for(eventInterval);
    }
    isSent = isSent && sendAll(connection, chunk(""));
    record.write("server " + std::string(isSent ? "has sent the whole answer to " : "was cut at ")
                 + id);
    return isSent;
}

std::string request(const std::string &id)
{
    return "POST /sheet/7 HTTP/1.1\r\nHost: app.example\r\nRequest-Id: " + id
           + "\r\nDeadline-Ms: 12000\r\nContent-Length: 2\r\n\r\n{}";
}

/// @return whether the second request of a kept channel got its whole answer
bool play(int number, uint16_t port, std::chrono::milliseconds pause, Record &record)
{
    const Descriptor connection = connectTo(port, receiveBuffer);
    MessageReader reader(connection.get());
    const std::string first = "short-" + std::to_string(number);
    sendAll(connection.get(), request(first));
    const std::optional<Message> before = reader.next();
    record.write("requester gets " + (before ? before->startLine : "no answer") + " to " + first);
    const std::string id = "long-" + std::to_string(number);
    sendAll(connection.get(), request(id));
    std::this_thread::sleep_for(pause);
    const std::optional<Message> response = reader.next();
    const bool isWhole = response && response->body == bodyOf(events);
    record.write("requester gets "
                 + std::string(isWhole    ? "the whole answer"
                               : response ? "another answer: " + response->startLine
                                          : "no whole answer, its channel is closed")
                 + " to " + id);
    return isWhole;
}

int run(const std::string &folder, Record &record)
{
    const char *trouble = std::getenv("TROUBLE");
    const bool isDisturbed = trouble == nullptr || std::string_view(trouble) != "0";
    Store store;
    store.put("op/config", configuration());
    const Server server(store, "model-harti", "i-1", "zona-unu",
                        [&record](int connection, const Message &message) {
                            return answer(connection, message, record);
                        });
    Edge edge("edge-unu-1", "zona-unu", store.port(), folder);
    Edge other("edge-doi-1", "zona-doi", store.port(), folder);
    if (!edge.start() || !other.start() || !edge.waitUntilReady(startTime)
        || !other.waitUntilReady(startTime)) {
        record.write("the processes did not become ready");
        return 2;
    }
    // Both machines have been in touch for contact-ms.
    std::this_thread::sleep_for(4500ms);
    std::atomic<int> lost = 0;
    std::vector<std::thread> threads;
    for (int number = 0; number < requesters; ++number) {
        threads.emplace_back([&, number] {
            lost += play(number, edge.front(), isDisturbed ? pauseTime : 0ms, record) ? 0 : 1;
        });
    }
    std::this_thread::sleep_for(termDelay);
    record.write("SIGTERM to " + edge.name());
    edge.signal(SIGTERM);
    for (std::thread &thread : threads) {
        thread.join();
    }
    record.write(std::to_string(lost) + " of " + std::to_string(requesters)
                 + " requests have no whole answer");
    return lost > allowedLosses ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "slow_requesters FOLDER RECORD\n";
        return 2;
    }
    Record record(argv[2]);
    return run(argv[1], record);
}
