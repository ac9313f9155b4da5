#include "teaseldrift/ctl/command_line.hpp"

#include <ostream>

#include <CLI/CLI.hpp>

#include "teaseldrift/ctl/commands.hpp"
#include "teaseldrift/ctl/context.hpp"

namespace teaseldrift::ctl {

namespace {

constexpr const char *footer
        = "Exit codes: 0 done; 1 failed, nothing changed; 2 wrong command line or document;\n"
          "3 another change came first; 4 unclear, or not yet in force on all VMs.";

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
    app.add_option("--store", context.storeAddress, "the platform's key-value service")
            ->envname("TEASELDRIFT_STORE_ADDRESS")
            ->check(isAddress)
            ->capture_default_str();
    app.add_option("--vms", context.vmAddresses, "entry VMs, separated by commas")
            ->envname("TEASELDRIFT_VMS")
            ->delimiter(',')
            ->check(isAddress);
    app.add_option("--prefix", context.prefix, "prefix of all keys in the store")
            ->envname("TEASELDRIFT_STORE_PREFIX")
            ->capture_default_str();
    app.add_option("--admin-token", context.adminToken, "bearer token for /admin of the VMs")
            ->envname("TEASELDRIFT_ADMIN_TOKEN");
    app.add_option("--output", context.output, "form of the answer")
            ->envname("TEASELDRIFT_OUTPUT")
            ->check(CLI::IsMember({"table", "json"}))
            ->capture_default_str();
    app.add_option("--wait-seconds", context.waitSeconds, "longest wait for a change")
            ->capture_default_str();
    app.add_flag("--no-wait", context.noWait, "do not wait until a change is in force");
    app.add_flag("--dry-run", context.dryRun, "show what would change and write nothing");
}

void addCommands(CLI::App &app, Context &context)
{
    addResourceCommands(app, context);
    addKeyCommands(app, context);
    addDefaultsCommands(app, context);
    addDocumentCommands(app, context);
    addFleetCommands(app, context);
    addLoadCommand(app, context);
}

} // namespace

ExitCode runCommandLine(std::span<const std::string> arguments, std::ostream &out,
                        std::ostream &err)
{
    CLI::App app("teaseldriftctl: operators' command line of teaseldrift", "teaseldriftctl");
    app.footer(footer);
    app.fallthrough();
    app.require_subcommand(1);
    Context context{.out = out, .err = err};
    addGlobalFlags(app, context);
    addCommands(app, context);
    // CLI11 takes the words from the back.
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
