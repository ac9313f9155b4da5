#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace teaseldrift::telemetry {

enum class LogLevel {
    Debug,
    Info,
    Warn,
    Error,
};

/// @brief A named field of a log line.
struct LogField
{
    const char *name;
    std::string value;
};

/// @brief Configures logging as JSON lines to standard error.
/// @param level "debug", "info", "warn" or "error"
void configureLogging(std::string_view level);

/// @brief Writes one JSON line. API keys and request or response bodies must not be logged.
///
/// ```cpp
/// log(LogLevel::Info, "request served", {{"request_id", id}, {"target", target}});
/// ```
void log(LogLevel level, std::string_view message, std::initializer_list<LogField> fields = {});

} // namespace teaseldrift::telemetry
