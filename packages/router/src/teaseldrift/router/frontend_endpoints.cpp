#include "frontend_impl.hpp"

#include <charconv>
#include <vector>

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

#include "teaseldrift/base/json_input.hpp"
#include "teaseldrift/http/connection_gauges.hpp"
#include "teaseldrift/http/request_target.hpp"
#include "teaseldrift/quarantine/quarantine_json.hpp"
#include "teaseldrift/router/entry_vm_selector.hpp"
#include "teaseldrift/router/refusal.hpp"
#include "teaseldrift/router/router_metrics.hpp"
#include "teaseldrift/router/target_permits.hpp"
#include "teaseldrift/schema/fleet.pb.h"
#include "teaseldrift/telemetry/log.hpp"

namespace teaseldrift::router {

namespace {

using nlohmann::json;

http::Response jsonResponse(std::string body, int status = 200)
{
    return {
            .status = status,
            .headers = {{"content-type", "application/json"}},
            .body = std::move(body),
    };
}

bool isSameSecret(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
           && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace

bool Frontend::Impl::isConfigurationCurrent() const
{
    return currentUntil.has_value() && http::EventLoop::now() <= *currentUntil;
}

std::string Frontend::Impl::statusJson() const
{
    const ConfigurationStatus configurationStatus
            = configurationAdmin.configurationStatus ? configurationAdmin.configurationStatus("", 0)
                                                     : ConfigurationStatus();
    json status = {
            {"incarnation", std::to_string(configurationStatus.incarnation)},
            {"votes", configurationStatus.canVote},
            {"known_vms", configurationStatus.knownVms},
            {"vm_id", context.settings.vm_id()},
            {"availability_zone", context.settings.availability_zone()},
            {"revision", table == nullptr ? 0 : table->revision()},
            {"configuration_current", isConfigurationCurrent()},
            {"leaving", leaving},
            {"open_requests", tasks.size()},
            {"targets", json::parse(context.targets.statusJson())},
            {"organisations", json::parse(context.allowance.statusJson())},
    };
    return status.dump();
}

std::string Frontend::Impl::modelsJson() const
{
    json models = json::array();
    if (table != nullptr) {
        for (const schema::Model &model : table->configuration().fleet().models()) {
            models.push_back(
                    {{"id", model.name()}, {"object", "model"}, {"owned_by", "teaseldrift"}});
        }
    }
    const json list = {{"object", "list"}, {"data", models}};
    return list.dump();
}

void Frontend::Impl::handleExplainRoute(const std::shared_ptr<http::Exchange> &exchange)
{
    const json body = parseJson(exchange->body());
    if (!body.is_object() || !body.contains("model") || !body["model"].is_string()) {
        exchange->respond(toResponse({.code = schema::MALFORMED_BODY}));
        return;
    }
    const TargetQuery query{
            .organisation = textField(body, "organisation"),
            .model = textField(body, "model"),
            .prompt = textField(body, "prompt"),
            .maxTokens = unsignedField<uint32_t>(body, "max_tokens"),
            .deadline = http::EventLoop::now() + 60s,
    };
    if (table == nullptr || table->findModel(query.model) == nullptr) {
        exchange->respond(toResponse({.code = schema::UNKNOWN_MODEL}));
        return;
    }
    exchange->respond(jsonResponse(context.targets.explainJson(query)));
}

/// GET /admin/held?name=...&revision=...
void Frontend::Impl::handleHeld(const std::shared_ptr<http::Exchange> &exchange)
{
    const std::string revisionText = http::queryValue(exchange->path(), "revision");
    uint64_t revision = 0;
    const char *end = revisionText.data() + revisionText.size();
    const std::from_chars_result parsed = std::from_chars(revisionText.data(), end, revision);
    if (!configurationAdmin.configurationStatus || parsed.ec != std::errc() || parsed.ptr != end) {
        exchange->respond(toResponse({.code = schema::MALFORMED_BODY}));
        return;
    }
    const ConfigurationStatus configurationStatus = configurationAdmin.configurationStatus(
            http::queryValue(exchange->path(), "name"), revision);
    const json response = {{"incarnation", std::to_string(configurationStatus.incarnation)},
                           {"holds", configurationStatus.holds},
                           {"votes", configurationStatus.canVote},
                           {"known_vms", configurationStatus.knownVms}};
    exchange->respond(jsonResponse(response.dump()));
}

/// POST /admin/offer with a serialized ConfigurationAnswer as the body.
void Frontend::Impl::handleOffer(const std::shared_ptr<http::Exchange> &exchange)
{
    schema::ConfigurationAnswer offered;
    const std::string_view body = exchange->body();
    if (!configurationAdmin.offer
        || !offered.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
        exchange->respond(toResponse({.code = schema::MALFORMED_BODY}));
        return;
    }
    const std::vector<schema::VersionedDocument> documents(offered.documents().begin(),
                                                           offered.documents().end());
    configurationAdmin.offer(documents);
    exchange->respond(jsonResponse("{}"));
}

/// GET lists what is quarantined; POST lifts the quarantine of a segment.
void Frontend::Impl::handleQuarantine(const std::shared_ptr<http::Exchange> &exchange)
{
    constexpr int notFound = 404;
    const Instant now = http::EventLoop::now();
    SegmentQuarantine &quarantine = context.quarantine.quarantine();
    int status = 200;
    if (exchange->method() == "POST") {
        const std::optional<LiftOrder> order = parseLiftOrder(exchange->body());
        if (!order) {
            exchange->respond(toResponse({.code = schema::MALFORMED_BODY}));
            return;
        }
        const bool isLifted = quarantine.lift(order->model, order->segment, now);
        telemetry::log(telemetry::LogLevel::Warn, "quarantine lifted",
                       {{"model", order->model},
                        {"segment", segmentIds(std::span(&order->segment, 1))},
                        {"was_suspected", isLifted ? "yes" : "no"}});
        status = isLifted ? status : notFound;
    }
    exchange->respond(jsonResponse(quarantineJson(quarantine.quarantined(now), now), status));
}

void Frontend::Impl::handleAdmin(const std::shared_ptr<http::Exchange> &exchange,
                                 std::string_view path)
{
    CallerHeaders headers;
    const std::string &token = context.settings.admin_token();
    if (parseHeaders(exchange->headers(), headers) || token.empty()
        || !isSameSecret(headers.bearer, token)) {
        exchange->respond(toResponse({.code = schema::KEY_REFUSED}));
    } else if (path == "/admin/status") {
        exchange->respond(jsonResponse(statusJson()));
    } else if (path == "/admin/held") {
        handleHeld(exchange);
    } else if (path == "/admin/offer") {
        handleOffer(exchange);
    } else if (path == "/admin/quarantine") {
        handleQuarantine(exchange);
    } else if (path == "/admin/explain-route") {
        handleExplainRoute(exchange);
    } else {
        exchange->respond(toResponse({.code = schema::UNKNOWN_ROUTE}));
    }
}

void Frontend::Impl::handleEntry(const std::shared_ptr<http::Exchange> &exchange)
{
    CallerHeaders headers;
    std::string organisation;
    if (!parseHeaders(exchange->headers(), headers) && !headers.bearer.empty()) {
        const std::optional<std::string_view> owner = keys.findOrganisation(headers.bearer);
        if (!owner.has_value()) {
            exchange->respond(toResponse({.code = schema::KEY_REFUSED}));
            return;
        }
        organisation = std::string(*owner);
    }
    exchange->respond(jsonResponse(context.entrySelector.responseJson(
            organisation, http::queryValue(exchange->path(), "prefix"),
            std::chrono::milliseconds(defaultsFor(organisation, "").entry_lifetime_ms()))));
}

/// @return false if the path is not one that the router serves itself
bool Frontend::Impl::handleLocalPath(const std::shared_ptr<http::Exchange> &exchange,
                                     std::string_view path)
{
    constexpr int unavailable = 503;
    if (path == "/healthz") {
        exchange->respond({.body = "ok\n"});
    } else if (path == "/readyz") {
        const bool canConnect = context.limiter == nullptr
                                || (!context.limiter->failsToAccept() && http::canOpenDescriptor());
        const bool ready = table != nullptr && !leaving && isConfigurationCurrent() && canConnect;
        exchange->respond(
                {.status = ready ? 200 : unavailable, .body = ready ? "ready\n" : "not ready\n"});
    } else if (path == "/metrics") {
        context.metrics.registry().setGauge({"teaseldrift_open_requests"},
                                            static_cast<double>(tasks.size()));
        context.metrics.registry().setGauge(
                {"teaseldrift_quarantined_segments"},
                static_cast<double>(context.quarantine.quarantine()
                                            .quarantined(http::EventLoop::now())
                                            .size()));
        context.metrics.registry().setGauge(
                {"teaseldrift_allowance_messages_refused"},
                static_cast<double>(context.allowance.refusedMessages()));
        if (context.buffers != nullptr) {
            context.metrics.registry().setGauge(
                    {"teaseldrift_buffered_bytes"},
                    static_cast<double>(context.buffers->bufferedBytes()));
            context.metrics.registry().setGauge({"teaseldrift_buffers_given_up_total"},
                                                static_cast<double>(context.buffers->givenUp()));
        }
        if (context.limiter != nullptr) {
            for (const http::ConnectionGauge &gauge : connectionGauges(*context.limiter)) {
                context.metrics.registry().setGauge({gauge.name, gauge.label, gauge.labelValue},
                                                    gauge.value);
            }
        }
        context.metrics.registry().setGauge({"teaseldrift_limited_targets"},
                                            static_cast<double>(context.permits.limitedTargets()));
        exchange->respond({.headers = {{"content-type", "text/plain; version=0.0.4"}},
                           .body = context.metrics.registry().text()});
    } else if (path == "/v1/entry") {
        handleEntry(exchange);
    } else if (path == "/v1/models") {
        exchange->respond(jsonResponse(modelsJson()));
    } else if (path.starts_with("/admin/")) {
        handleAdmin(exchange, path);
    } else {
        return false;
    }
    return true;
}

} // namespace teaseldrift::router
