#include "teaseldrift/ctl/message_fields.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdio>

namespace teaseldrift::ctl {

namespace {

using google::protobuf::EnumDescriptor;
using google::protobuf::EnumValueDescriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

template <typename Number>
bool parse(const std::string &text, Number &number)
{
    const char *end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data(), end, number);
    return result.ec == std::errc() && result.ptr == end;
}

/// Command-line form of an enum value: "NON_IDEMPOTENT" becomes "non-idempotent".
std::string kebabCaseName(const EnumValueDescriptor &value)
{
    std::string word = value.name();
    std::replace(word.begin(), word.end(), '_', '-');
    std::transform(word.begin(), word.end(), word.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return word;
}

const EnumValueDescriptor *findEnumValue(const EnumDescriptor &type, const std::string &word)
{
    for (int i = 0; i < type.value_count(); ++i) {
        if (kebabCaseName(*type.value(i)) == word || type.value(i)->name() == word) {
            return type.value(i);
        }
    }
    return nullptr;
}

template <typename Number, typename Setter>
bool assign(const std::string &text, Setter setter)
{
    Number number{};
    if (!parse(text, number)) {
        return false;
    }
    setter(number);
    return true;
}

bool setNumber(Message &message, const FieldDescriptor &field, const std::string &text)
{
    const Reflection &reflection = *message.GetReflection();
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_UINT32:
        return assign<uint32_t>(
                text, [&](uint32_t value) { reflection.SetUInt32(&message, &field, value); });
    case FieldDescriptor::CPPTYPE_UINT64:
        return assign<uint64_t>(
                text, [&](uint64_t value) { reflection.SetUInt64(&message, &field, value); });
    case FieldDescriptor::CPPTYPE_INT64:
        return assign<int64_t>(
                text, [&](int64_t value) { reflection.SetInt64(&message, &field, value); });
    case FieldDescriptor::CPPTYPE_DOUBLE:
        return assign<double>(text,
                              [&](double value) { reflection.SetDouble(&message, &field, value); });
    default:
        return false;
    }
}

bool setScalar(Message &message, const FieldDescriptor &field, const std::string &text)
{
    const Reflection &reflection = *message.GetReflection();
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_STRING) {
        reflection.SetString(&message, &field, text);
        return true;
    }
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_BOOL) {
        reflection.SetBool(&message, &field, text == "true");
        return text == "true" || text == "false";
    }
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_ENUM) {
        const EnumValueDescriptor *value = findEnumValue(*field.enum_type(), text);
        if (value != nullptr) {
            reflection.SetEnum(&message, &field, value);
        }
        return value != nullptr;
    }
    return setNumber(message, field, text);
}

std::string formatNumber(double value)
{
    constexpr size_t bufferSize = 64;
    char text[bufferSize];
    std::snprintf(text, sizeof(text), "%.10g", value);
    return text;
}

std::string formatScalar(const Message &message, const FieldDescriptor &field)
{
    const Reflection &reflection = *message.GetReflection();
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_UINT32:
        return std::to_string(reflection.GetUInt32(message, &field));
    case FieldDescriptor::CPPTYPE_UINT64:
        return std::to_string(reflection.GetUInt64(message, &field));
    case FieldDescriptor::CPPTYPE_INT64:
        return std::to_string(reflection.GetInt64(message, &field));
    case FieldDescriptor::CPPTYPE_DOUBLE:
        return formatNumber(reflection.GetDouble(message, &field));
    case FieldDescriptor::CPPTYPE_BOOL:
        return reflection.GetBool(message, &field) ? "true" : "false";
    case FieldDescriptor::CPPTYPE_ENUM:
        return kebabCaseName(*reflection.GetEnum(message, &field));
    case FieldDescriptor::CPPTYPE_STRING:
        return reflection.GetString(message, &field);
    default:
        return {};
    }
}

} // namespace

std::string flagName(const FieldDescriptor &field)
{
    std::string name = field.name();
    std::replace(name.begin(), name.end(), '_', '-');
    return "--" + name;
}

bool supportsFlag(const FieldDescriptor &field)
{
    const bool isText = field.type() == FieldDescriptor::TYPE_STRING;
    return field.is_repeated() ? isText
                               : field.cpp_type() != FieldDescriptor::CPPTYPE_MESSAGE
                                         && field.type() != FieldDescriptor::TYPE_BYTES;
}

std::string allowedValues(const FieldDescriptor &field)
{
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_BOOL:
        return "true, false";
    case FieldDescriptor::CPPTYPE_DOUBLE:
        return "a number";
    case FieldDescriptor::CPPTYPE_STRING:
        return field.is_repeated() ? "comma-separated strings" : "a string";
    case FieldDescriptor::CPPTYPE_ENUM: {
        std::string words;
        for (int i = 0; i < field.enum_type()->value_count(); ++i) {
            words += (i == 0 ? "" : ", ") + kebabCaseName(*field.enum_type()->value(i));
        }
        return words;
    }
    default:
        return "a whole number";
    }
}

std::string setField(Message &message, const FieldDescriptor &field,
                     const std::vector<std::string> &values)
{
    if (field.is_repeated()) {
        message.GetReflection()->ClearField(&message, &field);
        for (const std::string &value : values) {
            message.GetReflection()->AddString(&message, &field, value);
        }
        return {};
    }
    if (setScalar(message, field, values.back())) {
        return {};
    }
    return flagName(field) + ": '" + values.back()
           + "' is not allowed; allowed: " + allowedValues(field);
}

std::string formatField(const Message &message, const FieldDescriptor &field)
{
    const Reflection &reflection = *message.GetReflection();
    if (!field.is_repeated()) {
        return formatScalar(message, field);
    }
    if (!supportsFlag(field)) {
        return std::to_string(reflection.FieldSize(message, &field));
    }
    std::string text;
    for (int i = 0; i < reflection.FieldSize(message, &field); ++i) {
        text += (i == 0 ? "" : ",") + reflection.GetRepeatedString(message, &field, i);
    }
    return text;
}

} // namespace teaseldrift::ctl
