#include <memory>
#include <ostream>
#include <string>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "teaseldrift/base/json_input.hpp"
#include "teaseldrift/ctl/commands.hpp"
#include "teaseldrift/ctl/context.hpp"
#include "teaseldrift/ctl/vm_admin.hpp"

namespace teaseldrift::ctl {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr const char *path = "/admin/quarantine";

struct LiftArguments
{
    std::string model;
    std::string segment;
};

std::string joined(const json &list)
{
    std::string text;
    for (const json &entry : list) {
        text += (text.empty() ? "" : ",") + (entry.is_string() ? entry.get<std::string>() : "");
    }
    return text;
}

std::string seconds(const json &entry, const char *name)
{
    return std::to_string(static_cast<int64_t>(entry.value(name, 0.0)));
}

/// Adds a row for each quarantine that a VM reports, or one for a VM that does not respond.
/// @return false if the VM does not respond
bool addRows(const VmResponse &response, Table &table)
{
    const std::string address = http::toString(response.vm);
    const json body = parseJson(response.body);
    if (!response.reached || response.status != statusOk || !body.is_object()
        || !body.contains("quarantined")) {
        table.rows.push_back({address, response.reached
                                               ? "answered " + std::to_string(response.status)
                                               : "unreachable"});
        return false;
    }
    for (const json &entry : body["quarantined"]) {
        table.rows.push_back(
                {address, entry.value("model", ""), joined(entry.value("segments", json::array())),
                 std::to_string(entry.value("crashes", 0)), seconds(entry, "last_crash_age_s"),
                 seconds(entry, "trial_in_s"), joined(entry.value("targets", json::array()))});
    }
    return true;
}

ExitCode listQuarantined(const Context &context)
{
    const std::vector<http::Endpoint> vms = context.vms();
    if (vms.empty()) {
        return context.fail(ExitCode::Usage, "quarantine list needs --vms: IP:port of VMs");
    }
    bool haveAllResponded = true;
    Table table{.header = {"address", "model", "segments", "crashes", "last_crash_s", "trial_in_s",
                           "targets"}};
    for (const VmResponse &response : queryVms(vms, context.adminToken, {.path = path})) {
        haveAllResponded = addRows(response, table) && haveAllResponded;
    }
    context.show(table);
    return haveAllResponded ? ExitCode::Ok : ExitCode::Failure;
}

ExitCode lift(const Context &context, const LiftArguments &arguments)
{
    const std::vector<http::Endpoint> vms = context.vms();
    if (vms.empty()) {
        return context.fail(ExitCode::Usage, "quarantine lift needs --vms: IP:port of VMs");
    }
    const json body{{"model", arguments.model}, {"segment", arguments.segment}};
    bool isSuspected = false;
    std::string problems;
    for (const VmResponse &response : queryVms(vms, context.adminToken,
                                               {.method = "POST",
                                               .path = path,
                                               .headers = {{"content-type", "application/json"}},
                                               .body = body.dump()})) {
        isSuspected = isSuspected || (response.reached && response.status == statusOk);
        const bool isExpected
                = response.reached
                  && (response.status == statusOk || response.status == statusNotFound);
        if (!isExpected) {
            problems += " " + http::toString(response.vm)
                        + (response.reached ? " answered " + std::to_string(response.status)
                                            : " did not answer");
        }
    }
    if (!isSuspected) {
        return context.fail(ExitCode::Failure,
                            "no VM that responded suspects the segment;" + problems);
    }
    context.out << "lifted\n";
    return ExitCode::Ok;
}

} // namespace

void addQuarantineCommands(CLI::App &app, Context &context)
{
    CLI::App &command = *app.add_subcommand(
            "quarantine", "segments of prompts that are refused because they crash targets");
    command.require_subcommand(1);
    command.add_subcommand("list", "show what each VM refuses, and why")->callback([&context] {
        context.command = [&context] { return listQuarantined(context); };
    });
    CLI::App &liftCommand = *command.add_subcommand(
            "lift", "serve requests with a segment again; further crashes count anew");
    const std::shared_ptr<LiftArguments> arguments = std::make_shared<LiftArguments>();
    liftCommand.add_option("--model", arguments->model)->required();
    liftCommand.add_option("--segment", arguments->segment, "hexadecimal id, as the list shows it")
            ->required();
    liftCommand.callback([&context, arguments] {
        context.command = [&context, arguments] { return lift(context, *arguments); };
    });
}

} // namespace teaseldrift::ctl
