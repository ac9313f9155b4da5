#include <algorithm>
#include <utility>

#include "target_connector_impl.hpp"
#include "teaseldrift/relay/request_forwarder.hpp"

namespace teaseldrift::relay {

using telemetry::EventPriority;

namespace {

constexpr int statusOk = 200;

/// Longer than any reason of RequestForwarder.
constexpr size_t maxRefusalBytes = 64;

} // namespace

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

/// Whether this call's path has fallen silent, as opposed to its target. What the target's host has
/// acknowledged has arrived: the target may be working on it.
bool RoutedCall::Impl::isPathSilent() const
{
    // Where the kernel does not report it, silence counts as before.
    return call && call->isUnacknowledgedFor(connector->options.ackSilence).value_or(true);
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

bool RoutedCall::wasGivenUp() const
{
    return m_impl->call && m_impl->call->wasGivenUp();
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

} // namespace teaseldrift::relay
