#include <fstream>
#include <memory>
#include <ostream>

#include <unistd.h>

#include <CLI/CLI.hpp>

#include "teaseldrift/ctl/commands.hpp"
#include "teaseldrift/ctl/context.hpp"
#include "teaseldrift/load/load_run.hpp"

namespace teaseldrift::ctl {

namespace {

struct LoadFlags
{
    load::LoadOptions options;
    uint32_t ioTimeoutSeconds = 60;
    bool quiet = false;
    bool failOnRefusal = false;
    /// Gets the result as JSON besides what is printed.
    std::string jsonFile;
};

void addWorkloadFlags(CLI::App &command, load::WorkloadOptions &workload)
{
    command.add_option("--seed", workload.seed, "decides arrivals and prompts");
    command.add_option("--levels", workload.levels, "levels of shared text");
    command.add_option("--branching", workload.branching, "texts of a level inside another")
            ->check(CLI::PositiveNumber);
    command.add_option("--skew", workload.skew, "Zipf exponent over the texts of a level");
    command.add_option("--level-tokens", workload.levelTokens, "tokens of one level");
    command.add_option("--question-tokens", workload.questionTokens, "tokens that are not shared");
    command.add_option("--model", workload.model);
    command.add_option("--max-tokens", workload.maxTokens)->check(CLI::PositiveNumber);
}

void addTrafficFlags(CLI::App &command, LoadFlags &flags)
{
    load::LoadOptions &options = flags.options;
    command.add_option("--key", options.keys, "keys that take turns")
            ->envname("TEASELDRIFT_KEYS")
            ->delimiter(',');
    command.add_option("--rate", options.requestsPerS, "requests a second")
            ->check(CLI::PositiveNumber);
    command.add_option("--requests", options.requests)->check(CLI::PositiveNumber);
    command.add_option("--max-open", options.maxInFlight, "requests open at once")
            ->check(CLI::PositiveNumber);
    command.add_option("--max-tries", options.maxAttempts, "tries while a VM says not run");
    command.add_option("--silence-s", flags.ioTimeoutSeconds, "longest silence within an answer");
    command.add_option("--plain", options.plainPath, "non-idempotent calls to this path instead");
    command.add_flag("--entry", options.discoverEntryVms, "ask GET /v1/entry which VMs to use");
    command.add_flag("--verify-standin", options.verifyStandin,
                     "compare each answer with the stand-in's");
    command.add_flag("--fail-on-refusal", flags.failOnRefusal, "exit 1 if anything was refused");
    command.add_option("--json-file", flags.jsonFile, "gets the result as JSON as well");
    command.add_flag("--quiet", flags.quiet, "no progress lines");
}

ExitCode runCommand(const Context &context, LoadFlags &flags)
{
    flags.options.vms = context.vms();
    if (flags.options.vms.empty()) {
        return context.fail(ExitCode::Usage, "load needs --vms");
    }
    flags.options.ioTimeout = std::chrono::seconds(flags.ioTimeoutSeconds);
    flags.options.progress = !flags.quiet && isatty(STDERR_FILENO) == 1;
    const load::LoadResult result = load::runLoad(flags.options);
    context.out << (context.isJson() ? load::toJson(result) : load::toTable(result));
    if (!flags.jsonFile.empty()) {
        std::ofstream(flags.jsonFile) << load::toJson(result);
    }
    const bool hadRefusals = result.all.refusedTotal() + result.all.unreachable > 0;
    const bool isGood = result.all.hasNoViolations() && !(flags.failOnRefusal && hadRefusals);
    return isGood ? ExitCode::Ok : ExitCode::Failure;
}

} // namespace

void addLoadCommand(CLI::App &app, Context &context)
{
    CLI::App &command = *app.add_subcommand("load", "send open-loop traffic and measure it");
    const std::shared_ptr<LoadFlags> flags = std::make_shared<LoadFlags>();
    addTrafficFlags(command, *flags);
    addWorkloadFlags(command, flags->options.workload);
    command.callback([&context, flags] {
        context.command = [&context, flags] { return runCommand(context, *flags); };
    });
}

} // namespace teaseldrift::ctl
