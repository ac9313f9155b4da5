#include <algorithm>

#include <CLI/CLI.hpp>

#include "teaseldrift/ctl/change.hpp"
#include "teaseldrift/ctl/commands.hpp"
#include "teaseldrift/ctl/context.hpp"
#include "teaseldrift/ctl/field_flags.hpp"
#include "teaseldrift/ctl/message_fields.hpp"

namespace teaseldrift::ctl {

namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

/// A kind of configuration entry that operators create, change and delete one by one.
struct ResourceType
{
    std::string name;
    /// Repeated field of FleetDocument (if inFleet) or of Configuration.
    std::string listField;
    bool inFleet = true;
    /// Fields that identify an entry.
    std::vector<std::string> identity;
    /// The identity is given by flags instead of positional arguments, since its fields may be
    /// empty.
    bool identityByFlags = false;
};

const std::vector<ResourceType> &resourceTypes()
{
    static const std::vector<ResourceType> all = {
            {.name = "organisation",
             .listField = "organisations",
             .inFleet = false,
             .identity = {"name"}},
            {.name = "target", .listField = "targets", .inFleet = false, .identity = {"id"}},
            {.name = "model", .listField = "models", .identity = {"name"}},
            {.name = "route", .listField = "routes", .identity = {"path_prefix"}},
            {.name = "exception",
             .listField = "exceptions",
             .identity = {"organisation", "route", "setting"},
             .identityByFlags = true},
    };
    return all;
}

/// The entries of one resource type in a configuration.
struct ResourceList
{
    Message &owner;
    const FieldDescriptor &field;

    [[nodiscard]] int size() const { return owner.GetReflection()->FieldSize(owner, &field); }

    [[nodiscard]] Message &at(int index) const
    {
        return *owner.GetReflection()->MutableRepeatedMessage(&owner, &field, index);
    }

    [[nodiscard]] Message &add() const
    {
        return *owner.GetReflection()->AddMessage(&owner, &field);
    }

    void remove(int index) const
    {
        const Reflection &reflection = *owner.GetReflection();
        for (int i = index; i + 1 < size(); ++i) {
            reflection.SwapElements(&owner, &field, i, i + 1);
        }
        reflection.RemoveLast(&owner, &field);
    }
};

ResourceList resourceList(schema::Configuration &configuration, const ResourceType &resource)
{
    Message *owner = &configuration;
    if (resource.inFleet) {
        owner = configuration.mutable_fleet();
    }
    return {.owner = *owner, .field = *owner->GetDescriptor()->FindFieldByName(resource.listField)};
}

const Descriptor &entryType(const ResourceType &resource)
{
    schema::Configuration configuration;
    return *resourceList(configuration, resource).field.message_type();
}

std::string identityText(const Message &entry, const ResourceType &resource)
{
    std::string text;
    for (const std::string &name : resource.identity) {
        const FieldDescriptor &field = *entry.GetDescriptor()->FindFieldByName(name);
        text += (text.empty() ? "" : " ") + formatField(entry, field);
    }
    return text;
}

bool hasSameIdentity(const Message &left, const Message &right, const ResourceType &resource)
{
    return std::all_of(
            resource.identity.begin(), resource.identity.end(), [&](const std::string &name) {
                const FieldDescriptor &field = *left.GetDescriptor()->FindFieldByName(name);
                return formatField(left, field) == formatField(right, field);
            });
}

int findEntry(const ResourceList &list, const Message &desired, const ResourceType &resource)
{
    for (int i = 0; i < list.size(); ++i) {
        if (hasSameIdentity(list.at(i), desired, resource)) {
            return i;
        }
    }
    return -1;
}

enum class Verb { Create, Set, Delete };

/// @return an error message, empty on success
std::string edit(schema::Configuration &configuration, const ResourceType &resource, Verb verb,
                 const FieldFlags &flags)
{
    const ResourceList list = resourceList(configuration, resource);
    schema::Configuration scratch;
    Message &desired = resourceList(scratch, resource).add();
    const std::string error = flags.apply(desired);
    if (!error.empty()) {
        return error;
    }
    const int index = findEntry(list, desired, resource);
    const std::string name = resource.name + " '" + identityText(desired, resource) + "'";
    if (verb == Verb::Create) {
        if (index >= 0) {
            return name + " already exists";
        }
        list.add().CopyFrom(desired);
        return {};
    }
    if (index < 0) {
        return name + " does not exist";
    }
    if (verb == Verb::Delete) {
        list.remove(index);
        return {};
    }
    return flags.apply(list.at(index));
}

void addVerb(CLI::App &parent, Context &context, const ResourceType &resource, Verb verb,
             const std::string &verbName, const std::string &help)
{
    CLI::App &command = *parent.add_subcommand(verbName, help);
    const std::vector<std::string> positional
            = resource.identityByFlags ? std::vector<std::string>() : resource.identity;
    const std::shared_ptr<FieldFlags> flags
            = std::make_shared<FieldFlags>(command, entryType(resource), positional);
    command.callback([&context, &resource, verb, flags] {
        context.command = [&context, &resource, verb, flags] {
            return changeConfiguration(context, [&](schema::Configuration &configuration) {
                return edit(configuration, resource, verb, *flags);
            });
        };
    });
}

ExitCode listEntries(const Context &context, const ResourceType &resource)
{
    schema::Configuration configuration;
    const ExitCode code = readConfiguration(context, configuration);
    if (code != ExitCode::Ok) {
        return code;
    }
    Table table;
    const Descriptor &type = entryType(resource);
    for (int i = 0; i < type.field_count(); ++i) {
        table.header.push_back(type.field(i)->name());
    }
    const ResourceList list = resourceList(configuration, resource);
    for (int i = 0; i < list.size(); ++i) {
        std::vector<std::string> &row = table.rows.emplace_back();
        for (int j = 0; j < type.field_count(); ++j) {
            row.push_back(formatField(list.at(i), *type.field(j)));
        }
    }
    context.show(table);
    return ExitCode::Ok;
}

} // namespace

void addResourceCommands(CLI::App &app, Context &context)
{
    for (const ResourceType &resource : resourceTypes()) {
        CLI::App &parent = *app.add_subcommand(resource.name, "edit " + resource.listField);
        parent.require_subcommand(1);
        addVerb(parent, context, resource, Verb::Create, "create", "create an entry");
        addVerb(parent, context, resource, Verb::Set, "set", "change the given fields of an entry");
        addVerb(parent, context, resource, Verb::Delete, "delete", "delete an entry");
        parent.add_subcommand("list", "list all entries")->callback([&context, &resource] {
            context.command = [&context, &resource] { return listEntries(context, resource); };
        });
    }
}

} // namespace teaseldrift::ctl
