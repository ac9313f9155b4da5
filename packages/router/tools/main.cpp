/// teaseldriftd: the router; one process runs on each VM.

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <string>
#include <sys/resource.h>
#include <thread>
#include <vector>

#include <CLI/CLI.hpp>

#include "teaseldrift/router/daemon.hpp"
#include "teaseldrift/router/settings_validation.hpp"
#include "teaseldrift/schema/message_errors.hpp"
#include "teaseldrift/settings/settings.hpp"
#include "teaseldrift/telemetry/log.hpp"

namespace {

using namespace teaseldrift;

/// Exit codes, which docs/OPERATIONS.md describes.
enum ExitCode {
    Success = 0,
    CannotStart = 1,
    BadSettings = 2,
    RequestsAborted = 3,
};

uint64_t randomNumber()
{
    constexpr int bits = 32;
    std::random_device device;
    return (static_cast<uint64_t>(device()) << bits) | device();
}

/// Raises the soft limit of file descriptors to the hard limit, because each connection to a caller
/// or target needs a descriptor.
void raiseDescriptorLimit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

int serve(const schema::RouterSettings &settings, const sigset_t &signals)
{
    router::Daemon daemon(settings, {.incarnation = randomNumber() | 1U, .seed = randomNumber()});
    const std::error_code error = daemon.start();
    if (error) {
        std::cerr << "cannot start: " << error.message() << "\n";
        return CannotStart;
    }
    // Further signals only repeat the request for a graceful shutdown; they abort nothing.
    std::thread([&daemon, &signals] {
        int number = 0;
        while (sigwait(&signals, &number) == 0) {
            daemon.requestShutdown();
        }
    }).detach();
    const router::ShutdownOutcome outcome = daemon.run();
    // Exits without destroying the daemon, which the signal thread still references.
    std::_Exit(outcome == router::ShutdownOutcome::Graceful ? Success : RequestsAborted);
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("teaseldriftd: router for language-model traffic");
    schema::RouterSettings settings;
    settings::addOptions(app, settings);
    CLI11_PARSE(app, argc, argv);
    const std::vector<std::string> errors = router::validateSettings(settings);
    for (const std::string &error : errors) {
        std::cerr << error << "\n";
    }
    if (!errors.empty()) {
        return BadSettings;
    }
    if (settings.print_settings()) {
        std::cout << settings::formatSettings(settings);
        return Success;
    }
    if (settings.check()) {
        std::cout << "settings are valid\n";
        return Success;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    raiseDescriptorLimit();
    schema::silenceMessageErrors();
    telemetry::configureLogging(settings.log_level());
    return serve(settings, signals);
}
