#include "teaseldrift/router/request_log.hpp"

#include <string>

#include "teaseldrift/telemetry/log.hpp"

namespace teaseldrift::router {

void logOutcome(std::string_view requestId, std::string_view organisation,
                const RequestOutcome &outcome)
{
    const telemetry::LogLevel level
            = outcome.code == schema::OK ? telemetry::LogLevel::Debug : telemetry::LogLevel::Info;
    telemetry::log(level, "request ended",
                   {{"request_id", std::string(requestId)},
                    {"organisation", std::string(organisation)},
                    {"target", outcome.target},
                    {"result", std::to_string(outcome.code)},
                    {"attempts", std::to_string(outcome.attempts)}});
}

} // namespace teaseldrift::router
