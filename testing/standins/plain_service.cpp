/// Stand-in for a plain service. It accepts any method on any path and records each run by the
/// caller's x-call-id or Idempotency-Key.

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/http/server.hpp"

namespace {

using nlohmann::json;
using namespace teaseldrift;

struct ServiceOptions
{
    uint16_t port = 9100;
    uint32_t latencyMs = 0;
    /// File to which one line per run is appended, so that runs can be counted after a crash.
    std::string recordFile;
};

/// Fault injected into the next calls.
enum class Fault {
    None,
    /// Runs the call and exits before the response.
    Crash,
    /// Runs the call and closes the connection before the response.
    DropResponse,
    /// Runs the call and never responds.
    NoResponse,
    /// Runs the call after a delay.
    Slow,
    /// Runs the call and sends a response that does not end.
    Endless,
    /// Responds with 503 without running the call.
    Reject,
};

Fault parseFault(std::string_view mode)
{
    if (mode == "die") {
        return Fault::Crash;
    }
    if (mode == "drop_answer") {
        return Fault::DropResponse;
    }
    if (mode == "silent") {
        return Fault::NoResponse;
    }
    if (mode == "endless") {
        return Fault::Endless;
    }
    if (mode == "slow") {
        return Fault::Slow;
    }
    return mode == "refuse" ? Fault::Reject : Fault::None;
}

http::Response jsonResponse(int status, const json &body)
{
    return {.status = status,
            .headers = {{"content-type", "application/json"}},
            .body = body.dump()};
}

class Service
{
public:
    Service(http::EventLoop &loop, const ServiceOptions &options) : m_loop(loop), m_options(options)
    {
        if (!options.recordFile.empty()) {
            m_recordFile.open(options.recordFile, std::ios::app);
        }
    }

    void handle(const std::shared_ptr<http::Exchange> &exchange)
    {
        if (exchange->path() == "/runs") {
            exchange->respond(runs());
        } else if (exchange->path() == "/fault") {
            setFault(exchange);
        } else {
            call(exchange);
        }
    }

private:
    http::EventLoop &m_loop;
    ServiceOptions m_options;
    std::ofstream m_recordFile;
    std::map<std::string, uint64_t> m_runs;
    std::vector<std::shared_ptr<http::Exchange>> m_withoutResponse;
    uint64_t m_keysSeen = 0;
    uint64_t m_rejected = 0;
    Fault m_fault = Fault::None;
    uint64_t m_faultyCallsLeft = 0;
    std::chrono::milliseconds m_slowDelay{};

    Fault consumeFault()
    {
        if (m_faultyCallsLeft == 0) {
            return Fault::None;
        }
        --m_faultyCallsLeft;
        return m_fault;
    }

    void setFault(const std::shared_ptr<http::Exchange> &exchange)
    {
        constexpr int64_t defaultSlowDelayMs = 1000;
        const json order = json::parse(exchange->body(), nullptr, false);
        if (!order.is_object()) {
            exchange->respond({.status = 400});
            return;
        }
        m_fault = parseFault(order.value("mode", "none"));
        m_faultyCallsLeft = order.value("calls", UINT64_MAX);
        m_slowDelay = std::chrono::milliseconds(order.value("ms", defaultSlowDelayMs));
        exchange->respond(jsonResponse(200, order));
    }

    void call(const std::shared_ptr<http::Exchange> &exchange)
    {
        const Fault fault = consumeFault();
        if (fault == Fault::Reject) {
            ++m_rejected;
            exchange->respond(jsonResponse(503, {{"error", "refused, not run"}}));
            return;
        }
        const std::chrono::milliseconds latency(m_options.latencyMs);
        const Duration delay = fault == Fault::Slow ? m_slowDelay : latency;
        if (delay == Duration::zero()) {
            run(exchange, fault);
            return;
        }
        m_loop.startTimer(delay, [this, exchange, fault] { run(exchange, fault); });
    }

    void run(const std::shared_ptr<http::Exchange> &exchange, Fault fault)
    {
        std::string id(http::findHeader(exchange->headers(), "x-call-id"));
        if (id.empty()) {
            id = http::findHeader(exchange->headers(), "idempotency-key");
        }
        if (!http::findHeader(exchange->headers(), "authorization").empty()) {
            ++m_keysSeen;
        }
        const uint64_t count = ++m_runs[id];
        if (m_recordFile.is_open()) {
            m_recordFile << id << std::endl;
        }
        if (fault == Fault::Crash) {
            std::_Exit(1);
        }
        if (fault == Fault::DropResponse) {
            exchange->abort();
        } else if (fault == Fault::NoResponse) {
            m_withoutResponse.push_back(exchange);
        } else if (fault == Fault::Endless) {
            respondWithoutEnd(exchange);
        } else {
            exchange->respond(jsonResponse(200, {{"call_id", id},
                                                 {"run", count},
                                                 {"method", exchange->method()},
                                                 {"path", exchange->path()},
                                                 {"body_bytes", exchange->body().size()}}));
        }
    }

    static void respondWithoutEnd(const std::shared_ptr<http::Exchange> &exchange)
    {
        constexpr size_t partBytes = 256U << 10U;
        exchange->startStream(200, {});
        const std::weak_ptr<http::Exchange> weak = exchange;
        exchange->onDrained([weak] {
            if (const std::shared_ptr<http::Exchange> open = weak.lock()) {
                open->write(std::string(partBytes, 'x'));
            }
        });
        exchange->write(std::string(partBytes, 'x'));
    }

    [[nodiscard]] http::Response runs() const
    {
        uint64_t total = 0;
        uint64_t repeated = 0;
        for (auto it = m_runs.begin(); it != m_runs.end(); ++it) {
            total += it->second;
            repeated += it->second > 1 ? 1 : 0;
        }
        return jsonResponse(200, {{"calls", m_runs.size()},
                                  {"runs", total},
                                  {"repeated", repeated},
                                  {"refused", m_rejected},
                                  {"keys_seen", m_keysSeen},
                                  {"by_call", m_runs}});
    }
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("stand-in for a plain service");
    ServiceOptions options;
    app.add_option("--port", options.port, "port to listen on; 0 for any free port");
    app.add_option("--latency-ms", options.latencyMs);
    app.add_option("--record-file", options.recordFile,
                   "file to which one line per run is appended");
    CLI11_PARSE(app, argc, argv);

    http::EventLoop loop;
    Service service(loop, options);
    http::Server server(loop, {.endpoint = {.address = "127.0.0.1", .port = options.port}},
                        [&service](const std::shared_ptr<http::Exchange> &exchange) {
                            service.handle(exchange);
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
