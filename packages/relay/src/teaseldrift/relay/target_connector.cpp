#include "teaseldrift/relay/target_connector.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "forwarding_messages.hpp"
#include "teaseldrift/relay/request_forwarder.hpp"
#include "teaseldrift/relay/unresponsive_vms.hpp"

namespace teaseldrift::relay {

using telemetry::EventPriority;

namespace {

constexpr int statusOk = 200;

/// Longer than any reason of RequestForwarder.
constexpr size_t maxRefusalBytes = 64;

/// Interval at which requests without an answer are looked for.
constexpr Duration silenceCheckInterval = 100ms;

/// Interval at which it is checked whether cut paths are due to be tried again.
constexpr Duration probeCheckInterval = 100ms;

TargetTransport transportOf(http::Client &targets)
{
    return {.start =
                    [&targets](const http::Endpoint &endpoint, http::Request request,
                               http::ConnectionUse use, http::CallHandlers handlers) {
                        return targets.start(endpoint, std::move(request), use,
                                             std::move(handlers));
                    },
            .connect =
                    [&targets](const http::Endpoint &endpoint,
                               std::function<void(http::CallOutcome)> onEnd) {
                        return targets.connect(endpoint, std::move(onEnd));
                    }};
}

} // namespace

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

const schema::VmRecord *TargetConnector::Impl::chooseVm(const TargetCallOptions &call,
                                                        const std::vector<std::string> &triedVms,
                                                        const std::vector<std::string> &triedZones,
                                                        Instant now) const
{
    std::vector<ForwardingVm> vms;
    for (const std::pair<const std::string, schema::VmRecord> &vm : fleet.vms()) {
        const bool wasTried
                = std::find(triedVms.begin(), triedVms.end(), vm.first) != triedVms.end();
        if (vm.first != fleet.options().vmId && !vm.second.is_leaving() && !wasTried
            && !unhelpful.contains(vm.first, now)) {
            vms.push_back({.id = vm.first, .availabilityZone = vm.second.availability_zone()});
        }
    }
    const TargetEntry *target = fleet.directory().find(call.targetId);
    const std::string_view targetZone
            = target == nullptr ? std::string_view() : target->availabilityZone;
    const std::optional<size_t> chosen
            = fleet.targetPaths().chooseVm(call.targetAddress, targetZone, vms, triedZones, now);
    return chosen ? fleet.findVm(vms[*chosen].id) : nullptr;
}

void TargetConnector::Impl::setCut(const TargetCallOptions &call, std::string_view vmId,
                                   const std::vector<std::string> &failedZones, Instant now)
{
    if (!fleet.targetPaths().reachedByOther(call.targetAddress, vmId, failedZones, now)) {
        return;
    }
    cutTargets.insert_or_assign(call.targetAddress, call.targetId);
    log.write(EventPriority::Important, "path_cut",
              {{"target", std::string_view(call.targetId)},
               {"address", std::string_view(call.targetAddress)},
               {"reached_by", vmId},
               {"cut_paths", static_cast<int64_t>(fleet.targetPaths().cutCount())}});
    startProbeTimer();
}

void TargetConnector::Impl::setReached(std::string_view address, Instant now)
{
    if (!fleet.targetPaths().reached(address, now)) {
        return;
    }
    log.write(EventPriority::Important, "path_restored",
              {{"address", address},
               {"cut_paths", static_cast<int64_t>(fleet.targetPaths().cutCount())}});
    forget(address);
}

void TargetConnector::Impl::forget(std::string_view address)
{
    fleet.targetPaths().remove(address);
    const auto found = cutTargets.find(address);
    if (found != cutTargets.end()) {
        cutTargets.erase(found);
    }
}

void TargetConnector::Impl::startSilenceTimer()
{
    if (silenceTimer == 0) {
        silenceTimer = loop.startTimer(silenceCheckInterval, [weak = weak_from_this()] {
            if (const std::shared_ptr<Impl> self = weak.lock()) {
                self->silenceTimer = 0;
                self->checkSilence();
            }
        });
    }
}

/// Looks for requests on paths that have fallen silent: the kernel notices them much later.
void TargetConnector::Impl::checkSilence()
{
    const Instant now = http::EventLoop::now();
    std::erase_if(directCalls, [](const std::weak_ptr<RoutedCall::Impl> &weak) {
        const std::shared_ptr<RoutedCall::Impl> call = weak.lock();
        return call == nullptr || !call->unansweredSince;
    });
    std::vector<std::shared_ptr<RoutedCall::Impl>> silent;
    for (const std::weak_ptr<RoutedCall::Impl> &weak : directCalls) {
        const std::shared_ptr<RoutedCall::Impl> call = weak.lock();
        if (now - *call->unansweredSince < options.silenceTime) {
            break;
        }
        silent.push_back(call);
        fleet.targetPaths().silent(call->options.targetAddress, now);
    }
    logCutOff(now);
    if (isCutOff) {
        for (const std::shared_ptr<RoutedCall::Impl> &call : silent) {
            call->onPathLost();
        }
    }
    if (!directCalls.empty() || isCutOff) {
        startSilenceTimer();
    }
}

void TargetConnector::Impl::logCutOff(Instant now)
{
    const bool wasCutOff = std::exchange(isCutOff, fleet.targetPaths().isVmCutOff(now));
    if (wasCutOff != isCutOff) {
        log.write(EventPriority::Important, isCutOff ? "vm_cut_off" : "vm_reaches_targets",
                  {{"cut_paths", static_cast<int64_t>(fleet.targetPaths().cutCount())},
                   {"unanswered", static_cast<int64_t>(directCalls.size())}});
    }
}

const schema::VmRecord *TargetConnector::Impl::knownHelper(const std::vector<std::string> &triedVms,
                                                           Instant now) const
{
    const bool isTried = std::find(triedVms.begin(), triedVms.end(), lastHelper) != triedVms.end();
    if (isTried || now - lastHelpAt > options.helperMemory || unhelpful.contains(lastHelper, now)) {
        return nullptr;
    }
    const schema::VmRecord *vm = fleet.findVm(lastHelper);
    return vm != nullptr && !vm->is_leaving() ? vm : nullptr;
}

void TargetConnector::Impl::startProbeTimer()
{
    if (probeTimer == 0) {
        probeTimer = loop.startTimer(probeCheckInterval, [weak = weak_from_this()] {
            if (const std::shared_ptr<Impl> self = weak.lock()) {
                self->probeTimer = 0;
                self->probe();
            }
        });
    }
}

void TargetConnector::Impl::probe()
{
    for (const std::string &address : fleet.targetPaths().takeProbes(http::EventLoop::now())) {
        const auto id = cutTargets.find(address);
        const TargetEntry *target
                = id == cutTargets.end() ? nullptr : fleet.directory().find(id->second);
        http::Endpoint endpoint;
        if (target == nullptr || target->address != address
            || !http::parseEndpoint(address, endpoint)) {
            forget(address);
            continue;
        }
        probes[address] = transport.connect(
                endpoint, [weak = weak_from_this(), address](http::CallOutcome outcome) {
                    const std::shared_ptr<Impl> self = weak.lock();
                    if (self && outcome == http::CallOutcome::Complete) {
                        self->setReached(address, http::EventLoop::now());
                    }
                });
    }
    if (fleet.targetPaths().cutCount() > 0) {
        startProbeTimer();
    } else {
        probes.clear();
    }
}

void RoutedCall::Impl::start()
{
    const TargetPaths &paths = connector->fleet.targetPaths();
    const bool isCut
            = paths.isCut(options.targetAddress) || paths.isVmCutOff(http::EventLoop::now());
    if (!isCut || !startForwarded()) {
        startDirect();
    }
}

void RoutedCall::Impl::startDirect()
{
    isDirectTried = true;
    vmId.clear();
    const std::weak_ptr<Impl> weak = weak_from_this();
    call = connector->transport.start(
            endpoint, request, options.use,
            {.onSent =
                     [weak] {
                         if (const std::shared_ptr<Impl> self = weak.lock()) {
                             self->request = {};
                             self->unansweredSince = http::EventLoop::now();
                             self->connector->directCalls.push_back(weak);
                             self->connector->startSilenceTimer();
                             self->handlers.onSent();
                         }
                     },
             .matchesRequest = handlers.matchesRequest,
             .onHead =
                     [weak](const http::ResponseHead &head) {
                         if (const std::shared_ptr<Impl> self = weak.lock()) {
                             self->onDirectAnswer();
                             self->handlers.onHead(head);
                         }
                     },
             .onData =
                     [weak](std::string_view data) {
                         if (const std::shared_ptr<Impl> self = weak.lock()) {
                             self->connector->fleet.targetPaths().arrived(http::EventLoop::now());
                             self->handlers.onData(data);
                         }
                     },
             .onEnd =
                     [weak](http::CallOutcome outcome) {
                         if (const std::shared_ptr<Impl> self = weak.lock()) {
                             self->onDirectEnd(outcome);
                         }
                     }});
}

void RoutedCall::Impl::onDirectAnswer()
{
    unansweredSince.reset();
    connector->fleet.targetPaths().arrived(http::EventLoop::now());
}

/// The request hangs on a path that is cut. It may have reached the target.
void RoutedCall::Impl::onPathLost()
{
    if (isEnded || std::exchange(isPathLost, true)) {
        return;
    }
    if (options.onPathLost) {
        options.onPathLost();
    }
    if (options.isRepeatable) {
        call.reset();
        end(http::CallOutcome::Broken);
    }
}

void RoutedCall::Impl::onDirectEnd(http::CallOutcome outcome)
{
    const Instant now = http::EventLoop::now();
    unansweredSince.reset();
    if (outcome != http::CallOutcome::NotSent) {
        end(outcome);
        return;
    }
    const bool mayAsk
            = connector->fleet.targetPaths().mayBeReachedByOthers(options.targetAddress, now);
    if (!mayAsk || !startForwarded()) {
        end(http::CallOutcome::NotSent);
    }
}

bool RoutedCall::Impl::startForwarded()
{
    const Instant now = http::EventLoop::now();
    if (failedVms >= connector->options.maxVms
        || triedVms.size() >= connector->options.maxVms + connector->options.maxRefusals) {
        return false;
    }
    // While VMs of the path's own zones lack it, any VM that has it will do.
    const schema::VmRecord *vm
            = failedZones.empty() ? nullptr : connector->knownHelper(triedVms, now);
    vm = vm == nullptr ? connector->chooseVm(options, triedVms, failedZones, now) : vm;
    http::Endpoint vmEndpoint;
    if (vm == nullptr || !http::parseEndpoint(vm->peer_address(), vmEndpoint)) {
        return false;
    }
    vmId = vm->vm_id();
    triedVms.push_back(vmId);
    forwarding = ForwardingState::Waiting;
    forwardingStatus = 0;
    refusal.clear();
    parts = {};
    const std::weak_ptr<Impl> weak = weak_from_this();
    const schema::ForwardedRequest message
            = writeForwardedRequest(options.targetId, options.targetAddress, request, options.use);
    // Of an idle connection it is not known whether the other VM still reads it.
    call = connector->peers.start(vmEndpoint,
                                  {.method = "POST",
                                   .path = std::string(RequestForwarder::path),
                                   .body = message.SerializeAsString()},
                                  http::ConnectionUse::Fresh,
                                  {.onSent =
                                           [weak] {
                                               if (const std::shared_ptr<Impl> self = weak.lock()) {
                                                   self->handlers.onSent();
                                               }
                                           },
                                   .onHead =
                                           [weak](const http::ResponseHead &head) {
                                               if (const std::shared_ptr<Impl> self = weak.lock()) {
                                                   self->forwardingStatus = head.status;
                                               }
                                           },
                                   .onData =
                                           [weak](std::string_view data) {
                                               if (const std::shared_ptr<Impl> self = weak.lock()) {
                                                   self->onForwardedData(data);
                                               }
                                           },
                                   .onEnd =
                                           [weak](http::CallOutcome outcome) {
                                               if (const std::shared_ptr<Impl> self = weak.lock()) {
                                                   self->onForwardedEnd(outcome);
                                               }
                                           }});
    connector->loop.cancelTimer(timer);
    timer = connector->loop.startTimer(connector->options.forwardingTimeout, [weak] {
        if (const std::shared_ptr<Impl> self = weak.lock()) {
            self->timer = 0;
            self->onForwardingTimeout();
        }
    });
    return true;
}

void RoutedCall::Impl::onForwardedData(std::string_view data)
{
    if (isEnded) {
        return;
    }
    if (forwardingStatus != statusOk) {
        refusal += data.substr(0, maxRefusalBytes - std::min(maxRefusalBytes, refusal.size()));
        return;
    }
    const std::shared_ptr<Impl> self = shared_from_this();
    const bool isValid = parts.append(data, [this](const schema::ForwardedResponsePart &part) {
        if (!isEnded) {
            onPart(part);
        }
    });
    if (!isValid && !isEnded) {
        // The handler that is running belongs to this call, so it is not destroyed here.
        end(http::CallOutcome::Broken);
    }
}

void RoutedCall::Impl::onPart(const schema::ForwardedResponsePart &part)
{
    const Instant now = http::EventLoop::now();
    switch (part.part_case()) {
    case schema::ForwardedResponsePart::kSent:
        forwarding = ForwardingState::Sent;
        connector->loop.cancelTimer(timer);
        timer = 0;
        connector->setCut(options, vmId, failedZones, now);
        connector->lastHelper = vmId;
        connector->lastHelpAt = now;
        connector->metrics.counter({"teaseldrift_requests_through_vms_total"}).add();
        connector->log.write(EventPriority::Routine, "request_through_vm",
                             {{"request_id", std::string_view(options.requestId)},
                              {"target", std::string_view(options.targetId)},
                              {"vm", std::string_view(vmId)}});
        request = {};
        break;
    case schema::ForwardedResponsePart::kNotSent:
        forwarding = ForwardingState::NotSent;
        break;
    case schema::ForwardedResponsePart::kHead:
        handlers.onHead(readForwardedHead(part.head()));
        break;
    case schema::ForwardedResponsePart::kData:
        handlers.onData(part.data());
        break;
    case schema::ForwardedResponsePart::kComplete:
        forwarding = ForwardingState::Complete;
        break;
    case schema::ForwardedResponsePart::PART_NOT_SET:
        break;
    }
}

void RoutedCall::Impl::onForwardedEnd(http::CallOutcome outcome)
{
    connector->loop.cancelTimer(timer);
    timer = 0;
    const Instant now = http::EventLoop::now();
    if (forwarding == ForwardingState::Complete) {
        end(http::CallOutcome::Complete);
        return;
    }
    const bool isRefused = forwardingStatus != 0 && forwardingStatus != statusOk;
    const bool isKnownCut = refusal == RequestForwarder::cutOff;
    failedVms += isKnownCut ? 0 : 1;
    unconnectedVms += forwarding == ForwardingState::NotSent ? 1 : 0;
    if (forwarding == ForwardingState::NotSent || isKnownCut) {
        if (isKnownCut) {
            connector->unhelpful.add(vmId, now);
        }
        const schema::VmRecord *vm = connector->fleet.findVm(vmId);
        failedZones.push_back(vm == nullptr ? std::string() : vm->availability_zone());
        tryNext();
    } else if (isRefused || outcome == http::CallOutcome::NotSent) {
        connector->unhelpful.add(vmId, now);
        tryNext();
    } else {
        connector->unhelpful.add(vmId, now);
        end(http::CallOutcome::Broken);
    }
}

void RoutedCall::Impl::onForwardingTimeout()
{
    connector->unhelpful.add(vmId, http::EventLoop::now());
    if (!options.isRepeatable) {
        return;
    }
    call.reset();
    end(http::CallOutcome::Broken);
}

void RoutedCall::Impl::tryNext()
{
    if (startForwarded()) {
        return;
    }
    if (!isDirectTried) {
        startDirect();
        return;
    }
    if (unconnectedVms > 0) {
        TargetPaths &paths = connector->fleet.targetPaths();
        paths.reachedByNone(options.targetAddress, http::EventLoop::now());
    }
    end(http::CallOutcome::NotSent);
}

void RoutedCall::Impl::end(http::CallOutcome outcome)
{
    if (isEnded) {
        return;
    }
    isEnded = true;
    const std::shared_ptr<Impl> self = shared_from_this();
    connector->loop.cancelTimer(timer);
    timer = 0;
    const std::function<void(http::CallOutcome)> onEnd = handlers.onEnd;
    onEnd(outcome);
}

void RoutedCall::Impl::cancel()
{
    isEnded = true;
    connector->loop.cancelTimer(timer);
    timer = 0;
    call.reset();
}

RoutedCall::RoutedCall(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) { }

RoutedCall::~RoutedCall()
{
    m_impl->cancel();
}

void RoutedCall::pause()
{
    if (m_impl->call) {
        m_impl->call->pause();
    }
}

void RoutedCall::resume()
{
    if (m_impl->call) {
        m_impl->call->resume();
    }
}

void RoutedCall::expectData()
{
    if (m_impl->call) {
        m_impl->call->expectData();
    }
}

std::string_view RoutedCall::vmId() const
{
    return m_impl->vmId;
}

bool RoutedCall::isPathCut() const
{
    const TargetPaths &paths = m_impl->connector->fleet.targetPaths();
    const bool isCut = paths.isCut(m_impl->options.targetAddress)
                       || paths.isVmCutOff(http::EventLoop::now());
    return m_impl->unconnectedVms == 0 && isCut;
}

bool RoutedCall::isPathLost() const
{
    const bool isCutOff = m_impl->connector->fleet.targetPaths().isVmCutOff(http::EventLoop::now());
    return m_impl->isPathLost || (m_impl->vmId.empty() && isCutOff);
}

TargetConnector::TargetConnector(http::EventLoop &loop, http::Client &targets, http::Client &peers,
                                 FleetState &fleet, telemetry::EventLog &log,
                                 telemetry::Metrics &metrics, TargetConnectorOptions options)
    : TargetConnector(loop, transportOf(targets), peers, fleet, log, metrics, options)
{ }

TargetConnector::TargetConnector(http::EventLoop &loop, TargetTransport transport,
                                 http::Client &peers, FleetState &fleet, telemetry::EventLog &log,
                                 telemetry::Metrics &metrics, TargetConnectorOptions options)
    : m_impl(
            std::make_shared<Impl>(loop, std::move(transport), peers, fleet, log, metrics, options))
{ }

TargetConnector::~TargetConnector()
{
    m_impl->loop.cancelTimer(m_impl->probeTimer);
    m_impl->loop.cancelTimer(m_impl->silenceTimer);
    m_impl->probes.clear();
}

std::unique_ptr<RoutedCall> TargetConnector::start(TargetCallOptions options, http::Request request,
                                                   http::CallHandlers handlers)
{
    const std::shared_ptr<RoutedCall::Impl> impl = std::make_shared<RoutedCall::Impl>();
    impl->connector = m_impl;
    impl->options = std::move(options);
    impl->request = std::move(request);
    impl->handlers = std::move(handlers);
    std::unique_ptr<RoutedCall> call = std::make_unique<RoutedCall>(impl);
    if (http::parseEndpoint(impl->options.targetAddress, impl->endpoint)) {
        impl->start();
    } else {
        m_impl->loop.post([weak = std::weak_ptr<RoutedCall::Impl>(impl)] {
            if (const std::shared_ptr<RoutedCall::Impl> self = weak.lock()) {
                self->end(http::CallOutcome::NotSent);
            }
        });
    }
    return call;
}

} // namespace teaseldrift::relay
