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
    /// File to which the result is also written as JSON.
    std::string jsonFile;
};

void addWorkloadFlags(CLI::App &command, load::WorkloadOptions &workload)
{
    command.add_option("--seed", workload.seed, "random seed of arrivals and prompts");
    command.add_option("--levels", workload.levels, "number of nested shared prefixes");
    command.add_option("--branching", workload.branching,
                       "different texts of a level for each text of the level above")
            ->check(CLI::PositiveNumber);
    command.add_option("--skew", workload.skew, "Zipf exponent over the texts of a level");
    command.add_option("--level-tokens", workload.levelTokens, "tokens of shared text per level");
    command.add_option("--question-tokens", workload.questionTokens,
                       "tokens at the end of each prompt that are not shared");
    command.add_option("--model", workload.model);
    command.add_option("--max-tokens", workload.maxTokens)->check(CLI::PositiveNumber);
}

void addTrafficFlags(CLI::App &command, LoadFlags &flags)
{
    load::LoadOptions &options = flags.options;
    command.add_option("--key", options.keys, "API keys, comma-separated, used in turn")
            ->envname("TEASELDRIFT_KEYS")
            ->delimiter(',');
    command.add_option("--rate", options.requestsPerS, "mean arrival rate in requests per second")
            ->check(CLI::PositiveNumber);
    command.add_option("--requests", options.requests)->check(CLI::PositiveNumber);
    command.add_option("--max-open", options.maxInFlight, "maximum number of requests in flight")
            ->check(CLI::PositiveNumber);
    command.add_option("--max-tries", options.maxAttempts,
                       "maximum attempts for a request that was not run");
    command.add_option("--silence-s", flags.ioTimeoutSeconds,
                       "time-out in seconds without data from the VM");
    command.add_option("--plain", options.plainPath,
                       "send non-idempotent calls to this path instead of completions");
    command.add_flag("--entry", options.discoverEntryVms,
                     "query GET /v1/entry for the VMs to connect to");
    command.add_flag("--verify-standin", options.verifyStandin,
                     "compare each response with that of the stand-in engine");
    command.add_flag("--fail-on-refusal", flags.failOnRefusal,
                     "exit 1 if any request was refused or could not be sent");
    command.add_option("--json-file", flags.jsonFile, "also write the result as JSON to this file");
    command.add_flag("--quiet", flags.quiet, "print no progress");
}

ExitCode runCommand(const Context &context, LoadFlags &flags)
{
    flags.options.vms = context.vms();
    if (flags.options.vms.empty()) {
        return context.fail(ExitCode::Usage,
                            "load needs --vms: IP:port of one or more VMs, comma-separated");
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
    CLI::App &command
            = *app.add_subcommand("load", "generate open-loop load and report latency and errors");
    const std::shared_ptr<LoadFlags> flags = std::make_shared<LoadFlags>();
    addTrafficFlags(command, *flags);
    addWorkloadFlags(command, flags->options.workload);
    command.callback([&context, flags] {
        context.command = [&context, flags] { return runCommand(context, *flags); };
    });
}

} // namespace teaseldrift::ctl
