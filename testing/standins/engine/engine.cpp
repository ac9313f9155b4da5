#include "standins/engine/engine.hpp"

#include <charconv>
#include <cstdlib>
#include <random>

#include <nlohmann/json.hpp>

namespace teaseldrift::standins {

namespace {

using nlohmann::json;

constexpr Duration disconnectCheckInterval = 100ms;

EngineOptions withIncarnation(EngineOptions options)
{
    if (options.incarnation == 0) {
        options.incarnation = std::random_device()();
    }
    return options;
}

http::Response jsonResponse(int status, const json &body)
{
    return {.status = status,
            .headers = {{"content-type", "application/json"}},
            .body = body.dump()};
}

http::Response errorResponse(int status, std::string_view type)
{
    return jsonResponse(status, {{"error", {{"type", type}, {"message", type}}}});
}

} // namespace

Engine::Engine(http::EventLoop &loop, EngineOptions options)
    : m_loop(loop), m_options(withIncarnation(std::move(options))),
      m_batch(
              loop, m_options, [this](Generation &generation) { return start(generation); },
              [this](const GenerationPtr &generation) { onToken(generation); }),
      m_cache(m_options.cacheBlocks), m_events(loop, m_options),
      m_models(loop, m_options,
               [this] {
                   m_cache.clear();
                   m_events.publishCleared();
               }),
      m_load(std::chrono::milliseconds(m_options.loadLagMs))
{
    checkDisconnects();
}

void Engine::handle(const std::shared_ptr<http::Exchange> &exchange)
{
    const std::string_view path = exchange->path();
    if (path == "/fault") {
        handleFault(exchange);
    } else if (m_unresponsive) {
        m_deferred.push_back(exchange);
    } else if (path == "/v1/chat/completions") {
        complete(exchange, true);
    } else if (path == "/v1/completions") {
        complete(exchange, false);
    } else if (path == "/v1/models") {
        exchange->respond(m_models.list());
    } else if (path == "/orders") {
        m_models.handleOrder(exchange);
    } else if (path == "/load") {
        exchange->respond(loadResponse());
    } else if (path == "/runs") {
        exchange->respond(
                {.headers = {{"content-type", "application/json"}}, .body = m_records.toJson()});
    } else if (path == "/health") {
        exchange->respond({.body = "ok"});
    } else {
        exchange->respond(errorResponse(404, "unknown_path"));
    }
}

void Engine::complete(const std::shared_ptr<http::Exchange> &exchange, bool chat)
{
    CompletionRequest request;
    if (!parseCompletion(exchange->body(), chat, request)) {
        exchange->respond(errorResponse(400, "invalid_request"));
        return;
    }
    if (!m_models.serves(request.model)) {
        exchange->respond(errorResponse(404, "unknown_model"));
        return;
    }
    if (m_batch.queued() >= m_options.maxQueued) {
        exchange->respond(errorResponse(503, "queue_full"));
        return;
    }
    const GenerationPtr generation = std::make_shared<Generation>(exchange, std::move(request));
    if (!http::findHeader(exchange->headers(), "authorization").empty()) {
        m_records.countKeySeen();
    }
    generation->requestId = http::findHeader(exchange->headers(), "x-request-id");
    const std::string lastEventId(http::findHeader(exchange->headers(), "last-event-id"));
    if (!lastEventId.empty() && !resume(*generation, lastEventId)) {
        exchange->respond(errorResponse(409, "cannot_resume"));
        return;
    }
    if (lastEventId.empty() && !generation->requestId.empty()) {
        ++m_records.findOrCreate(generation->requestId).runs;
    }
    const std::string salt = generation->request.cacheSalt + "/" + generation->request.model + "/"
                             + m_models.version(generation->request.model);
    generation->chain = blockChain(generation->request.prompt, salt, m_options.blockTokens);
    generation->promptTokens = countTokens(generation->request.prompt);
    if (generation->request.stream) {
        exchange->startStream(200, {{"content-type", "text/event-stream"}});
    }
    exchange->onDisconnected([this, weak = std::weak_ptr<Generation>(generation)] {
        const GenerationPtr disconnected = weak.lock();
        if (disconnected != nullptr && disconnected->state != Generation::State::Ended) {
            cancel(disconnected);
        }
    });
    if (generation->isComplete()) {
        // All tokens were delivered before the connection closed; only the final events were lost.
        finish(generation);
        return;
    }
    m_batch.add(generation);
    recordLoad();
}

bool Engine::resume(Generation &generation, const std::string &lastEventId)
{
    RunRecord &record = m_records.findOrCreate(generation.requestId);
    uint32_t last = 0;
    const std::from_chars_result parsed
            = std::from_chars(lastEventId.data(), lastEventId.data() + lastEventId.size(), last);
    const bool known = m_loop.now() < record.resumableUntil;
    if (generation.requestId.empty() || parsed.ec != std::errc() || !known
        || last >= record.generated) {
        return false;
    }
    ++record.resumes;
    while (generation.position <= last) {
        generation.advance();
    }
    generation.unsent.clear();
    return true;
}

Duration Engine::start(Generation &generation)
{
    const CacheChange change = m_cache.use(generation.chain);
    const size_t blockSize = m_options.blockTokens * charactersPerToken;
    const std::span<const uint64_t> chain = generation.chain;
    const std::string_view prompt = generation.request.prompt;
    m_events.publish(
            {
                    .hashes = chain.subspan(change.hits),
                    .parent = change.hits == 0 ? 0 : chain[change.hits - 1],
                    .text = prompt.substr(change.hits * blockSize,
                                          (chain.size() - change.hits) * blockSize),
            },
            change.removed);
    generation.cachedTokens = static_cast<uint32_t>(change.hits * m_options.blockTokens);
    if (generation.position > 0) {
        return Duration::zero();
    }
    const uint32_t uncached = generation.promptTokens - generation.cachedTokens;
    return Duration(static_cast<int64_t>(uncached * m_options.prefillUsPerToken));
}

void Engine::onToken(const GenerationPtr &generation)
{
    if (!m_options.crashText.empty()
        && generation->request.prompt.find(m_options.crashText) != std::string::npos) {
        std::_Exit(1);
    }
    if (generation->request.stream) {
        generation->exchange->write(generation->unsent);
        generation->unsent.clear();
    }
    if (m_abortsLeft > 0 && generation->position >= m_abortPosition) {
        --m_abortsLeft;
        generation->exchange->abort();
        cancel(generation);
        return;
    }
    if (generation->isComplete()) {
        finish(generation);
    }
}

void Engine::finish(const GenerationPtr &generation)
{
    ++m_served;
    if (generation->request.stream) {
        generation->exchange->write(generation->finalEvents());
        generation->exchange->finish();
    } else {
        generation->exchange->respond(generation->bufferedResponse());
    }
    m_batch.remove(generation);
    recordLoad();
}

void Engine::cancel(const GenerationPtr &generation)
{
    if (!generation->requestId.empty()) {
        RunRecord &record = m_records.findOrCreate(generation->requestId);
        record.generated = generation->position;
        record.resumableUntil = m_loop.now() + std::chrono::milliseconds(m_options.resumeMs);
    }
    m_batch.remove(generation);
    recordLoad();
}

void Engine::checkDisconnects()
{
    for (const GenerationPtr &generation : m_batch.disconnected()) {
        cancel(generation);
    }
    m_loop.startTimer(disconnectCheckInterval, [this] { checkDisconnects(); });
}

void Engine::handleFault(const std::shared_ptr<http::Exchange> &exchange)
{
    const json order = json::parse(exchange->body(), nullptr, false);
    const std::string mode = order.is_object() ? order.value("mode", "") : "";
    if (mode == "crash") {
        std::_Exit(1);
    }
    if (mode == "silent_open") {
        m_batch.stallRunning();
    } else if (mode.starts_with("cut_after")) {
        const size_t colon = mode.find(':');
        m_abortPosition = colon == std::string::npos ? 1 : std::atoi(mode.c_str() + colon + 1);
        m_abortsLeft = order.value("streams", UINT32_MAX);
    } else if (mode.starts_with("limit:")) {
        m_requestsPerSecond = std::atof(mode.c_str() + mode.find(':') + 1);
    } else if (mode == "unlimited") {
        m_requestsPerSecond.reset();
    } else if (mode == "silent" || mode == "none") {
        m_unresponsive = mode == "silent";
        m_abortsLeft = 0;
        m_batch.setPaused(m_unresponsive);
    } else {
        exchange->respond(errorResponse(400, "unknown_mode"));
        return;
    }
    exchange->respond(jsonResponse(200, {{"mode", mode}}));
    if (!m_unresponsive) {
        const std::vector<std::shared_ptr<http::Exchange>> deferred = std::move(m_deferred);
        m_deferred.clear();
        for (const std::shared_ptr<http::Exchange> &request : deferred) {
            handle(request);
        }
    }
}

void Engine::recordLoad()
{
    m_load.record({.at = m_loop.now(), .running = m_batch.running(), .queued = m_batch.queued()});
}

http::Response Engine::loadResponse()
{
    const LoadSample sample = m_load.read(m_loop.now());
    json report{{"running", sample.running},       {"queued", sample.queued},
                {"slots", m_options.slots},        {"incarnation", m_options.incarnation},
                {"cached_blocks", m_cache.size()}, {"served", m_served}};
    if (m_requestsPerSecond) {
        report["requests_per_s"] = *m_requestsPerSecond;
    }
    return jsonResponse(200, report);
}

} // namespace teaseldrift::standins
