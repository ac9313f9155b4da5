#include <fstream>
#include <iterator>
#include <memory>
#include <ostream>

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

struct RouteQuery
{
    std::string organisation;
    std::string model;
    std::string prompt;
    std::string promptFile;
};

std::string yesNo(bool value)
{
    return value ? "yes" : "no";
}

std::vector<std::string> statusRow(const VmResponse &response)
{
    const std::string address = http::toString(response.vm);
    VmStatus status;
    if (!response.reached) {
        return {address, "", "unreachable"};
    }
    if (response.status != statusOk || !parseStatus(response.body, status)) {
        return {address, "", "answered " + std::to_string(response.status)};
    }
    return {address,
            status.vmId,
            status.leaving ? "leaving" : "live",
            std::to_string(status.incarnation),
            std::to_string(status.revision),
            yesNo(status.configurationCurrent),
            std::to_string(status.targets),
            std::to_string(status.organisations)};
}

void showJson(const Context &context, const std::vector<VmResponse> &responses)
{
    constexpr int indent = 2;
    json all = json::array();
    for (const VmResponse &response : responses) {
        const json body = parseJson(response.body);
        all.push_back({{"address", http::toString(response.vm)},
                       {"reached", response.reached},
                       {"http_status", response.status},
                       {"status", body.is_discarded() ? json() : body}});
    }
    context.out << all.dump(indent) << "\n";
}

ExitCode status(const Context &context)
{
    if (context.vmAddresses.empty()) {
        return context.fail(ExitCode::Usage,
                            "status needs --vms: IP:port of one or more VMs, comma-separated");
    }
    const std::vector<VmResponse> responses
            = queryVms(context.vms(), context.adminToken, {.path = "/admin/status"});
    bool allHealthy = true;
    Table table{.header = {"address", "vm", "state", "incarnation", "revision", "current",
                           "targets", "organisations"}};
    for (const VmResponse &response : responses) {
        table.rows.push_back(statusRow(response));
        allHealthy = allHealthy && response.reached && response.status == statusOk;
    }
    if (context.isJson()) {
        showJson(context, responses);
    } else {
        context.show(table);
    }
    return allHealthy ? ExitCode::Ok : ExitCode::Failure;
}

ExitCode explainRoute(const Context &context, const RouteQuery &query)
{
    const std::vector<http::Endpoint> vms = context.vms();
    if (vms.empty()) {
        return context.fail(
                ExitCode::Usage,
                "explain-route needs --vms: IP:port of the VM to query (the first one if several)");
    }
    std::string prompt = query.prompt;
    if (!query.promptFile.empty()) {
        std::ifstream file(query.promptFile);
        if (!file) {
            return context.fail(ExitCode::Usage, "cannot read prompt file " + query.promptFile);
        }
        prompt.assign(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    }
    const json body
            = {{"organisation", query.organisation}, {"model", query.model}, {"prompt", prompt}};
    const VmResponse response = queryVms(std::span(vms).first(1), context.adminToken,
                                         {.method = "POST",
                                          .path = "/admin/explain-route",
                                          .headers = {{"content-type", "application/json"}},
                                          .body = body.dump()})
                                        .front();
    if (!response.reached || response.status != statusOk) {
        return context.fail(ExitCode::Failure, "the VM answered " + std::to_string(response.status)
                                                       + " " + response.body);
    }
    constexpr int indent = 2;
    const json parsed = parseJson(response.body);
    context.out << (parsed.is_discarded() ? response.body : parsed.dump(indent)) << "\n";
    return ExitCode::Ok;
}

} // namespace

void addFleetCommands(CLI::App &app, Context &context)
{
    app.add_subcommand("status", "show the status of each VM")->callback([&context] {
        context.command = [&context] { return status(context); };
    });
    CLI::App &command = *app.add_subcommand(
            "explain-route", "show which target a VM would select for a prompt, and why");
    const std::shared_ptr<RouteQuery> query = std::make_shared<RouteQuery>();
    command.add_option("--organisation", query->organisation)->required();
    command.add_option("--model", query->model)->required();
    command.add_option("--prompt", query->prompt);
    command.add_option("--prompt-file", query->promptFile);
    command.callback([&context, query] {
        context.command = [&context, query] { return explainRoute(context, *query); };
    });
}

} // namespace teaseldrift::ctl
