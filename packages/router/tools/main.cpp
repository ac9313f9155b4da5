/// teaseldriftd: the router, one process a VM.

#include <iostream>

#include <CLI/CLI.hpp>

#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/http/server.hpp"
#include "teaseldrift/platform/etcd_store.hpp"
#include "teaseldrift/router/front.hpp"
#include "teaseldrift/settings/settings.hpp"
#include "teaseldrift/telemetry/log.hpp"

namespace {

using namespace teaseldrift;

schema::Configuration merge(const platform::StoreSnapshot &snapshot)
{
    schema::Configuration configuration;
    for (const platform::StoreEntry &entry : snapshot.entries) {
        schema::Document document;
        if (!document.ParseFromString(entry.value)) {
            continue;
        }
        if (document.has_fleet()) {
            *configuration.mutable_fleet() = document.fleet();
        } else if (document.has_organisation()) {
            *configuration.add_organisations() = document.organisation();
        } else if (document.has_target()) {
            *configuration.add_targets() = document.target();
        }
    }
    return configuration;
}

int run(const schema::RouterSettings &settings)
{
    http::EventLoop loop;
    http::Endpoint storeEndpoint;
    if (!http::parseEndpoint(settings.store_address(), storeEndpoint)) {
        std::cerr << "--store-address: '" << settings.store_address()
                  << "' is not allowed; allowed: IP:port\n";
        return 2;
    }
    platform::EtcdStore store(loop, storeEndpoint);
    router::Front front(loop, settings);
    http::Server server(loop,
                        {.endpoint = {.address = settings.caller_address(),
                                      .port = static_cast<uint16_t>(settings.caller_port())},
                         .maxBodyBytes = settings.max_body_bytes()},
                        [&front](std::shared_ptr<http::Exchange> exchange) {
                            front.handle(std::move(exchange));
                        });
    const std::error_code error = server.listen();
    if (error) {
        std::cerr << "cannot listen: " << error.message() << "\n";
        return 1;
    }
    telemetry::log(telemetry::LogLevel::Info, "listening",
                   {{"port", std::to_string(server.port())}});
    store.readPrefix(settings.store_prefix() + "config/",
                     [&front](std::error_code readError, const platform::StoreSnapshot &snapshot) {
                         telemetry::log(telemetry::LogLevel::Info, "configuration read",
                                        {{"error", readError ? readError.message() : "none"}});
                         front.configure(merge(snapshot));
                     });
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("teaseldriftd: router for language-model traffic");
    schema::RouterSettings settings;
    settings::addOptions(app, settings);
    CLI11_PARSE(app, argc, argv);
    if (settings.print_settings()) {
        std::cout << settings::print(settings);
        return 0;
    }
    if (settings.check()) {
        std::cout << "settings are valid\n";
        return 0;
    }
    telemetry::startLog(settings.log_level());
    return run(settings);
}
