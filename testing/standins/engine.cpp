/// Stand-in for a model engine: OpenAI-compatible HTTP with server-sent events.

#include <iostream>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/http/server.hpp"

namespace {

using nlohmann::json;
using namespace teaseldrift;

struct EngineOptions
{
    uint16_t port = 9000;
    uint32_t tokenMs = 5;
};

/// One answer under way.
struct Generation
{
    std::shared_ptr<http::Exchange> exchange;
    uint32_t position = 0;
    uint32_t length = 0;
    std::string model;
};

std::string event(const Generation &generation)
{
    const json chunk = {
            {"object", "text_completion"},
            {"model", generation.model},
            {"choices",
             json::array(
                     {{{"index", 0},
                       {"text", "t" + std::to_string(generation.position) + " "},
                       {"delta", {{"content", "t" + std::to_string(generation.position) + " "}}},
                       {"finish_reason", nullptr}}})},
    };
    return "id: " + std::to_string(generation.position) + "\ndata: " + chunk.dump() + "\n\n";
}

void step(http::EventLoop &loop, const EngineOptions &options,
          const std::shared_ptr<Generation> &generation)
{
    if (generation->position == generation->length) {
        generation->exchange->write("data: [DONE]\n\n");
        generation->exchange->finish();
        return;
    }
    generation->exchange->write(event(*generation));
    ++generation->position;
    loop.startTimer(std::chrono::milliseconds(options.tokenMs),
                    [&loop, &options, generation] { step(loop, options, generation); });
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("stand-in for a model engine");
    EngineOptions options;
    app.add_option("--port", options.port);
    app.add_option("--token-ms", options.tokenMs);
    CLI11_PARSE(app, argc, argv);

    http::EventLoop loop;
    http::Server server(loop, {.endpoint = {.address = "127.0.0.1", .port = options.port}},
                        [&loop, &options](const std::shared_ptr<http::Exchange> &exchange) {
                            const json request = json::parse(exchange->body(), nullptr, false);
                            if (!request.is_object()) {
                                exchange->respond({.status = 400});
                                return;
                            }
                            std::shared_ptr<Generation> generation = std::make_shared<Generation>();
                            generation->exchange = exchange;
                            generation->length = request.value("max_tokens", 16U);
                            generation->model = request.value("model", "");
                            exchange->startStream(200, {{"content-type", "text/event-stream"}});
                            step(loop, options, generation);
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
