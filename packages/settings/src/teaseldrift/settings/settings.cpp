#include "teaseldrift/settings/settings.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <sstream>

#include <CLI/CLI.hpp>

#include "teaseldrift/schema/options.pb.h"

namespace teaseldrift::settings {

namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;
using schema::SettingInfo;

std::string flagName(const FieldDescriptor &field)
{
    std::string name = field.name();
    std::replace(name.begin(), name.end(), '_', '-');
    return "--" + name;
}

std::string variableName(const FieldDescriptor &field)
{
    std::string name = "TEASELDRIFT_" + field.name();
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::toupper(c)); });
    return name;
}

const SettingInfo &infoOf(const FieldDescriptor &field)
{
    return field.options().GetExtension(schema::setting);
}

std::string join(const google::protobuf::RepeatedPtrField<std::string> &words)
{
    std::string text;
    for (const std::string &word : words) {
        text += (text.empty() ? "" : ", ") + word;
    }
    return text;
}

std::string invalidValueError(const FieldDescriptor &field, const std::string &value,
                              const std::string &allowed)
{
    return flagName(field) + " (" + variableName(field) + "): '" + value
           + "' is not allowed; allowed: " + allowed;
}

std::string allowedRange(const SettingInfo &info)
{
    std::ostringstream text;
    text << "a whole number from " << std::fixed;
    text.precision(0);
    text << info.minimum();
    if (info.maximum() > 0) {
        text << " to " << info.maximum();
    }
    if (!info.unit().empty()) {
        text << " " << info.unit();
    }
    return text.str();
}

template <typename Number>
bool parseNumber(const std::string &text, const SettingInfo &info, Number &number)
{
    const char *end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data(), end, number);
    if (result.ec != std::errc() || result.ptr != end) {
        return false;
    }
    const double value = static_cast<double>(number);
    return value >= info.minimum() && (info.maximum() <= 0 || value <= info.maximum());
}

/// @return an empty string on success, otherwise an error message
std::string assignNumber(Message &message, const FieldDescriptor &field, const std::string &value)
{
    const SettingInfo &info = infoOf(field);
    uint64_t number = 0;
    if (!parseNumber(value, info, number)) {
        return invalidValueError(field, value, allowedRange(info));
    }
    const Reflection *reflection = message.GetReflection();
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_UINT64) {
        reflection->SetUInt64(&message, &field, number);
    } else {
        reflection->SetUInt32(&message, &field, static_cast<uint32_t>(number));
    }
    return {};
}

std::string assignBool(Message &message, const FieldDescriptor &field, const std::string &value)
{
    if (value != "true" && value != "false") {
        return invalidValueError(field, value, "true, false");
    }
    message.GetReflection()->SetBool(&message, &field, value == "true");
    return {};
}

std::string assignText(Message &message, const FieldDescriptor &field, const std::string &value)
{
    const SettingInfo &info = infoOf(field);
    const auto found = std::find(info.allowed().begin(), info.allowed().end(), value);
    if (info.allowed_size() > 0 && found == info.allowed().end()) {
        return invalidValueError(field, value, join(info.allowed()));
    }
    if (info.required() && value.empty()) {
        return invalidValueError(field, value, "a text that is not empty");
    }
    message.GetReflection()->SetString(&message, &field, value);
    return {};
}

std::string assign(Message &message, const FieldDescriptor &field, const std::string &value)
{
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_BOOL:
        return assignBool(message, field, value);
    case FieldDescriptor::CPPTYPE_STRING:
        return assignText(message, field, value);
    default:
        return assignNumber(message, field, value);
    }
}

void addOption(CLI::App &app, Message &message, const FieldDescriptor &field)
{
    const SettingInfo &info = infoOf(field);
    if (!info.default_value().empty()) {
        assign(message, field, info.default_value());
    }
    const std::function<bool(const CLI::results_t &)> store
            = [&message, &field](const CLI::results_t &values) {
                  const std::string error = assign(message, field, values.back());
                  if (!error.empty()) {
                      throw CLI::ValidationError(error);
                  }
                  return true;
              };
    CLI::Option *option = app.add_option(flagName(field), store, info.help());
    option->envname(variableName(field))->default_str(info.default_value());
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_BOOL) {
        // default_str() gives the value of a flag without an argument. It is not the default of the
        // setting, so the help text is replaced.
        option->expected(0, 1)->default_str("true")->option_text(
                "[=true|false] ("
                + (info.default_value().empty() ? std::string("false") : info.default_value())
                + " unless given) (Env:" + variableName(field) + ")");
    }
    if (info.required()) {
        option->required();
    }
}

std::string valueText(const Message &message, const FieldDescriptor &field)
{
    const Reflection *reflection = message.GetReflection();
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_BOOL:
        return reflection->GetBool(message, &field) ? "true" : "false";
    case FieldDescriptor::CPPTYPE_UINT32:
        return std::to_string(reflection->GetUInt32(message, &field));
    case FieldDescriptor::CPPTYPE_UINT64:
        return std::to_string(reflection->GetUInt64(message, &field));
    default:
        return reflection->GetString(message, &field);
    }
}

} // namespace

void addOptions(CLI::App &app, Message &message)
{
    const Descriptor *descriptor = message.GetDescriptor();
    for (int i = 0; i < descriptor->field_count(); ++i) {
        addOption(app, message, *descriptor->field(i));
    }
}

std::string formatSettings(const Message &message)
{
    std::string text;
    const Descriptor *descriptor = message.GetDescriptor();
    for (int i = 0; i < descriptor->field_count(); ++i) {
        const FieldDescriptor &field = *descriptor->field(i);
        const std::string value = valueText(message, field);
        const bool masked = infoOf(field).secret() && !value.empty();
        text += variableName(field) + "=" + (masked ? "********" : value) + "\n";
    }
    return text;
}

} // namespace teaseldrift::settings
