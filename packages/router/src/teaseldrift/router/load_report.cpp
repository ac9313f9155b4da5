#include "teaseldrift/router/load_report.hpp"

#include <string>

#include <nlohmann/json.hpp>

#include "teaseldrift/base/json_input.hpp"

namespace teaseldrift::router {

using nlohmann::json;

namespace {

/// Largest limit that is applied, in requests a second.
constexpr double maxRequestsPerSecond = 1e6;

} // namespace

bool parseLoadReport(std::string_view body, Instant now, TargetLoad &report)
{
    const json parsed = parseJson(body);
    if (!parsed.is_object() || !parsed.contains("incarnation")
        || !parsed["incarnation"].is_number_unsigned()) {
        return false;
    }
    report.incarnation = unsignedField<uint64_t>(parsed, "incarnation");
    report.running = unsignedField<uint32_t>(parsed, "running");
    report.queued = unsignedField<uint32_t>(parsed, "queued");
    report.slots = unsignedField<uint32_t>(parsed, "slots");
    report.prefillBacklogTokens = unsignedField<uint64_t>(parsed, "prefill_backlog_tokens");
    const auto limit = parsed.find("requests_per_s");
    if (limit != parsed.end()) {
        const double perSecond = limit->is_number() ? limit->get<double>() : -1.0;
        report.hasInvalidLimit = !(perSecond >= 0.0 && perSecond <= maxRequestsPerSecond);
        if (!report.hasInvalidLimit) {
            report.requestsPerSecond = perSecond;
        }
    }
    report.observedAt = now - std::chrono::milliseconds(unsignedField<uint32_t>(parsed, "age_ms"));
    const auto models = parsed.find("models");
    if (models == parsed.end()) {
        return true;
    }
    for (const json &model : *models) {
        const std::string name = textField(model, "name");
        if (!name.empty()) {
            report.models[name] = textField(model, "version");
        }
    }
    return true;
}

} // namespace teaseldrift::router
