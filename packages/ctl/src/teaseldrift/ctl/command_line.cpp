#include "teaseldrift/ctl/command_line.hpp"

#include <ostream>

#include <CLI/CLI.hpp>

#include "teaseldrift/ctl/commands.hpp"
#include "teaseldrift/ctl/context.hpp"

namespace teaseldrift::ctl {

namespace {

constexpr const char *footer
        = "Exit codes: 0 success; 1 failed, nothing changed; 2 invalid command line or document;\n"
          "3 conflict with a concurrent change; 4 outcome unknown or not yet applied on all VMs.";

void addGlobalFlags(CLI::App &app, Context &context)
{
    const CLI::Validator isAddress(
            [](const std::string &text) {
                http::Endpoint endpoint;
                return http::parseEndpoint(text, endpoint)
                               ? std::string()
                               : "'" + text + "' is not allowed; allowed: IP:port";
            },
            "IP:port");
    app.add_option("--store", context.storeAddress, "address of the platform's key-value store")
            ->envname("TEASELDRIFT_STORE_ADDRESS")
            ->check(isAddress)
            ->capture_default_str();
    app.add_option("--vms", context.vmAddresses, "entry VMs, comma-separated")
            ->envname("TEASELDRIFT_VMS")
            ->delimiter(',')
            ->check(isAddress);
    app.add_option("--prefix", context.prefix, "prefix of all keys in the store")
            ->envname("TEASELDRIFT_STORE_PREFIX")
            ->capture_default_str();
    app.add_option("--admin-token", context.adminToken,
                   "bearer token for the /admin paths of the VMs")
            ->envname("TEASELDRIFT_ADMIN_TOKEN");
    app.add_option("--output", context.output, "output format")
            ->envname("TEASELDRIFT_OUTPUT")
            ->check(CLI::IsMember({"table", "json"}))
            ->capture_default_str();
    app.add_option("--wait-seconds", context.waitSeconds,
                   "maximum time to wait until a change is accepted")
            ->capture_default_str();
    app.add_flag("--no-wait", context.noWait, "do not wait until a change is accepted");
    app.add_flag("--dry-run", context.dryRun, "show the diff without writing it");
}

void addCommands(CLI::App &app, Context &context)
{
    addResourceCommands(app, context);
    addKeyCommands(app, context);
    addDefaultsCommands(app, context);
    addDocumentCommands(app, context);
    addFleetCommands(app, context);
    addQuarantineCommands(app, context);
    addLoadCommand(app, context);
}

} // namespace

ExitCode runCommandLine(std::span<const std::string> arguments, std::ostream &out,
                        std::ostream &err)
{
    CLI::App app("teaseldriftctl: command-line tool for operators of teaseldrift",
                 "teaseldriftctl");
    app.footer(footer);
    app.fallthrough();
    app.require_subcommand(1);
    Context context{.out = out, .err = err};
    addGlobalFlags(app, context);
    addCommands(app, context);
    // CLI11 expects the arguments in reverse order.
    std::vector<std::string> reversed(arguments.rbegin(), arguments.rend());
    try {
        app.parse(reversed);
    } catch (const CLI::ParseError &error) {
        const int code = app.exit(error, out, err);
        return code == 0 ? ExitCode::Ok : ExitCode::Usage;
    }
    return context.command();
}

} // namespace teaseldrift::ctl
