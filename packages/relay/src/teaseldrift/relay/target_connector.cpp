#include "teaseldrift/relay/target_connector.hpp"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "target_connector_impl.hpp"

namespace teaseldrift::relay {

using telemetry::EventPriority;

namespace {

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
        if (call->isPathSilent()) {
            fleet.targetPaths().silent(call->options.targetAddress, now);
        }
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
