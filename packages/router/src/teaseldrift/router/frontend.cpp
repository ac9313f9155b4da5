#include "teaseldrift/router/frontend.hpp"

#include "frontend_impl.hpp"

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
#include "teaseldrift/router/entry_vm_selector.hpp"
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

std::string toHex(std::span<const uint64_t> words)
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

std::string hashRequest(std::string_view method, std::string_view path, std::string_view body)
{
    const std::string text
            = std::string(method) + "\n" + std::string(path) + "\n" + std::string(body);
    std::string digest(SHA256_DIGEST_LENGTH, '\0');
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(),
           reinterpret_cast<unsigned char *>(digest.data()));
    return digest;
}

schema::KeptAnswer toKeptAnswer(const http::Response &response)
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

http::Response toReplayResponse(const schema::KeptAnswer &kept)
{
    http::Response response{.status = static_cast<int>(kept.status()), .body = kept.body()};
    for (const schema::KeptHeader &header : kept.headers()) {
        response.headers.push_back({header.name(), header.value()});
    }
    response.headers.push_back({"idempotent-replayed", "true"});
    return response;
}

ClaimOutcome claimOutcomeOf(const RequestOutcome &outcome)
{
    if (outcome.code == schema::OK) {
        return ClaimOutcome::Answered;
    }
    return outcome.ran == schema::RAN_NO ? ClaimOutcome::NotRun : ClaimOutcome::Unknown;
}

} // namespace

void Frontend::Impl::refuse(const IncomingRequest &request, schema::ResultCode code,
                            std::optional<Duration> retryAfter)
{
    context.metrics.countResult(code);
    telemetry::log(telemetry::LogLevel::Info, "request refused",
                   {{"request_id", request.headers.requestId},
                    {"organisation", request.organisation},
                    {"result", std::to_string(code)}});
    request.exchange->respond(toResponse(
            {.code = code, .retryAfter = retryAfter, .requestId = request.headers.requestId}));
}

const schema::Defaults &Frontend::Impl::defaultsFor(const std::string &organisation,
                                                    const std::string &route)
{
    const Instant now = http::EventLoop::now();
    CachedDefaults &cached = defaults[organisation + "\n" + route];
    if (cached.computedAt == Instant() || now - cached.computedAt > defaultsLifetime) {
        const schema::FleetDocument none;
        const schema::FleetDocument &fleet
                = table == nullptr ? none : table->configuration().fleet();
        cached = {.defaults = effectiveSettings(fleet, organisation, route, nowUnixMs()),
                  .computedAt = now};
    }
    return cached.defaults;
}

RetryBudget &Frontend::Impl::budgetFor(const std::string &organisation,
                                       const schema::Defaults &settings)
{
    const auto found = budgets.find(organisation);
    if (found != budgets.end()) {
        return found->second;
    }
    return budgets.emplace(organisation, RetryBudget({.ratio = settings.retry_budget()}))
            .first->second;
}

std::error_code Frontend::Impl::resolveRoute(IncomingRequest &request, bool &allowsAnonymous)
{
    const std::string_view path = pathWithoutQuery(request.exchange->path());
    if (path == chatPath || path == completionPath) {
        request.route = std::string(path);
        request.spec.isCompletion = true;
        request.spec.isChat = path == chatPath;
        request.spec.routeClass = schema::GENERATION;
        return request.exchange->method() == "POST" ? std::error_code()
                                                    : makeError(schema::METHOD_NOT_ALLOWED);
    }
    const schema::Route *found = request.table->findRoute(path);
    if (found == nullptr) {
        return makeError(schema::UNKNOWN_ROUTE);
    }
    request.route = found->path_prefix();
    request.spec.routeClass = found->route_class();
    allowsAnonymous = found->open();
    return {};
}

std::error_code Frontend::Impl::authenticate(IncomingRequest &request, bool allowsAnonymous)
{
    if (allowsAnonymous) {
        return {};
    }
    if (request.headers.bearer.empty()) {
        return makeError(schema::KEY_MISSING);
    }
    if (!isConfigurationCurrent()) {
        return makeError(schema::CONFIGURATION_NOT_CURRENT);
    }
    const std::optional<std::string_view> owner = keys.findOrganisation(request.headers.bearer);
    if (!owner.has_value()) {
        return makeError(schema::KEY_REFUSED);
    }
    request.organisation = std::string(*owner);
    request.organisationRecord = request.table->findOrganisation(request.organisation);
    return request.organisationRecord == nullptr ? makeError(schema::KEY_REFUSED)
                                                 : std::error_code();
}

