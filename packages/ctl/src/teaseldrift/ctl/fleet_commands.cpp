#include <fstream>
#include <iterator>
#include <memory>
#include <ostream>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "teaseldrift/ctl/commands.hpp"
#include "teaseldrift/ctl/context.hpp"
#include "teaseldrift/ctl/vm_admin.hpp"

namespace teaseldrift::ctl {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;

struct RouteQuestion
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

std::vector<std::string> statusRow(const VmAnswer &answer)
{
    const std::string address = http::toString(answer.vm);
    VmStatus status;
    if (!answer.reached) {
        return {address, "", "unreachable"};
    }
    if (answer.status != statusOk || !parseStatus(answer.body, status)) {
        return {address, "", "answered " + std::to_string(answer.status)};
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

void showJson(const Context &context, const std::vector<VmAnswer> &answers)
{
    constexpr int indent = 2;
    json all = json::array();
    for (const VmAnswer &answer : answers) {
        const json body = json::parse(answer.body, nullptr, false);
        all.push_back({{"address", http::toString(answer.vm)},
                       {"reached", answer.reached},
                       {"http_status", answer.status},
                       {"status", body.is_discarded() ? json() : body}});
    }
    context.out << all.dump(indent) << "\n";
}

ExitCode status(const Context &context)
{
    if (context.vmAddresses.empty()) {
        return context.fail(ExitCode::Usage, "status needs --vms");
    }
    const std::vector<VmAnswer> answers
            = askVms(context.vms(), context.adminToken, {.path = "/admin/status"});
    bool allGood = true;
    Table table{.head = {"address", "vm", "state", "incarnation", "revision", "current", "targets",
                         "organisations"}};
    for (const VmAnswer &answer : answers) {
        table.rows.push_back(statusRow(answer));
        allGood = allGood && answer.reached && answer.status == statusOk;
    }
    if (context.isJson()) {
        showJson(context, answers);
    } else {
        context.show(table);
    }
    return allGood ? ExitCode::Ok : ExitCode::Failure;
}

ExitCode explainRoute(const Context &context, const RouteQuestion &question)
{
    const std::vector<http::Endpoint> vms = context.vms();
    if (vms.empty()) {
        return context.fail(ExitCode::Usage, "explain-route needs --vms; the first one is asked");
    }
    std::string prompt = question.prompt;
    if (!question.promptFile.empty()) {
        std::ifstream file(question.promptFile);
        if (!file) {
            return context.fail(ExitCode::Usage, "cannot read " + question.promptFile);
        }
        prompt.assign(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    }
    const json body = {
            {"organisation", question.organisation}, {"model", question.model}, {"prompt", prompt}};
    const VmAnswer answer = askVms(std::span(vms).first(1), context.adminToken,
                                   {.method = "POST",
                                    .path = "/admin/explain-route",
                                    .headers = {{"content-type", "application/json"}},
                                    .body = body.dump()})
                                    .front();
    if (!answer.reached || answer.status != statusOk) {
        return context.fail(ExitCode::Failure,
                            "the VM answered " + std::to_string(answer.status) + " " + answer.body);
    }
    constexpr int indent = 2;
    const json parsed = json::parse(answer.body, nullptr, false);
    context.out << (parsed.is_discarded() ? answer.body : parsed.dump(indent)) << "\n";
    return ExitCode::Ok;
}

} // namespace

void addFleetCommands(CLI::App &app, Context &context)
{
    app.add_subcommand("status", "what each VM sees")->callback([&context] {
        context.command = [&context] { return status(context); };
    });
    CLI::App &command = *app.add_subcommand("explain-route", "why a VM would choose which target");
    const std::shared_ptr<RouteQuestion> question = std::make_shared<RouteQuestion>();
    command.add_option("--organisation", question->organisation)->required();
    command.add_option("--model", question->model)->required();
    command.add_option("--prompt", question->prompt);
    command.add_option("--prompt-file", question->promptFile);
    command.callback([&context, question] {
        context.command = [&context, question] { return explainRoute(context, *question); };
    });
}

} // namespace teaseldrift::ctl
