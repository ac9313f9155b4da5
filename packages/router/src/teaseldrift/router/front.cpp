#include "teaseldrift/router/front.hpp"

#include "front_impl.hpp"

#include <array>
#include <charconv>
#include <chrono>
#include <map>
#include <random>

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include "teaseldrift/configuration/settings_lookup.hpp"
#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/http/server.hpp"
#include "teaseldrift/keys/key.hpp"
#include "teaseldrift/router/allowance_task.hpp"
#include "teaseldrift/router/caller_request.hpp"
#include "teaseldrift/router/claim_task.hpp"
#include "teaseldrift/router/entry_book.hpp"
#include "teaseldrift/router/refusal.hpp"
#include "teaseldrift/router/request_log.hpp"
#include "teaseldrift/router/request_task.hpp"
#include "teaseldrift/router/router_metrics.hpp"
#include "teaseldrift/schema/fleet.pb.h"
#include "teaseldrift/schema/result.hpp"
#include "teaseldrift/telemetry/log.hpp"
#include "wall_clock.hpp"

namespace teaseldrift::router {

namespace {

using nlohmann::json;

constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view completionPath = "/v1/completions";
constexpr double bytesPerToken = 4.0;
constexpr Duration defaultsLifetime = 1s;

std::string hexText(std::span<const uint64_t> words)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr int bitsPerDigit = 4;
    constexpr int digitsPerWord = 16;
    std::string text;
    for (const uint64_t word : words) {
        for (int digit = digitsPerWord - 1; digit >= 0; --digit) {
            text += digits[(word >> (digit * bitsPerDigit)) & 0xfU];
        }
    }
    return text;
}

std::string sha256Of(std::string_view method, std::string_view path, std::string_view body)
{
    const std::string text
            = std::string(method) + "\n" + std::string(path) + "\n" + std::string(body);
    std::string digest(SHA256_DIGEST_LENGTH, '\0');
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(),
           reinterpret_cast<unsigned char *>(digest.data()));
    return digest;
}

schema::KeptAnswer keptAnswer(const http::Response &response)
{
    schema::KeptAnswer kept;
    kept.set_status(static_cast<uint32_t>(response.status));
    kept.set_body(response.body);
    for (const http::Header &header : response.headers) {
        schema::KeptHeader *keptHeader = kept.add_headers();
        keptHeader->set_name(header.name);
        keptHeader->set_value(header.value);
    }
    return kept;
}

http::Response replayOf(const schema::KeptAnswer &kept)
{
    http::Response response{.status = static_cast<int>(kept.status()), .body = kept.body()};
    for (const schema::KeptHeader &header : kept.headers()) {
        response.headers.push_back({header.name(), header.value()});
    }
    response.headers.push_back({"idempotent-replayed", "true"});
    return response;
}

ClaimOutcome claimEndOf(const RequestOutcome &outcome)
{
    if (outcome.code == schema::OK) {
        return ClaimOutcome::Answered;
    }
    return outcome.ran == schema::RAN_NO ? ClaimOutcome::NotRun : ClaimOutcome::Unknown;
}

} // namespace

void Front::Impl::refuse(const Arrival &arrival, schema::ResultCode code,
                         std::optional<Duration> retryAfter)
{
    parts.metrics.countResult(code);
    telemetry::log(telemetry::LogLevel::Info, "request refused",
                   {{"request_id", arrival.headers.requestId},
                    {"organisation", arrival.organisation},
                    {"result", std::to_string(code)}});
    arrival.exchange->respond(toResponse(
            {.code = code, .retryAfter = retryAfter, .requestId = arrival.headers.requestId}));
}

const schema::Defaults &Front::Impl::defaultsFor(const std::string &organisation,
                                                 const std::string &route)
{
    const Instant now = http::EventLoop::now();
    CachedDefaults &cached = defaults[organisation + "\n" + route];
    if (cached.madeAt == Instant() || now - cached.madeAt > defaultsLifetime) {
        const schema::FleetDocument none;
        const schema::FleetDocument &fleet
                = table == nullptr ? none : table->configuration().fleet();
        cached = {.defaults = effectiveSettings(fleet, organisation, route, nowUnixMs()),
                  .madeAt = now};
    }
    return cached.defaults;
}

RetryBudget &Front::Impl::budgetFor(const std::string &organisation,
                                    const schema::Defaults &settings)
{
    const auto found = budgets.find(organisation);
    if (found != budgets.end()) {
        return found->second;
    }
    return budgets.emplace(organisation, RetryBudget({.ratio = settings.retry_budget()}))
            .first->second;
}

std::error_code Front::Impl::route(Arrival &arrival, bool &isOpen)
{
    const std::string_view path = pathWithoutQuery(arrival.exchange->path());
    if (path == chatPath || path == completionPath) {
        arrival.route = std::string(path);
        arrival.spec.isCompletion = true;
        arrival.spec.isChat = path == chatPath;
        arrival.spec.routeClass = schema::GENERATION;
        return arrival.exchange->method() == "POST" ? std::error_code()
                                                    : makeError(schema::METHOD_NOT_ALLOWED);
    }
    const schema::Route *found = arrival.table->findRoute(path);
    if (found == nullptr) {
        return makeError(schema::UNKNOWN_ROUTE);
    }
    arrival.route = found->path_prefix();
    arrival.spec.routeClass = found->route_class();
    isOpen = found->open();
    return {};
}

