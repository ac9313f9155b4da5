#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "teaseldrift/schema/configuration.pb.h"

namespace teaseldrift {

/// @brief Why a setting has its value.
struct SettingExplanation
{
    std::string setting;
    std::string value;
    /// "built-in", "default" or "exception".
    std::string source;
    /// Reason of the exception.
    std::string reason;
    /// End of the exception as Unix time in milliseconds; 0 for never.
    int64_t untilUnixMs = 0;
};

/// @brief Values of settings that the fleet document leaves unset.
schema::Defaults builtInDefaults();

/// @brief Whether `setting` is a field of Defaults.
bool isKnownSetting(std::string_view setting);

/// @brief The value of the field `setting` as text, empty if the setting is unknown.
std::string valueOf(const schema::Defaults &defaults, std::string_view setting);

/// @brief Writes a value into the field `setting`.
/// @return false if the setting is unknown or the value does not fit it
bool setValue(schema::Defaults &defaults, std::string_view setting, std::string_view value);

/// @brief The value of one setting for an organisation and route, and where it comes from.
///
/// An exception for an organisation and a route goes before one for the organisation, and that
/// before one for the route. Ended exceptions do not count.
/// @return an empty source if the setting is unknown
SettingExplanation explainSetting(const schema::FleetDocument &fleet, std::string_view setting,
                                  std::string_view organisation, std::string_view route,
                                  int64_t nowUnixMs);

/// @brief All settings in force for an organisation and route.
/// @param route path prefix of the route; empty for none
schema::Defaults effectiveSettings(const schema::FleetDocument &fleet,
                                   std::string_view organisation, std::string_view route,
                                   int64_t nowUnixMs);

} // namespace teaseldrift
