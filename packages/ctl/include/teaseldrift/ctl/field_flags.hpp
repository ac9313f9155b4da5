#pragma once

#include <memory>
#include <string>
#include <vector>

#include <google/protobuf/message.h>

namespace CLI {
class App;
class Option;
} // namespace CLI

namespace teaseldrift::ctl {

/// @brief One flag for each field of a message type that supports flags, and the given values.
class FieldFlags
{
public:
    /// @param positional names of fields that are positional arguments instead of flags
    FieldFlags(CLI::App &command, const google::protobuf::Descriptor &type,
               const std::vector<std::string> &positional);

    /// @brief Sets the given values in a message.
    /// @return an error message for an invalid value, empty on success
    [[nodiscard]] std::string apply(google::protobuf::Message &message) const;

    /// @brief Whether any flag was given, not counting positional arguments.
    [[nodiscard]] bool anyGiven() const;

private:
    struct Flag
    {
        const google::protobuf::FieldDescriptor *field = nullptr;
        std::vector<std::string> values;
        CLI::Option *option = nullptr;
        bool positional = false;
    };

    std::vector<std::unique_ptr<Flag>> m_flags;
};

} // namespace teaseldrift::ctl