std::error_code Front::Impl::authenticate(Arrival &arrival, bool isOpen)
{
    if (isOpen) {
        return {};
    }
    if (arrival.headers.bearer.empty()) {
        return makeError(schema::KEY_MISSING);
    }
    if (!isCurrent()) {
        return makeError(schema::CONFIGURATION_NOT_CURRENT);
    }
    const std::optional<std::string_view> owner = keys.findOrganisation(arrival.headers.bearer);
    if (!owner.has_value()) {
        return makeError(schema::KEY_REFUSED);
    }
    arrival.organisation = std::string(*owner);
    arrival.organisationRecord = arrival.table->findOrganisation(arrival.organisation);
    return arrival.organisationRecord == nullptr ? makeError(schema::KEY_REFUSED)
                                                 : std::error_code();
}

std::error_code Front::Impl::readCompletion(Arrival &arrival)
{
    RequestSpec &spec = arrival.spec;
    CompletionRequest completion;
    const std::error_code error
            = parseCompletion(arrival.exchange->body(),
                              {.isChat = spec.isChat,
                               .maxOutputTokens = spec.defaults.max_output_tokens(),
                               .cacheSalt = "organisation:" + arrival.organisation},
                              completion);
    if (error) {
        return error;
    }
    if (arrival.table->findModel(completion.model) == nullptr) {
        return makeError(schema::UNKNOWN_MODEL);
    }
    spec.streams = completion.streams;
    spec.includeUsage = completion.includeUsage;
    spec.body = std::move(completion.targetBody);
    arrival.tokens
            = static_cast<double>(completion.prompt.size()) / bytesPerToken + completion.maxTokens;
    const double weight = arrival.organisationRecord->weight();
    spec.query = std::make_shared<TargetQuery>(TargetQuery{
            .organisation = arrival.organisation,
            .model = std::move(completion.model),
            .prompt = std::move(completion.prompt),
            .maxTokens = completion.maxTokens,
            .priority = -completion.priority,
            .weight = weight > 0.0 ? weight : 1.0,
            .deadline = http::EventLoop::now() + spec.deadline,
    });
    return {};
}

std::error_code Front::Impl::readPlain(Arrival &arrival)
{
    RequestSpec &spec = arrival.spec;
    const schema::Route *found
            = arrival.table->findRoute(pathWithoutQuery(arrival.exchange->path()));
    spec.body = std::string(arrival.exchange->body());
    arrival.tokens = 1.0 + static_cast<double>(spec.body.size()) / bytesPerToken;
    spec.query = std::make_shared<TargetQuery>(TargetQuery{
            .organisation = arrival.organisation,
            .service = found->service(),
            .deadline = http::EventLoop::now() + spec.deadline,
    });
    return {};
}

void Front::Impl::take(const std::shared_ptr<Arrival> &arrival)
{
    if (arrival->table == nullptr) {
        refuse(*arrival, schema::CONFIGURATION_ABSENT, 1s);
        return;
    }
    bool isOpen = false;
    std::error_code error = route(*arrival, isOpen);
    if (!error) {
        error = authenticate(*arrival, isOpen);
    }
    if (error) {
        refuse(*arrival, schema::resultCodeOf(error));
        return;
    }
    RequestSpec &spec = arrival->spec;
    spec.requestId = arrival->headers.requestId;
    spec.organisation = arrival->organisation;
    spec.defaults = defaultsFor(arrival->organisation, arrival->route);
    spec.deadline = arrival->headers.timeout.value_or(
            std::chrono::milliseconds(spec.defaults.request_deadline_ms()));
    spec.method = std::string(arrival->exchange->method());
    spec.path = std::string(arrival->exchange->path());
    spec.headers = headersForTarget(arrival->exchange->headers());
    error = spec.isCompletion ? readCompletion(*arrival) : readPlain(*arrival);
    if (error) {
        refuse(*arrival, schema::resultCodeOf(error));
        return;
    }
    admit(arrival);
}

void Front::Impl::admit(const std::shared_ptr<Arrival> &arrival)
{
    if (arrival->organisation.empty()) {
        claim(arrival);
        return;
    }
    parts.allowance.admit({.organisation = arrival->organisation, .tokens = arrival->tokens},
                          [this, stillAlive = alive, arrival](const AdmissionDecision &decision) {
                              if (!*stillAlive) {
                                  return;
                              }
                              if (decision.code != schema::OK) {
                                  refuse(*arrival, decision.code, decision.retryAfter);
                                  return;
                              }
                              arrival->ticket = decision.ticket;
                              claim(arrival);
                          });
}

