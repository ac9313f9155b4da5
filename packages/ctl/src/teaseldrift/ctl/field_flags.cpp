#include "teaseldrift/ctl/field_flags.hpp"

#include <algorithm>

#include <CLI/CLI.hpp>

#include "teaseldrift/ctl/message_fields.hpp"

namespace teaseldrift::ctl {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

FieldFlags::FieldFlags(CLI::App &command, const Descriptor &type,
                       const std::vector<std::string> &positional)
{
    for (int i = 0; i < type.field_count(); ++i) {
        const FieldDescriptor &field = *type.field(i);
        if (!supportsFlag(field)) {
            continue;
        }
        std::unique_ptr<Flag> flag = std::make_unique<Flag>();
        flag->field = &field;
        flag->positional
                = std::find(positional.begin(), positional.end(), field.name()) != positional.end();
        const std::string name = flag->positional ? field.name() : flagName(field);
        flag->option = command.add_option(name, flag->values, allowedValues(field));
        if (field.is_repeated()) {
            flag->option->delimiter(',');
        } else {
            flag->option->expected(1);
        }
        if (flag->positional) {
            flag->option->required();
        }
        m_flags.push_back(std::move(flag));
    }
}

std::string FieldFlags::apply(Message &message) const
{
    for (const std::unique_ptr<Flag> &flag : m_flags) {
        if (flag->option->count() == 0) {
            continue;
        }
        const std::string error = setField(message, *flag->field, flag->values);
        if (!error.empty()) {
            return error;
        }
    }
    return {};
}

bool FieldFlags::anyGiven() const
{
    return std::any_of(m_flags.begin(), m_flags.end(), [](const std::unique_ptr<Flag> &flag) {
        return !flag->positional && flag->option->count() > 0;
    });
}

} // namespace teaseldrift::ctl
