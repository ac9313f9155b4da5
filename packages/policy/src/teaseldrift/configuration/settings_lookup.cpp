#include "teaseldrift/configuration/settings_lookup.hpp"

#include <charconv>
#include <system_error>

#include "teaseldrift/schema/options.pb.h"

namespace teaseldrift {

namespace {

using google::protobuf::FieldDescriptor;

const FieldDescriptor *fieldOf(std::string_view setting)
{
    return schema::Defaults::descriptor()->FindFieldByName(std::string(setting));
}

template <typename Number>
bool parseNumber(std::string_view text, Number &number)
{
    const std::from_chars_result result
            = std::from_chars(text.data(), text.data() + text.size(), number);
    return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

bool isInRange(const FieldDescriptor &field, double value)
{
    const schema::SettingInfo &info = field.options().GetExtension(schema::setting);
    return value >= info.minimum() && value <= info.maximum();
}

std::string formatDouble(double value)
{
    constexpr size_t maxLength = 32;
    std::string text(maxLength, '\0');
    const std::to_chars_result result
            = std::to_chars(text.data(), text.data() + text.size(), value);
    text.resize(static_cast<size_t>(result.ptr - text.data()));
    return text;
}

/// Precedence of an exception, higher for a narrower scope; 0 if it has expired or does not apply.
int specificity(const schema::SettingException &exception, std::string_view organisation,
                std::string_view route, int64_t nowUnixMs)
{
    constexpr int organisationRank = 2;
    constexpr int routeRank = 1;
    if (exception.until_unix_ms() != 0 && exception.until_unix_ms() <= nowUnixMs) {
        return 0;
    }
    const bool namesOrganisation = !exception.organisation().empty();
    const bool namesRoute = !exception.route().empty();
    if (namesOrganisation && exception.organisation() != organisation) {
        return 0;
    }
    if (namesRoute && exception.route() != route) {
        return 0;
    }
    return (namesOrganisation ? organisationRank : 0) + (namesRoute ? routeRank : 0);
}

} // namespace

schema::Defaults builtInDefaults()
{
    schema::Defaults defaults;
    const google::protobuf::Descriptor *descriptor = schema::Defaults::descriptor();
    for (int i = 0; i < descriptor->field_count(); ++i) {
        const FieldDescriptor *field = descriptor->field(i);
        setValue(defaults, field->name(),
                 field->options().GetExtension(schema::setting).default_value());
    }
    return defaults;
}

bool isKnownSetting(std::string_view setting)
{
    return fieldOf(setting) != nullptr;
}

std::string valueOf(const schema::Defaults &defaults, std::string_view setting)
{
    const FieldDescriptor *field = fieldOf(setting);
    if (field == nullptr) {
        return {};
    }
    const google::protobuf::Reflection *reflection = schema::Defaults::GetReflection();
    return field->cpp_type() == FieldDescriptor::CPPTYPE_DOUBLE
                   ? formatDouble(reflection->GetDouble(defaults, field))
                   : std::to_string(reflection->GetUInt32(defaults, field));
}

bool setValue(schema::Defaults &defaults, std::string_view setting, std::string_view value)
{
    const FieldDescriptor *field = fieldOf(setting);
    if (field == nullptr) {
        return false;
    }
    const google::protobuf::Reflection *reflection = schema::Defaults::GetReflection();
    if (field->cpp_type() == FieldDescriptor::CPPTYPE_DOUBLE) {
        double number = 0.0;
        if (!parseNumber(value, number) || !isInRange(*field, number)) {
            return false;
        }
        reflection->SetDouble(&defaults, field, number);
        return true;
    }
    uint32_t number = 0;
    if (!parseNumber(value, number) || !isInRange(*field, number)) {
        return false;
    }
    reflection->SetUInt32(&defaults, field, number);
    return true;
}

SettingExplanation explainSetting(const schema::FleetDocument &fleet, std::string_view setting,
                                  std::string_view organisation, std::string_view route,
                                  int64_t nowUnixMs)
{
    const FieldDescriptor *field = fieldOf(setting);
    if (field == nullptr) {
        return {.setting = std::string(setting)};
    }
    SettingExplanation result{.setting = std::string(setting)};
    int rank = 0;
    for (const schema::SettingException &exception : fleet.exceptions()) {
        const int exceptionRank = specificity(exception, organisation, route, nowUnixMs);
        schema::Defaults scratch;
        if (exception.setting() == setting && exceptionRank > rank
            && setValue(scratch, setting, exception.value())) {
            rank = exceptionRank;
            result.value = exception.value();
            result.source = "exception";
            result.reason = exception.reason();
            result.untilUnixMs = exception.until_unix_ms();
        }
    }
    if (rank > 0) {
        return result;
    }
    const bool isSet = schema::Defaults::GetReflection()->HasField(fleet.defaults(), field);
    result.source = isSet ? "default" : "built-in";
    result.value = valueOf(isSet ? fleet.defaults() : builtInDefaults(), setting);
    return result;
}

schema::Defaults effectiveSettings(const schema::FleetDocument &fleet,
                                   std::string_view organisation, std::string_view route,
                                   int64_t nowUnixMs)
{
    constexpr int highestRank = 3;
    schema::Defaults result = builtInDefaults();
    result.MergeFrom(fleet.defaults());
    for (int rank = 1; rank <= highestRank; ++rank) {
        for (const schema::SettingException &exception : fleet.exceptions()) {
            if (specificity(exception, organisation, route, nowUnixMs) == rank) {
                setValue(result, exception.setting(), exception.value());
            }
        }
    }
    return result;
}

} // namespace teaseldrift
