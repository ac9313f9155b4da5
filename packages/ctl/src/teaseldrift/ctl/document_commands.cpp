#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>

#include <CLI/CLI.hpp>

#include "teaseldrift/ctl/change.hpp"
#include "teaseldrift/ctl/commands.hpp"
#include "teaseldrift/ctl/context.hpp"
#include "teaseldrift/ctl/document_text.hpp"

namespace teaseldrift::ctl {

namespace {

std::string readAll(std::istream &stream)
{
    return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

ExitCode applyDocument(const Context &context, const std::string &path)
{
    std::ifstream file;
    if (path != "-") {
        file.open(path);
        if (!file) {
            return context.fail(ExitCode::Usage, "cannot read document " + path);
        }
    }
    schema::Configuration desired;
    const std::string error = parseDocument(readAll(path == "-" ? std::cin : file), desired);
    if (!error.empty()) {
        return context.fail(ExitCode::Usage, path + ": " + error);
    }
    constexpr bool showsDiff = true;
    return changeConfiguration(
            context,
            [&desired](schema::Configuration &configuration) {
                preserveKeys(configuration, desired);
                configuration = desired;
                return std::string();
            },
            showsDiff);
}

ExitCode get(const Context &context)
{
    schema::Configuration configuration;
    const ExitCode code = readConfiguration(context, configuration);
    if (code == ExitCode::Ok) {
        context.out << printDocument(configuration);
    }
    return code;
}

} // namespace

void addDocumentCommands(CLI::App &app, Context &context)
{
    CLI::App &applyCommand
            = *app.add_subcommand("apply", "replace the whole configuration with a document");
    const std::shared_ptr<std::string> path = std::make_shared<std::string>();
    applyCommand.add_option("-f,--file", *path, "path of the document, - for standard input")
            ->required();
    applyCommand.callback([&context, path] {
        context.command = [&context, path] { return applyDocument(context, *path); };
    });
    app.add_subcommand("get", "print the whole configuration as a document")->callback([&context] {
        context.command = [&context] { return get(context); };
    });
}

} // namespace teaseldrift::ctl
