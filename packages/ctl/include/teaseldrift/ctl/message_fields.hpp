#pragma once

#include <string>
#include <vector>

#include <google/protobuf/message.h>

namespace teaseldrift::ctl {

/// @brief Name of the flag that sets a field: `rate_tokens_per_s` becomes "--rate-tokens-per-s".
std::string flagName(const google::protobuf::FieldDescriptor &field);

/// @brief Whether a flag can set a field: it is a scalar other than bytes, or a list of strings.
bool supportsFlag(const google::protobuf::FieldDescriptor &field);

/// @brief Allowed values of a field, for help and error messages.
std::string allowedValues(const google::protobuf::FieldDescriptor &field);

/// @brief Sets a field that supports flags from strings.
/// @param values one string, or all strings of a repeated field
/// @return an error message with the flag, the value and the allowed values; empty on success
std::string setField(google::protobuf::Message &message,
                     const google::protobuf::FieldDescriptor &field,
                     const std::vector<std::string> &values);

/// @brief Formats a field as text; a list of messages as its number of entries.
std::string formatField(const google::protobuf::Message &message,
                        const google::protobuf::FieldDescriptor &field);

} // namespace teaseldrift::ctl
