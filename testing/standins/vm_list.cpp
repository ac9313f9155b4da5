/// Stand-in for the platform's list of VMs: GET /vms answers what PUT /vms set some time ago.

#include <iostream>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/http/server.hpp"

namespace {

using nlohmann::json;
using namespace teaseldrift;

class VmList
{
public:
    VmList(http::EventLoop &loop, Duration lag) : m_loop(loop), m_lag(lag) { }

    void handle(const std::shared_ptr<http::Exchange> &exchange)
    {
        if (exchange->path() == "/lag" && exchange->method() == "PUT") {
            const json request = json::parse(exchange->body(), nullptr, false);
            m_lag = std::chrono::milliseconds(request.value("ms", 0));
            exchange->respond({.body = "{}"});
        } else if (exchange->path() != "/vms") {
            exchange->respond({.status = 404});
        } else if (exchange->method() == "PUT") {
            m_loop.startTimer(m_lag, [this, list = std::string(exchange->body())] {
                m_list = list;
                ++m_version;
            });
            exchange->respond({.body = "{}"});
        } else {
            answer(exchange);
        }
    }

private:
    http::EventLoop &m_loop;
    Duration m_lag;
    std::string m_list = "[]";
    uint64_t m_version = 1;

    void answer(const std::shared_ptr<http::Exchange> &exchange) const
    {
        const std::string etag = "\"" + std::to_string(m_version) + "\"";
        if (http::findHeader(exchange->headers(), "if-none-match") == etag) {
            exchange->respond({.status = 304, .headers = {{"etag", etag}}});
            return;
        }
        exchange->respond({.headers = {{"content-type", "application/json"}, {"etag", etag}},
                           .body = m_list});
    }
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("stand-in for the platform's list of VMs");
    uint16_t port = 2380;
    int64_t lagMs = 0;
    app.add_option("--port", port);
    app.add_option("--lag-ms", lagMs, "time until a change shows");
    CLI11_PARSE(app, argc, argv);

    http::EventLoop loop;
    VmList list(loop, std::chrono::milliseconds(lagMs));
    http::Server server(
            loop, {.endpoint = {.address = "127.0.0.1", .port = port}},
            [&list](const std::shared_ptr<http::Exchange> &exchange) { list.handle(exchange); });
    const std::error_code error = server.listen();
    if (error) {
        std::cerr << error.message() << "\n";
        return 1;
    }
    std::cout << "listening on " << server.port() << std::endl;
    loop.run();
    return 0;
}
