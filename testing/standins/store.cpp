/// Stand-in for the platform's key-value service: the etcd v3 JSON gateway, in memory.
///
/// POST /fault {"mode": "none|down|slow|lose_answers", "ms": N} sets a fault; GET /calls returns
/// the number of calls by path.

#include <iostream>

#include <CLI/CLI.hpp>

#include "standins/store_gateway.hpp"

using namespace teaseldrift;

int main(int argc, char **argv)
{
    CLI::App app("stand-in for the platform's key-value service");
    uint16_t port = 2379;
    app.add_option("--port", port);
    CLI11_PARSE(app, argc, argv);

    http::EventLoop loop;
    standins::StoreGateway gateway(loop);
    http::Server server(loop, {.endpoint = {.address = "127.0.0.1", .port = port}},
                        [&gateway](const std::shared_ptr<http::Exchange> &exchange) {
                            gateway.handle(exchange);
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