void Front::Impl::claim(const std::shared_ptr<Arrival> &arrival)
{
    if (arrival->headers.idempotencyKey.empty()
        || arrival->spec.routeClass != schema::NON_IDEMPOTENT) {
        start(arrival);
        return;
    }
    const std::array<uint64_t, 2> claimWords{generator(), generator()};
    arrival->claimId = hexText(claimWords);
    const int64_t deadlineUnixMs
            = nowUnixMs()
              + std::chrono::duration_cast<std::chrono::milliseconds>(arrival->spec.deadline)
                        .count();
    parts.claims.claim(
            {.organisation = arrival->organisation,
             .route = arrival->route,
             .idempotencyKey = arrival->headers.idempotencyKey,
             .requestHash = sha256Of(arrival->spec.method, arrival->spec.path, arrival->spec.body),
             .claimId = arrival->claimId,
             .deadlineUnixMs = deadlineUnixMs},
            [this, stillAlive = alive, arrival](const ClaimResult &result) {
                if (!*stillAlive) {
                    return;
                }
                switch (result.decision) {
                case ClaimDecision::Granted:
                    arrival->spec.sendDeadline = result.sendDeadline;
                    start(arrival);
                    return;
                case ClaimDecision::Replay:
                    parts.metrics.countResult(schema::OK);
                    arrival->exchange->respond(replayOf(result.response));
                    return;
                case ClaimDecision::Refused:
                    refuse(*arrival, result.code);
                    return;
                }
            });
}

void Front::Impl::start(const std::shared_ptr<Arrival> &arrival)
{
    const RequestServices services{
            .loop = parts.loop,
            .client = client,
            .targets = parts.targets,
            .metrics = parts.metrics,
            .streamBufferBytes = parts.settings.stream_buffer_bytes(),
            .callerIdleTimeout = std::chrono::milliseconds(parts.settings.caller_idle_ms()),
            .debugHeaders = parts.settings.debug_headers(),
    };
    const uint64_t taskId = ++lastTask;
    RetryBudget &budget = budgetFor(arrival->organisation, arrival->spec.defaults);
    budget.countRequest();
    tasks[taskId] = RequestTask::start(
            services, arrival->exchange, std::move(arrival->spec), budget,
            [this, stillAlive = alive, arrival, taskId](const RequestOutcome &outcome) {
                if (*stillAlive) {
                    finish(*arrival, taskId, outcome);
                }
            });
}

void Front::Impl::finish(const Arrival &arrival, uint64_t taskId, const RequestOutcome &outcome)
{
    tasks.erase(taskId);
    logOutcome(arrival.headers.requestId, arrival.organisation, outcome);
    if (!arrival.claimId.empty()) {
        parts.claims.complete(arrival.claimId, claimEndOf(outcome), keptAnswer(outcome.response));
    }
    double used = arrival.tokens;
    if (outcome.usage.has_value()) {
        used = static_cast<double>(outcome.usage->promptTokens + outcome.usage->completionTokens);
    } else if (outcome.ran == schema::RAN_NO) {
        used = 0.0;
    }
    if (used < arrival.tokens && !arrival.organisation.empty()) {
        parts.allowance.refund(arrival.organisation, arrival.ticket, arrival.tokens - used);
    }
}

Front::Front(const FrontParts &parts) : m_impl(std::make_unique<Impl>(parts)) { }

Front::~Front()
{
    *m_impl->alive = false;
}

void Front::configure(std::shared_ptr<const RoutingTable> table)
{
    m_impl->keys = KeyRing(table->configuration().organisations());
    m_impl->table = std::move(table);
    m_impl->defaults.clear();
    m_impl->parts.targets.configure(m_impl->table);
}

void Front::setCurrentUntil(std::optional<Instant> currentUntil)
{
    m_impl->currentUntil = currentUntil;
}

void Front::setConfigurationDesk(ConfigurationDesk desk)
{
    m_impl->desk = std::move(desk);
}

void Front::setLeaving()
{
    m_impl->leaving = true;
}

void Front::handle(std::shared_ptr<http::Exchange> exchange)
{
    const std::string path(pathWithoutQuery(exchange->path()));
    if (m_impl->answerOwnPaths(exchange, path)) {
        return;
    }
    const std::shared_ptr<Arrival> arrival = std::make_shared<Arrival>();
    arrival->exchange = std::move(exchange);
    arrival->table = m_impl->table;
    const std::error_code error = parseHeaders(arrival->exchange->headers(), arrival->headers);
    if (arrival->headers.requestId.empty()) {
        const std::array<uint64_t, 2> words{m_impl->generator(), m_impl->generator()};
        arrival->headers.requestId = hexText(words);
    }
    if (arrival->exchange->authority().empty()) {
        m_impl->refuse(*arrival, schema::HOST_MISSING);
    } else if (error) {
        m_impl->refuse(*arrival, schema::resultCodeOf(error));
    } else {
        m_impl->take(arrival);
    }
}

size_t Front::openRequests() const
{
    return m_impl->tasks.size();
}

void Front::drainDeadlineExpired()
{
    const std::map<uint64_t, std::shared_ptr<RequestTask>> open = m_impl->tasks;
    for (auto it = open.begin(); it != open.end(); ++it) {
        it->second->drainDeadlineExpired();
    }
}

} // namespace teaseldrift::router
