#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "teaseldrift/schema/configuration.pb.h"

namespace teaseldrift {

/// @brief Value of a setting and where it comes from.
struct SettingExplanation
{
    std::string setting;
    std::string value;
    /// "built-in", "default" or "exception"; empty for an unknown setting.
    std::string source;
    /// Reason that the operator gave for the exception.
    std::string reason;
    /// Expiry of the exception as Unix time in milliseconds; 0 if it does not expire.
    int64_t untilUnixMs = 0;
};

/// @brief Values of settings that the fleet document does not set.
schema::Defaults builtInDefaults();

/// @brief Whether `setting` is a field of Defaults.
bool isKnownSetting(std::string_view setting);

/// @brief The value of the field `setting` as text, empty if the setting is unknown.
std::string valueOf(const schema::Defaults &defaults, std::string_view setting);

/// @brief Parses a value and sets the field `setting`.
/// @return false if the setting is unknown or the value is malformed or out of range
bool setValue(schema::Defaults &defaults, std::string_view setting, std::string_view value);

/// @brief The value of one setting for an organisation and route, and where it comes from.
///
/// An exception for an organisation and a route takes precedence over one for the organisation, and
/// that over one for the route. Expired exceptions are ignored.
/// @return an empty source if the setting is unknown
SettingExplanation explainSetting(const schema::FleetDocument &fleet, std::string_view setting,
                                  std::string_view organisation, std::string_view route,
                                  int64_t nowUnixMs);

/// @brief All settings that apply to an organisation and route.
/// @param route path prefix of the route; empty for none
schema::Defaults effectiveSettings(const schema::FleetDocument &fleet,
                                   std::string_view organisation, std::string_view route,
                                   int64_t nowUnixMs);

} // namespace teaseldrift
