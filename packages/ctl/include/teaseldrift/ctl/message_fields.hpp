#pragma once

#include <string>
#include <vector>

#include <google/protobuf/message.h>

namespace teaseldrift::ctl {

/// @brief The flag of a field: `rate_tokens_per_s` becomes "--rate-tokens-per-s".
std::string flagName(const google::protobuf::FieldDescriptor &field);

/// @brief Whether a field holds plain values, so that a flag can set it.
bool supportsFlag(const google::protobuf::FieldDescriptor &field);

/// @brief What a field accepts, for help and errors.
std::string allowedValues(const google::protobuf::FieldDescriptor &field);

/// @brief Sets a plain field from texts.
/// @param values one text, or all texts of a repeated field
/// @return an error that names the flag, the value and what is allowed; empty if it is set
std::string setField(google::protobuf::Message &message,
                     const google::protobuf::FieldDescriptor &field,
                     const std::vector<std::string> &values);

/// @brief A field as text; the number of entries for fields that are not plain.
std::string formatField(const google::protobuf::Message &message,
                        const google::protobuf::FieldDescriptor &field);

} // namespace teaseldrift::ctl
