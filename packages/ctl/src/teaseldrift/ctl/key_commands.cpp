#include <algorithm>
#include <chrono>
#include <memory>
#include <ostream>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>
#include <openssl/rand.h>

#include "teaseldrift/ctl/change.hpp"
#include "teaseldrift/ctl/commands.hpp"
#include "teaseldrift/ctl/context.hpp"
#include "teaseldrift/keys/key.hpp"

namespace teaseldrift::ctl {

namespace {

struct KeyArguments
{
    std::string organisation;
    std::string keyId;
};

int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

schema::Organisation *findOrganisation(schema::Configuration &configuration,
                                       const std::string &name)
{
    for (schema::Organisation &organisation : *configuration.mutable_organisations()) {
        if (organisation.name() == name) {
            return &organisation;
        }
    }
    return nullptr;
}

ExitCode createOrganisationKey(const Context &context, const std::string &organisationName)
{
    uint8_t random[keyRandomBytes];
    if (RAND_bytes(random, keyRandomBytes) != 1) {
        return context.fail(ExitCode::Failure, "cannot generate random bytes; no key was created");
    }
    const NewKey key = createKey(random, unixMilliseconds());
    const ExitCode code = changeConfiguration(context, [&](schema::Configuration &configuration) {
        schema::Organisation *organisation = findOrganisation(configuration, organisationName);
        if (organisation == nullptr) {
            return "organisation '" + organisationName + "' does not exist";
        }
        *organisation->add_keys() = key.record;
        return std::string();
    });
    // A key that may have been written is shown even if the change is unconfirmed, since it cannot
    // be read back.
    if (context.dryRun || (code != ExitCode::Ok && code != ExitCode::Unconfirmed)) {
        return code;
    }
    if (context.isJson()) {
        const nlohmann::json shown
                = {{"organisation", organisationName}, {"id", key.record.id()}, {"key", key.text}};
        context.out << shown.dump() << "\n";
    } else {
        context.out << key.text << "\n";
    }
    return code;
}

ExitCode withdrawKey(const Context &context, const KeyArguments &arguments)
{
    return changeConfiguration(context, [&](schema::Configuration &configuration) {
        schema::Organisation *organisation
                = findOrganisation(configuration, arguments.organisation);
        if (organisation == nullptr) {
            return "organisation '" + arguments.organisation + "' does not exist";
        }
        const auto found = std::find_if(
                organisation->keys().begin(), organisation->keys().end(),
                [&](const schema::KeyRecord &key) { return key.id() == arguments.keyId; });
        if (found == organisation->keys().end()) {
            return "organisation '" + arguments.organisation + "' has no key '" + arguments.keyId
                   + "'";
        }
        organisation->mutable_keys()->erase(found);
        return std::string();
    });
}

ExitCode listKeys(const Context &context, const std::string &organisationName)
{
    schema::Configuration configuration;
    const ExitCode code = readConfiguration(context, configuration);
    if (code != ExitCode::Ok) {
        return code;
    }
    Table table{.header = {"organisation", "id", "created_unix_ms"}};
    for (const schema::Organisation &organisation : configuration.organisations()) {
        if (!organisationName.empty() && organisation.name() != organisationName) {
            continue;
        }
        for (const schema::KeyRecord &key : organisation.keys()) {
            table.rows.push_back(
                    {organisation.name(), key.id(), std::to_string(key.created_unix_ms())});
        }
    }
    context.show(table);
    return ExitCode::Ok;
}

} // namespace

void addKeyCommands(CLI::App &app, Context &context)
{
    CLI::App &parent = *app.add_subcommand("key", "keys of organisations");
    parent.require_subcommand(1);
    const std::shared_ptr<KeyArguments> arguments = std::make_shared<KeyArguments>();

    CLI::App &create = *parent.add_subcommand("create", "create a key and print it once");
    create.add_option("organisation", arguments->organisation)->required();
    create.callback([&context, arguments] {
        context.command = [&context, arguments] {
            return createOrganisationKey(context, arguments->organisation);
        };
    });

    CLI::App &remove = *parent.add_subcommand("withdraw", "revoke a key");
    remove.add_option("organisation", arguments->organisation)->required();
    remove.add_option("id", arguments->keyId, "public id of the key, see key list")->required();
    remove.callback([&context, arguments] {
        context.command = [&context, arguments] { return withdrawKey(context, *arguments); };
    });

    CLI::App &list = *parent.add_subcommand("list", "list the public ids of keys");
    list.add_option("organisation", arguments->organisation);
    list.callback([&context, arguments] {
        context.command
                = [&context, arguments] { return listKeys(context, arguments->organisation); };
    });
}

} // namespace teaseldrift::ctl
