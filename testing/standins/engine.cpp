/// Stand-in for a model engine: OpenAI-compatible HTTP with server-sent events.

#include <iostream>

#include <CLI/CLI.hpp>

#include "standins/engine/engine.hpp"

namespace {

using namespace teaseldrift;

void addOptions(CLI::App &app, standins::EngineOptions &options)
{
    app.add_option("--port", options.port, "port to listen on; 0 for any free port");
    app.add_option("--token-ms", options.tokenMs, "time between tokens");
    app.add_option("--prefill-us-per-token", options.prefillUsPerToken);
    app.add_option("--slots", options.slots);
    app.add_option("--max-queued", options.maxQueued);
    app.add_option("--cache-blocks", options.cacheBlocks);
    app.add_option("--block-tokens", options.blockTokens)->check(CLI::PositiveNumber);
    app.add_option("--resume-ms", options.resumeMs,
                   "time for which a response can be resumed after its connection closed");
    app.add_option("--crash-text", options.crashText,
                   "exit when a prompt with this text is about to be answered");
    app.add_option("--load-lag-ms", options.loadLagMs, "age of the load report");
    app.add_option("--events-port", options.eventsPort, "port of the cache events; 0 for none");
    app.add_option("--events-delay-ms", options.eventsDelayMs);
    app.add_option("--events-loss", options.eventsLoss, "fraction of event batches lost");
    app.add_option("--models", options.models,
                   "models as NAME or NAME@VERSION; without, any model name is served")
            ->delimiter(',');
    app.add_flag("--checks-fencing", options.checksFencing);
    app.add_option("--load-ms", options.loadMs, "time to load weights");
    app.add_option("--fast-loads", options.fastLoads,
                   "weight loads beyond this many concurrent ones take twice as long");
    app.add_option("--incarnation", options.incarnation, "0 for a random one");
    app.add_option("--seed", options.seed);
}

} // namespace

int main(int argc, char **argv)
{
    constexpr size_t maxBodyBytes = 64U << 20U;
    CLI::App app("stand-in for a model engine");
    standins::EngineOptions options;
    addOptions(app, options);
    CLI11_PARSE(app, argc, argv);

    http::EventLoop loop;
    standins::Engine engine(loop, options);
    http::Server server(loop,
                        {.endpoint = {.address = "127.0.0.1", .port = options.port},
                         .maxBodyBytes = maxBodyBytes},
                        [&engine](const std::shared_ptr<http::Exchange> &exchange) {
                            engine.handle(exchange);
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