std::error_code Frontend::Impl::parseCompletionRequest(IncomingRequest &request)
{
    RequestSpec &spec = request.spec;
    CompletionRequest completion;
    const std::error_code error
            = parseCompletion(request.exchange->body(),
                              {.isChat = spec.isChat,
                               .maxOutputTokens = spec.defaults.max_output_tokens(),
                               .cacheSalt = "organisation:" + request.organisation},
                              completion);
    if (error) {
        return error;
    }
    if (request.table->findModel(completion.model) == nullptr) {
        return makeError(schema::UNKNOWN_MODEL);
    }
    spec.streams = completion.streams;
    spec.includeUsage = completion.includeUsage;
    spec.body = std::move(completion.targetBody);
    spec.segments = std::move(completion.segments);
    request.tokens
            = static_cast<double>(completion.prompt.size()) / bytesPerToken + completion.maxTokens;
    const double weight = request.organisationRecord->weight();
    spec.query = std::make_shared<TargetQuery>(TargetQuery{
            .organisation = request.organisation,
            .model = std::move(completion.model),
            .prompt = std::move(completion.prompt),
            .maxTokens = completion.maxTokens,
            .priority = -completion.priority,
            .weight = weight > 0.0 ? weight : 1.0,
            .deadline = http::EventLoop::now() + spec.deadline,
    });
    return {};
}

std::error_code Frontend::Impl::parseServiceRequest(IncomingRequest &request)
{
    RequestSpec &spec = request.spec;
    const schema::Route *found
            = request.table->findRoute(pathWithoutQuery(request.exchange->path()));
    spec.body = std::string(request.exchange->body());
    request.tokens = 1.0 + static_cast<double>(spec.body.size()) / bytesPerToken;
    spec.query = std::make_shared<TargetQuery>(TargetQuery{
            .organisation = request.organisation,
            .service = found->service(),
            .deadline = http::EventLoop::now() + spec.deadline,
    });
    return {};
}

void Frontend::Impl::process(const std::shared_ptr<IncomingRequest> &request)
{
    if (request->table == nullptr) {
        refuse(*request, schema::CONFIGURATION_ABSENT, 1s);
        return;
    }
    bool allowsAnonymous = false;
    std::error_code error = resolveRoute(*request, allowsAnonymous);
    if (!error) {
        error = authenticate(*request, allowsAnonymous);
    }
    if (error) {
        refuse(*request, schema::resultCodeOf(error));
        return;
    }
    RequestSpec &spec = request->spec;
    spec.requestId = request->headers.requestId;
    spec.organisation = request->organisation;
    spec.defaults = defaultsFor(request->organisation, request->route);
    spec.deadline = request->headers.timeout.value_or(
            std::chrono::milliseconds(spec.defaults.request_deadline_ms()));
    spec.method = std::string(request->exchange->method());
    spec.path = std::string(request->exchange->path());
    spec.headers = headersForTarget(request->exchange->headers());
    error = spec.isCompletion ? parseCompletionRequest(*request) : parseServiceRequest(*request);
    if (error) {
        refuse(*request, schema::resultCodeOf(error));
        return;
    }
    if (!refuseQuarantined(*request)) {
        admit(request);
    }
}

/// @return true if the prompt holds quarantined segments; the request has then been refused
bool Frontend::Impl::refuseQuarantined(IncomingRequest &request)
{
    const Instant now = http::EventLoop::now();
    const QuarantinedSegments *quarantined = context.quarantine.quarantine().find(
            request.spec.query->model, request.spec.segments, now);
    if (quarantined == nullptr) {
        return false;
    }
    request.spec.isTrial = context.quarantine.tryStartTrial(*quarantined);
    if (!request.spec.isTrial) {
        refuse(request, schema::PROMPT_QUARANTINED, quarantineRetryAfter(*quarantined, now));
    }
    return !request.spec.isTrial;
}

void Frontend::Impl::admit(const std::shared_ptr<IncomingRequest> &request)
{
    if (request->organisation.empty()) {
        claim(request);
        return;
    }
    context.allowance.admit({.organisation = request->organisation, .tokens = request->tokens},
                            [this, stillAlive = alive, request](const AdmissionDecision &decision) {
                                if (!*stillAlive) {
                                    return;
                                }
                                if (decision.code != schema::OK) {
                                    refuse(*request, decision.code, decision.retryAfter);
                                    return;
                                }
                                request->ticket = decision.ticket;
                                claim(request);
                            });
}

