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

http::Endpoint storeEndpoint(const Context &context)
{
    http::Endpoint endpoint;
    http::parseEndpoint(context.storeAddress, endpoint);
    return endpoint;
}

AcceptanceReport toAcceptanceReport(const VmResponse &response, uint64_t revision)
{
    VmStatus status;
    parseStatus(response.body, status);
    return {
            .vmId = http::toString(response.vm),
            .incarnation = status.incarnation,
            .holds = status.revision >= revision,
            .canVote = status.canVote,
            .sentAt = response.sentAt,
            .receivedAt = response.receivedAt,
            .knownVms = status.knownVms,
    };
}

std::string join(const std::vector<std::string> &words)
{
    std::string text;
    for (const std::string &word : words) {
        text += (text.empty() ? "" : ", ") + word;
    }
    return text;
}

/// Polls the VMs until the change is accepted, that is, applied by every VM able to serve requests.
ExitCode waitUntilAccepted(const Context &context, uint64_t revision)
{
    if (context.noWait || context.vmAddresses.empty()) {
        return ExitCode::Ok;
    }
    const std::vector<http::Endpoint> vms = context.vms();
    const Instant writtenAt = http::EventLoop::now();
    AcceptanceTracker tracker(context.vmAddresses, writtenAt,
                              {.confirmationTimeout = std::chrono::seconds(context.waitSeconds)});
    while (true) {
        for (const VmResponse &response :
             queryVms(vms, context.adminToken, {.path = "/admin/status"})) {
            if (response.reached && response.status == 200) {
                tracker.onReport(toAcceptanceReport(response, revision));
            }
        }
        const AcceptanceState state = tracker.state(http::EventLoop::now());
        if (state == AcceptanceState::Accepted) {
            return ExitCode::Ok;
        }
        if (state == AcceptanceState::Unconfirmed) {
            return context.fail(ExitCode::Unconfirmed, "written at revision "
                                                               + std::to_string(revision)
                                                               + ", not yet confirmed by "
                                                               + join(tracker.unconfirmedVms()));
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

ExitCode reportErrors(const Context &context, const std::vector<ValidationError> &errors)
{
    for (const ValidationError &error : errors) {
        context.fail(ExitCode::Usage, error.path + ": " + error.message);
    }
    return ExitCode::Usage;
}

ExitCode writeChanges(const Context &context, ConfigurationStore &store,
                      const std::vector<DocumentChange> &changes, std::string_view changeId)
{
    const ConfigurationWriteResult report = store.write(changes, changeId);
    switch (report.outcome) {
    case WriteOutcome::Written:
        return waitUntilAccepted(context, report.revision);
    case WriteOutcome::Conflict:
        return context.fail(
                ExitCode::Conflict,
                "conflict with a concurrent change, nothing was written; the other change:\n"
                        + report.conflictDiff);
    case WriteOutcome::NotApplied:
        return context.fail(ExitCode::Failure, "the store " + context.storeAddress
                                                       + " cannot be reached, nothing was written");
    default:
        return context.fail(ExitCode::Unconfirmed,
                            "the store did not confirm the write; change " + std::string(changeId)
                                    + " may still take effect; check with: teaseldriftctl get");
    }
}

} // namespace

ExitCode readConfiguration(const Context &context, schema::Configuration &configuration)
{
    ConfigurationStore store(storeEndpoint(context), context.prefix);
    const ConfigurationReadResult read = store.read();
    if (read.error) {
        return context.fail(ExitCode::Failure, "cannot read the store " + context.storeAddress
                                                       + ": " + read.error.message());
    }
    configuration = toConfiguration(read.documents);
    return ExitCode::Ok;
}

ExitCode changeConfiguration(const Context &context, const Edit &edit, bool showsDiff)
{
    ConfigurationStore store(storeEndpoint(context), context.prefix);
    const ConfigurationReadResult read = store.read();
    if (read.error) {
        return context.fail(ExitCode::Failure, "cannot read the store " + context.storeAddress
                                                       + ": " + read.error.message());
    }
    schema::Configuration desired = toConfiguration(read.documents);
    const std::string error = edit(desired);
    if (!error.empty()) {
        return context.fail(ExitCode::Usage, error);
    }
    const std::vector<ValidationError> errors = validate(desired);
    if (!errors.empty()) {
        return reportErrors(context, errors);
    }
    const std::string changeId = randomChangeId();
    const std::vector<DocumentChange> changes = planChanges(read.documents, desired, changeId);
    if (showsDiff || context.dryRun) {
        context.out << (changes.empty() ? "no difference\n" : formatDiff(changes));
    }
    if (changes.empty() || context.dryRun) {
        return ExitCode::Ok;
    }
    return writeChanges(context, store, changes, changeId);
}

} // namespace teaseldrift::ctl
