#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "forwarding_messages.hpp"
#include "teaseldrift/relay/target_connector.hpp"
#include "teaseldrift/relay/unresponsive_vms.hpp"

namespace teaseldrift::relay {

/// The paths of this VM and the VMs that help: target_connector.cpp. Calls: routed_call.cpp.
struct TargetConnector::Impl : std::enable_shared_from_this<TargetConnector::Impl>
{
    http::EventLoop &loop;
    TargetTransport transport;
    http::Client &peers;
    FleetState &fleet;
    telemetry::EventLog &log;
    telemetry::Metrics &metrics;
    TargetConnectorOptions options;
    UnresponsiveVms unhelpful;
    /// Ids of the targets to which the paths are cut, by address.
    std::map<std::string, std::string, std::less<>> cutTargets;
    std::map<std::string, std::unique_ptr<http::Call>, std::less<>> probes;
    http::EventLoop::TimerId probeTimer = 0;
    /// Requests that were sent to targets directly, in this order, until they are answered.
    std::deque<std::weak_ptr<RoutedCall::Impl>> directCalls;
    http::EventLoop::TimerId silenceTimer = 0;
    bool isCutOff = false;
    /// The VM that last passed a request on, and when.
    std::string lastHelper;
    Instant lastHelpAt;

    Impl(http::EventLoop &eventLoop, TargetTransport targetTransport, http::Client &peerClient,
         FleetState &fleetState, telemetry::EventLog &eventLog, telemetry::Metrics &registry,
         TargetConnectorOptions connectorOptions)
        : loop(eventLoop), transport(std::move(targetTransport)), peers(peerClient),
          fleet(fleetState), log(eventLog), metrics(registry), options(connectorOptions),
          unhelpful(connectorOptions.vmCooldown)
    { }

    [[nodiscard]] const schema::VmRecord *chooseVm(const TargetCallOptions &call,
                                                   const std::vector<std::string> &triedVms,
                                                   const std::vector<std::string> &triedZones,
                                                   Instant now) const;
    void setCut(const TargetCallOptions &call, std::string_view vmId,
                const std::vector<std::string> &failedZones, Instant now);
    void setReached(std::string_view address, Instant now);
    void forget(std::string_view address);
    void startProbeTimer();
    void probe();
    void startSilenceTimer();
    void checkSilence();
    void logCutOff(Instant now);
    [[nodiscard]] const schema::VmRecord *knownHelper(const std::vector<std::string> &triedVms,
                                                      Instant now) const;
};

struct RoutedCall::Impl : std::enable_shared_from_this<RoutedCall::Impl>
{
    enum class ForwardingState {
        /// The other VM has been sent the request and has not answered.
        Waiting,
        /// The other VM has sent the request to the target.
        Sent,
        /// The other VM states that it has sent nothing.
        NotSent,
        Complete,
    };

    std::shared_ptr<TargetConnector::Impl> connector;
    TargetCallOptions options;
    http::Endpoint endpoint;
    /// Emptied once it is sent and cannot be sent another way.
    http::Request request;
    http::CallHandlers handlers;
    std::unique_ptr<http::Call> call;
    http::EventLoop::TimerId timer = 0;
    bool isDirectTried = false;
    /// When the request was sent to the target directly; empty before that and once it is answered.
    std::optional<Instant> unansweredSince;
    bool isPathLost = false;
    /// VMs that tried to pass the request on in vain.
    size_t failedVms = 0;
    /// Those of them that could not connect to the target.
    size_t unconnectedVms = 0;
    /// VMs that were asked, and availability zones of those that could not connect to the target.
    std::vector<std::string> triedVms;
    std::vector<std::string> failedZones;
    std::string vmId;
    ForwardingState forwarding = ForwardingState::Waiting;
    int forwardingStatus = 0;
    /// Why the other VM refused to pass the request on.
    std::string refusal;
    ForwardedPartReader parts;
    bool isEnded = false;

    void start();
    void startDirect();
    void onDirectEnd(http::CallOutcome outcome);
    void onDirectAnswer();
    [[nodiscard]] bool isPathSilent() const;
    void onPathLost();
    /// @return false if there is no VM to ask
    bool startForwarded();
    void onForwardedData(std::string_view data);
    void onPart(const schema::ForwardedResponsePart &part);
    void onForwardedEnd(http::CallOutcome outcome);
    void onForwardingTimeout();
    void tryNext();
    void end(http::CallOutcome outcome);
    void cancel();
};

} // namespace teaseldrift::relay
