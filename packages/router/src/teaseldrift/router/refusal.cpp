#include "teaseldrift/router/refusal.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "teaseldrift/base/json_input.hpp"
#include "teaseldrift/schema/result.hpp"

namespace teaseldrift::router {

namespace {

using nlohmann::json;

std::string_view ranText(schema::Ran ran)
{
    switch (ran) {
    case schema::RAN_NO:
        return "no";
    case schema::RAN_YES:
        return "yes";
    default:
        return "unknown";
    }
}

json errorObject(const Refusal &refusal)
{
    const schema::ResultInfo &info = schema::describe(refusal.code);
    json error = {
            {"code", static_cast<int>(refusal.code)},
            {"type", schema::metricLabel(refusal.code)},
            {"message", info.message()},
            {"ran", ranText(refusal.ran.value_or(info.ran()))},
    };
    if (!refusal.requestId.empty()) {
        error["request_id"] = refusal.requestId;
    }
    return {{"error", error}};
}

std::string wholeSeconds(Duration duration)
{
    constexpr int64_t minimum = 1;
    return std::to_string(
            std::max(minimum, std::chrono::ceil<std::chrono::seconds>(duration).count()));
}

} // namespace

http::Response toResponse(const Refusal &refusal)
{
    const schema::ResultInfo &info = schema::describe(refusal.code);
    http::Response response{
            .status = static_cast<int>(info.http_status()),
            .headers
            = {{"content-type", "application/json"},
               {"x-teaseldrift-result", std::to_string(refusal.code)},
               {"x-teaseldrift-ran", std::string(ranText(refusal.ran.value_or(info.ran())))}},
            .body = toJsonText(errorObject(refusal)) + "\n",
    };
    if (!refusal.requestId.empty()) {
        response.headers.push_back({"x-request-id", refusal.requestId});
    }
    if (refusal.retryAfter.has_value()) {
        response.headers.push_back({"retry-after", wholeSeconds(*refusal.retryAfter)});
    }
    return response;
}

std::string toErrorEvent(const Refusal &refusal)
{
    return "event: error\ndata: " + toJsonText(errorObject(refusal)) + "\n\n";
}

} // namespace teaseldrift::router
