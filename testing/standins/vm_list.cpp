/// Stand-in for the platform's list of VMs: GET /vms returns what PUT /vms has set, after a lag.

#include <iostream>

#include <CLI/CLI.hpp>

#include "standins/vm_list_service.hpp"

using namespace teaseldrift;

int main(int argc, char **argv)
{
    CLI::App app("stand-in for the platform's list of VMs");
    uint16_t port = 2380;
    int64_t lagMs = 0;
    app.add_option("--port", port);
    app.add_option("--lag-ms", lagMs, "time until a change shows");
    CLI11_PARSE(app, argc, argv);

    http::EventLoop loop;
    standins::VmListService list(loop, std::chrono::milliseconds(lagMs));
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
