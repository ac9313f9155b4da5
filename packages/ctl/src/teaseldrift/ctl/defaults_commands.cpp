#include <chrono>
#include <memory>

#include <CLI/CLI.hpp>

#include "teaseldrift/configuration/settings_lookup.hpp"
#include "teaseldrift/ctl/change.hpp"
#include "teaseldrift/ctl/commands.hpp"
#include "teaseldrift/ctl/context.hpp"
#include "teaseldrift/ctl/field_flags.hpp"

namespace teaseldrift::ctl {

namespace {

using google::protobuf::Descriptor;

struct ExplainArguments
{
    std::string setting;
    std::string organisation;
    std::string route;
};

int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

std::vector<std::string> rowOf(const SettingExplanation &explanation)
{
    const std::string until
            = explanation.untilUnixMs == 0 ? "" : std::to_string(explanation.untilUnixMs);
    return {explanation.setting, explanation.value, explanation.source, explanation.reason, until};
}

Table emptyTable()
{
    return {.header = {"setting", "value", "source", "reason", "until_unix_ms"}};
}

ExitCode listDefaults(const Context &context)
{
    schema::Configuration configuration;
    const ExitCode code = readConfiguration(context, configuration);
    if (code != ExitCode::Ok) {
        return code;
    }
    Table table = emptyTable();
    const Descriptor &type = *schema::Defaults::descriptor();
    for (int i = 0; i < type.field_count(); ++i) {
        table.rows.push_back(rowOf(explainSetting(configuration.fleet(), type.field(i)->name(), "",
                                                  "", unixMilliseconds())));
    }
    context.show(table);
    return ExitCode::Ok;
}

ExitCode explainOne(const Context &context, const ExplainArguments &arguments)
{
    schema::Configuration configuration;
    const ExitCode code = readConfiguration(context, configuration);
    if (code != ExitCode::Ok) {
        return code;
    }
    const SettingExplanation explanation
            = explainSetting(configuration.fleet(), arguments.setting, arguments.organisation,
                             arguments.route, unixMilliseconds());
    if (explanation.source.empty()) {
        return context.fail(ExitCode::Usage,
                            "'" + arguments.setting + "' is not a setting; see: defaults list");
    }
    Table table = emptyTable();
    table.rows.push_back(rowOf(explanation));
    context.show(table);
    return ExitCode::Ok;
}

} // namespace

void addDefaultsCommands(CLI::App &app, Context &context)
{
    CLI::App &parent = *app.add_subcommand("defaults", "fleet-wide defaults");
    parent.require_subcommand(1);
    CLI::App &set = *parent.add_subcommand("set", "change the given defaults");
    const std::shared_ptr<FieldFlags> flags = std::make_shared<FieldFlags>(
            set, *schema::Defaults::descriptor(), std::vector<std::string>());
    set.callback([&context, flags] {
        context.command = [&context, flags] {
            return changeConfiguration(context, [&flags](schema::Configuration &configuration) {
                return flags->apply(*configuration.mutable_fleet()->mutable_defaults());
            });
        };
    });
    parent.add_subcommand("list", "list all settings with their values and sources")
            ->callback(
                    [&context] { context.command = [&context] { return listDefaults(context); }; });

    CLI::App &explainCommand
            = *app.add_subcommand("explain", "show the value of a setting and where it comes from");
    const std::shared_ptr<ExplainArguments> arguments = std::make_shared<ExplainArguments>();
    explainCommand.add_option("setting", arguments->setting)->required();
    explainCommand.add_option("--organisation", arguments->organisation);
    explainCommand.add_option("--route", arguments->route, "path prefix of the route");
    explainCommand.callback([&context, arguments] {
        context.command = [&context, arguments] { return explainOne(context, *arguments); };
    });
}

} // namespace teaseldrift::ctl
