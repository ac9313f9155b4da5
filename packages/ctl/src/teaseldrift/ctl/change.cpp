#include "teaseldrift/ctl/change.hpp"

#include <ostream>
#include <thread>

#include <openssl/rand.h>

#include "teaseldrift/configuration/acceptance.hpp"
#include "teaseldrift/configuration/validation.hpp"
#include "teaseldrift/ctl/configuration_store.hpp"
#include "teaseldrift/ctl/vm_admin.hpp"
#include "teaseldrift/http/event_loop.hpp"

namespace teaseldrift::ctl {

namespace {

constexpr std::chrono::milliseconds pollInterval(100);

std::string randomChangeId()
{
    constexpr size_t idBytes = 16;
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned char lowNibble = 15;
    unsigned char bytes[idBytes];
    RAND_bytes(bytes, idBytes);
    std::string id;
    for (const unsigned char byte : bytes) {
        id += digits[byte >> 4U];
        id += digits[byte & lowNibble];
    }
    return id;
}

http::Endpoint storeOf(const Context &context)
{
    http::Endpoint endpoint;
    http::parseEndpoint(context.storeAddress, endpoint);
    return endpoint;
}

AcceptanceReport reportOf(const VmAnswer &answer, uint64_t revision)
{
    VmStatus status;
    parseStatus(answer.body, status);
    return {
            .vmId = http::toString(answer.vm),
            .incarnation = status.incarnation,
            .holds = status.revision >= revision,
            .canVote = status.votes,
            .sentAt = answer.sentAt,
            .receivedAt = answer.receivedAt,
            .knownVms = status.knownVms,
    };
}

std::string joined(const std::vector<std::string> &words)
{
    std::string text;
    for (const std::string &word : words) {
        text += (text.empty() ? "" : ", ") + word;
    }
    return text;
}

/// Asks the VMs until the change is in force wherever requests could still be served.
ExitCode waitUntilInForce(const Context &context, uint64_t revision)
{
    if (context.noWait || context.vmAddresses.empty()) {
        return ExitCode::Ok;
    }
    const std::vector<http::Endpoint> vms = context.vms();
    const Instant writtenAt = http::EventLoop::now();
    AcceptanceTracker tracker(context.vmAddresses, writtenAt,
                              {.confirmationTimeout = std::chrono::seconds(context.waitSeconds)});
    while (true) {
        for (const VmAnswer &answer : askVms(vms, context.adminToken, {.path = "/admin/status"})) {
            if (answer.reached && answer.status == 200) {
                tracker.onReport(reportOf(answer, revision));
            }
        }
        const AcceptanceState state = tracker.state(http::EventLoop::now());
        if (state == AcceptanceState::Accepted) {
            return ExitCode::Ok;
        }
        if (state == AcceptanceState::Unconfirmed) {
            return context.fail(ExitCode::Unclear, "written at revision " + std::to_string(revision)
                                                           + ", not yet in force on "
                                                           + joined(tracker.unconfirmedVms()));
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

ExitCode refuse(const Context &context, const std::vector<ValidationError> &errors)
{
    for (const ValidationError &error : errors) {
        context.fail(ExitCode::Usage, error.path + ": " + error.message);
    }
    return ExitCode::Usage;
}

ExitCode writeChanges(const Context &context, ConfigurationStore &store,
                      const std::vector<DocumentChange> &changes, std::string_view changeId)
{
    const ChangeReport report = store.write(changes, changeId);
    switch (report.result) {
    case ChangeResult::Written:
        return waitUntilInForce(context, report.revision);
    case ChangeResult::Conflict:
        return context.fail(ExitCode::Conflict,
                            "another change came first, nothing was written; it changed:\n"
                                    + report.winnerDiff);
    case ChangeResult::NotSent:
        return context.fail(ExitCode::Failure, "the store " + context.storeAddress
                                                       + " cannot be reached, nothing was written");
    default:
        return context.fail(ExitCode::Unclear,
                            "the store's answer was lost; change " + std::string(changeId)
                                    + " may still take effect. Look with: teaseldriftctl get");
    }
}

} // namespace

ExitCode readConfiguration(const Context &context, schema::Configuration &configuration)
{
    ConfigurationStore store(storeOf(context), context.prefix);
    const ConfigurationRead read = store.read();
    if (read.error) {
        return context.fail(ExitCode::Failure, "cannot read the store " + context.storeAddress
                                                       + ": " + read.error.message());
    }
    configuration = toConfiguration(read.documents);
    return ExitCode::Ok;
}

ExitCode changeConfiguration(const Context &context, const Edit &edit, bool showsDiff)
{
    ConfigurationStore store(storeOf(context), context.prefix);
    const ConfigurationRead read = store.read();
    if (read.error) {
        return context.fail(ExitCode::Failure, "cannot read the store " + context.storeAddress
                                                       + ": " + read.error.message());
    }
    schema::Configuration wanted = toConfiguration(read.documents);
    const std::string obstacle = edit(wanted);
    if (!obstacle.empty()) {
        return context.fail(ExitCode::Usage, obstacle);
    }
    const std::vector<ValidationError> errors = validate(wanted);
    if (!errors.empty()) {
        return refuse(context, errors);
    }
    const std::string changeId = randomChangeId();
    const std::vector<DocumentChange> changes = planChanges(read.documents, wanted, changeId);
    if (showsDiff || context.dryRun) {
        context.out << (changes.empty() ? "no difference\n" : formatDiff(changes));
    }
    if (changes.empty() || context.dryRun) {
        return ExitCode::Ok;
    }
    return writeChanges(context, store, changes, changeId);
}

} // namespace teaseldrift::ctl
