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

/// @brief One flag for each plain field of a message type, and the values that were given.
class FieldFlags
{
public:
    /// @param positional names of fields that are arguments without a flag
    FieldFlags(CLI::App &command, const google::protobuf::Descriptor &type,
               const std::vector<std::string> &positional);

    /// @brief Writes the given values into a message.
    /// @return why a value is refused, empty if all are written
    [[nodiscard]] std::string apply(google::protobuf::Message &message) const;

    /// @brief Whether any flag was given besides the positional arguments.
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
