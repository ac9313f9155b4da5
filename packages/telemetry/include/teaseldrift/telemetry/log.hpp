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

/// @brief A named value beside a log line's message.
struct LogField
{
    const char *name;
    std::string value;
};

/// @brief Sends JSON lines to standard error from now on.
/// @param level "debug", "info", "warn" or "error"
void configureLogging(std::string_view level);

/// @brief Writes one JSON line. Keys and bodies never belong into it.
///
/// ```cpp
/// log(LogLevel::Info, "request served", {{"request_id", id}, {"target", target}});
/// ```
void log(LogLevel level, std::string_view message, std::initializer_list<LogField> fields = {});

} // namespace teaseldrift::telemetry