void Frontend::Impl::claim(const std::shared_ptr<IncomingRequest> &request)
{
    if (request->headers.idempotencyKey.empty()
        || request->spec.routeClass != schema::NON_IDEMPOTENT) {
        start(request);
        return;
    }
    const std::array<uint64_t, 2> claimWords{generator(), generator()};
    request->claimId = toHex(claimWords);
    const int64_t deadlineUnixMs
            = nowUnixMs()
              + std::chrono::duration_cast<std::chrono::milliseconds>(request->spec.deadline)
                        .count();
    context.claims.claim({.organisation = request->organisation,
                          .route = request->route,
                          .idempotencyKey = request->headers.idempotencyKey,
                          .requestHash = hashRequest(request->spec.method, request->spec.path,
                                                     request->spec.body),
                          .claimId = request->claimId,
                          .deadlineUnixMs = deadlineUnixMs},
                         [this, stillAlive = alive, request](const ClaimResult &result) {
                             if (!*stillAlive) {
                                 return;
                             }
                             switch (result.decision) {
                             case ClaimDecision::Granted:
                                 request->spec.sendDeadline = result.sendDeadline;
                                 start(request);
                                 return;
                             case ClaimDecision::Replay:
                                 context.metrics.countResult(schema::OK);
                                 request->exchange->respond(toReplayResponse(result.response));
                                 return;
                             case ClaimDecision::Refused:
                                 refuse(*request, result.code);
                                 return;
                             }
                         });
}

void Frontend::Impl::start(const std::shared_ptr<IncomingRequest> &request)
{
    const RequestServices services{
            .loop = context.loop,
            .client = client,
            .targets = context.targets,
            .metrics = context.metrics,
            .quarantine = context.quarantine,
            .permits = context.permits,
            .buffers = context.buffers,
            .streamBufferBytes = context.settings.stream_buffer_bytes(),
            .callerIdleTimeout = std::chrono::milliseconds(context.settings.caller_idle_ms()),
            .debugHeaders = context.settings.debug_headers(),
    };
    const uint64_t taskId = ++lastTaskId;
    RetryBudget &budget = budgetFor(request->organisation, request->spec.defaults);
    budget.countRequest();
    tasks[taskId] = RequestTask::start(
            services, request->exchange, std::move(request->spec), budget,
            [this, stillAlive = alive, request, taskId](const RequestOutcome &outcome) {
                if (*stillAlive) {
                    finish(*request, taskId, outcome);
                }
            });
}

void Frontend::Impl::finish(const IncomingRequest &request, uint64_t taskId,
                            const RequestOutcome &outcome)
{
    tasks.erase(taskId);
    logOutcome(request.headers.requestId, request.organisation, outcome);
    if (!request.claimId.empty()) {
        context.claims.complete(request.claimId, claimOutcomeOf(outcome),
                                toKeptAnswer(outcome.response));
    }
    double used = request.tokens;
    if (outcome.usage.has_value()) {
        used = static_cast<double>(outcome.usage->promptTokens + outcome.usage->completionTokens);
    } else if (outcome.ran == schema::RAN_NO) {
        used = 0.0;
    }
    if (used < request.tokens && !request.organisation.empty()) {
        context.allowance.refund(request.organisation, request.ticket, request.tokens - used);
    }
}

Frontend::Frontend(const FrontendContext &context) : m_impl(std::make_unique<Impl>(context)) { }

Frontend::~Frontend()
{
    *m_impl->alive = false;
}

void Frontend::configure(std::shared_ptr<const RoutingTable> table)
{
    m_impl->keys = KeyRing(table->configuration().organisations());
    m_impl->table = std::move(table);
    m_impl->defaults.clear();
    m_impl->context.targets.configure(m_impl->table);
}

void Frontend::setCurrentUntil(std::optional<Instant> currentUntil)
{
    m_impl->currentUntil = currentUntil;
}

void Frontend::setConfigurationAdmin(ConfigurationAdmin configurationAdmin)
{
    m_impl->configurationAdmin = std::move(configurationAdmin);
}

void Frontend::setLeaving()
{
    m_impl->leaving = true;
}

void Frontend::handle(std::shared_ptr<http::Exchange> exchange)
{
    const std::string path(pathWithoutQuery(exchange->path()));
    if (m_impl->handleLocalPath(exchange, path)) {
        return;
    }
    const std::shared_ptr<IncomingRequest> request = std::make_shared<IncomingRequest>();
    request->exchange = std::move(exchange);
    request->table = m_impl->table;
    const std::error_code error = parseHeaders(request->exchange->headers(), request->headers);
    if (request->headers.requestId.empty()) {
        const std::array<uint64_t, 2> words{m_impl->generator(), m_impl->generator()};
        request->headers.requestId = toHex(words);
    }
    if (request->exchange->authority().empty()) {
        m_impl->refuse(*request, schema::HOST_MISSING);
    } else if (error) {
        m_impl->refuse(*request, schema::resultCodeOf(error));
    } else {
        m_impl->process(request);
    }
}

size_t Frontend::openRequests() const
{
    return m_impl->tasks.size();
}

void Frontend::drainDeadlineExpired()
{
    const std::map<uint64_t, std::shared_ptr<RequestTask>> open = m_impl->tasks;
    for (auto it = open.begin(); it != open.end(); ++it) {
        it->second->drainDeadlineExpired();
    }
}

} // namespace teaseldrift::router
