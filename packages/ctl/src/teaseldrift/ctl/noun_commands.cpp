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

/// A list in the configuration that operators edit entry by entry.
struct Noun
{
    std::string name;
    /// Field of FleetDocument, or of Configuration.
    std::string listField;
    bool inFleet = true;
    /// Fields that tell entries apart.
    std::vector<std::string> identity;
    /// The identity is given by flags, since parts of it may be empty.
    bool identityByFlags = false;
};

const std::vector<Noun> &nouns()
{
    static const std::vector<Noun> all = {
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

/// The list of one noun inside a configuration.
struct List
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

List listOf(schema::Configuration &configuration, const Noun &noun)
{
    Message *owner = &configuration;
    if (noun.inFleet) {
        owner = configuration.mutable_fleet();
    }
    return {.owner = *owner, .field = *owner->GetDescriptor()->FindFieldByName(noun.listField)};
}

const Descriptor &entryType(const Noun &noun)
{
    schema::Configuration configuration;
    return *listOf(configuration, noun).field.message_type();
}

std::string identityText(const Message &entry, const Noun &noun)
{
    std::string text;
    for (const std::string &name : noun.identity) {
        const FieldDescriptor &field = *entry.GetDescriptor()->FindFieldByName(name);
        text += (text.empty() ? "" : " ") + fieldText(entry, field);
    }
    return text;
}

bool sameIdentity(const Message &left, const Message &right, const Noun &noun)
{
    return std::all_of(noun.identity.begin(), noun.identity.end(), [&](const std::string &name) {
        const FieldDescriptor &field = *left.GetDescriptor()->FindFieldByName(name);
        return fieldText(left, field) == fieldText(right, field);
    });
}

int find(const List &list, const Message &wanted, const Noun &noun)
{
    for (int i = 0; i < list.size(); ++i) {
        if (sameIdentity(list.at(i), wanted, noun)) {
            return i;
        }
    }
    return -1;
}

enum class Verb { Create, Set, Delete };

/// @return why the verb can't be done, empty if it is done
std::string edit(schema::Configuration &configuration, const Noun &noun, Verb verb,
                 const FieldFlags &flags)
{
    const List list = listOf(configuration, noun);
    schema::Configuration scratch;
    Message &wanted = listOf(scratch, noun).add();
    const std::string problem = flags.apply(wanted);
    if (!problem.empty()) {
        return problem;
    }
    const int index = find(list, wanted, noun);
    const std::string name = noun.name + " '" + identityText(wanted, noun) + "'";
    if (verb == Verb::Create) {
        if (index >= 0) {
            return name + " exists already";
        }
        list.add().CopyFrom(wanted);
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

void addVerb(CLI::App &parent, Context &context, const Noun &noun, Verb verb,
             const std::string &verbName, const std::string &help)
{
    CLI::App &command = *parent.add_subcommand(verbName, help);
    const std::vector<std::string> positional
            = noun.identityByFlags ? std::vector<std::string>() : noun.identity;
    const std::shared_ptr<FieldFlags> flags
            = std::make_shared<FieldFlags>(command, entryType(noun), positional);
    command.callback([&context, &noun, verb, flags] {
        context.command = [&context, &noun, verb, flags] {
            return changeConfiguration(context, [&](schema::Configuration &configuration) {
                return edit(configuration, noun, verb, *flags);
            });
        };
    });
}

ExitCode listEntries(const Context &context, const Noun &noun)
{
    schema::Configuration configuration;
    const ExitCode code = readConfiguration(context, configuration);
    if (code != ExitCode::Ok) {
        return code;
    }
    Table table;
    const Descriptor &type = entryType(noun);
    for (int i = 0; i < type.field_count(); ++i) {
        table.head.push_back(type.field(i)->name());
    }
    const List list = listOf(configuration, noun);
    for (int i = 0; i < list.size(); ++i) {
        std::vector<std::string> &row = table.rows.emplace_back();
        for (int j = 0; j < type.field_count(); ++j) {
            row.push_back(fieldText(list.at(i), *type.field(j)));
        }
    }
    context.show(table);
    return ExitCode::Ok;
}

} // namespace

void addNounCommands(CLI::App &app, Context &context)
{
    for (const Noun &noun : nouns()) {
        CLI::App &parent = *app.add_subcommand(noun.name, "edit " + noun.listField);
        parent.require_subcommand(1);
        addVerb(parent, context, noun, Verb::Create, "create", "add one");
        addVerb(parent, context, noun, Verb::Set, "set", "change the given fields of one");
        addVerb(parent, context, noun, Verb::Delete, "delete", "remove one");
        parent.add_subcommand("list", "show all")->callback([&context, &noun] {
            context.command = [&context, &noun] { return listEntries(context, noun); };
        });
    }
}

} // namespace teaseldrift::ctl
