#include "teaseldrift/relay/load_task.hpp"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "target_limit_messages.hpp"
#include "teaseldrift/base/milliseconds.hpp"
#include "teaseldrift/http/buffered_client.hpp"
#include "teaseldrift/quarantine/crash_reports.hpp"
#include "teaseldrift/relay/target_speed_messages.hpp"
#include "teaseldrift/relay/unresponsive_vms.hpp"
#include "teaseldrift/schema/vm_record.pb.h"
#include "teaseldrift/targets/peer_load_tracker.hpp"

namespace teaseldrift::relay {

namespace {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;

/// Time after a change of the crash records or of targets' limits for which the short interval is
/// used.
constexpr Duration changeNoticeTime = 1s;

/// Other VMs whose digest is remembered: more than the availability zones of a region.
constexpr size_t maxDigests = 32;

void write(const InFlightLoadTable &inFlight, schema::FleetLoad &load)
{
    for (const std::pair<const uint32_t, InFlightLoad> &target : inFlight) {
        load.add_target_keys(target.first);
        load.add_unread_tokens(target.second.backlogTokens);
        load.add_requests(target.second.requests);
    }
}

InFlightLoadTable read(const schema::FleetLoad &load)
{
    InFlightLoadTable inFlight;
    const int count
            = std::min({load.target_keys_size(), load.unread_tokens_size(), load.requests_size()});
    for (int i = 0; i < count; ++i) {
        inFlight[load.target_keys(i)]
                += {.backlogTokens = load.unread_tokens(i), .requests = load.requests(i)};
    }
    return inFlight;
}

void write(const std::vector<AnnouncedRolloutPlan> &plans, Instant now, schema::FleetLoad &load)
{
    for (const AnnouncedRolloutPlan &announced : plans) {
        schema::WeightsPlan &plan = *load.add_plans();
        plan.set_model(announced.plan.model);
        plan.set_version(announced.plan.version);
        plan.set_fencing(announced.plan.fencing);
        plan.set_number(announced.plan.sequence);
        plan.set_age_ms(static_cast<uint32_t>((now - announced.announcedAt) / 1ms));
        plan.mutable_loading()->Add(announced.plan.loading.begin(), announced.plan.loading.end());
        plan.mutable_waiting()->Add(announced.plan.waiting.begin(), announced.plan.waiting.end());
        plan.mutable_loaded()->Add(announced.plan.loaded.begin(), announced.plan.loaded.end());
        plan.set_together(static_cast<uint32_t>(announced.plan.batchSize));
    }
}

void applyPlans(const schema::FleetLoad &load, FleetState &fleet, Instant now)
{
    for (const schema::WeightsPlan &plan : load.plans()) {
        fleet.applyRolloutPlan({.model = plan.model(),
                                .version = plan.version(),
                                .fencing = plan.fencing(),
                                .sequence = plan.number(),
                                .loading = {plan.loading().begin(), plan.loading().end()},
                                .waiting = {plan.waiting().begin(), plan.waiting().end()},
                                .loaded = {plan.loaded().begin(), plan.loaded().end()},
                                .batchSize = plan.together()},
                               now - plan.age_ms() * 1ms);
    }
}

void writeConfiguration(const FleetState &fleet, Instant now, schema::FleetLoad &load)
{
    if (fleet.table() != nullptr) {
        load.set_configuration_version(fleet.table()->definition().version);
        load.set_configuration_age_ms(
                static_cast<uint64_t>(fleet.configurationFreshness().age(now) / 1ms));
    }
}

void applyConfiguration(const schema::FleetLoad &load, FleetState &fleet, Instant now)
{
    // A greater age has no further effect.
    const uint64_t maxAgeMs
            = 2 * static_cast<uint64_t>(fleet.options().configurationApplyTime / 1ms);
    fleet.configurationFreshness().announced(
            load.configuration_version(),
            now - std::chrono::milliseconds(std::min(load.configuration_age_ms(), maxAgeMs)));
}

void writeDesiredWeights(const FleetState &fleet, Instant now, schema::FleetLoad &load)
{
    for (const std::pair<const std::string, std::vector<DesiredWeights>> &model :
         fleet.observedDesiredWeights()) {
        for (const DesiredWeights &observed : model.second) {
            schema::DesiredWeights &desired = *load.add_desired_weights();
            desired.set_model(model.first);
            desired.set_version(observed.version);
            desired.set_age_ms(static_cast<uint64_t>((now - observed.changedAt) / 1ms));
        }
    }
}

void applyDesiredWeights(const schema::FleetLoad &load, FleetState &fleet, Instant now)
{
    // A greater age has no further effect.
    const uint64_t maxAgeMs
            = 2 * static_cast<uint64_t>(fleet.options().olderWeightsGracePeriod / 1ms);
    for (const schema::DesiredWeights &desired : load.desired_weights()) {
        const Duration age = std::chrono::milliseconds(std::min(desired.age_ms(), maxAgeMs));
        fleet.setDesiredWeights(desired.model(), desired.version(), age, ChangeTimeSource::Observed,
                                now);
    }
}

void write(const std::vector<PrefilledSegment> &prefilledSegments, schema::FleetLoad &load)
{
    for (const PrefilledSegment &segment : prefilledSegments) {
        load.add_read_targets(segment.targetKey);
        load.add_read_parts(segment.event.segmentKey);
        load.add_read_tokens(segment.event.tokens);
    }
}

std::vector<PrefilledSegment> readPrefilledSegments(const schema::FleetLoad &load)
{
    std::vector<PrefilledSegment> prefilledSegments;
    const int count
            = std::min({load.read_targets_size(), load.read_parts_size(), load.read_tokens_size()});
    for (int i = 0; i < count; ++i) {
        prefilledSegments.push_back(
                {.targetKey = load.read_targets(i),
                 .event = {.segmentKey = load.read_parts(i), .tokens = load.read_tokens(i)}});
    }
    return prefilledSegments;
}

bool hasBacklog(const InFlightLoadTable &inFlight)
{
    return std::any_of(inFlight.begin(), inFlight.end(),
                       [](const std::pair<const uint32_t, InFlightLoad> &target) {
                           return target.second.backlogTokens > 0;
                       });
}

} // namespace

struct LoadTask::Impl
{
    using Handler = std::function<void(const schema::FleetLoad &)>;

    http::EventLoop &loop;
    http::BufferedClient calls;
    FleetState &fleet;
    telemetry::EventLog &log;
    telemetry::Metrics &metrics;
    LoadTaskOptions options;
    PeerLoadTracker load;
    PrefilledSegmentLog prefilledSegments;
    UnresponsiveVms unresponsive{options.unresponsiveCooldown};
    /// What another VM last responded with.
    struct Digests
    {
        uint64_t crashes = 0;
        uint64_t targetLimits = 0;
        uint64_t brittleServices = 0;
    };

    std::map<std::string, Digests, std::less<>> digests;
    /// First limit in the next message, if not all fit into one.
    size_t firstLimit = 0;
    bool isBusy = false;
    http::EventLoop::TimerId timer = 0;

    [[nodiscard]] Duration interval() const;
    void tick();
    void applyPrefilledSegments(const schema::FleetLoad &report, bool isFromOwnZone);
    void exchangeWithZones(const InFlightLoadTable &localLoad,
                           const std::vector<AnnouncedRolloutPlan> &plans, Instant now);
    void query(const schema::VmRecord &vm, schema::FleetLoad report, Handler handler);
    void writeRecords(schema::FleetLoad &message, const std::optional<Digests> &known, Instant now);
    void rememberDigests(const std::string &vmId, const schema::FleetLoad &response);
    void mergeRecords(const schema::FleetLoad &message, Instant now);
    [[nodiscard]] const schema::VmRecord *zoneRepresentative(std::string_view availabilityZone,
                                                             Instant now) const;
};

LoadTask::LoadTask(http::EventLoop &loop, http::Client &peers, FleetState &fleet,
                   telemetry::EventLog &log, telemetry::Metrics &metrics, LoadTaskOptions options)
    : m_impl(new Impl{.loop = loop,
                      .calls = http::BufferedClient(loop, peers),
                      .fleet = fleet,
                      .log = log,
                      .metrics = metrics,
                      .options = options})
{ }

LoadTask::~LoadTask()
{
    m_impl->loop.cancelTimer(m_impl->timer);
}

void LoadTask::start()
{
    m_impl->tick();
}

const schema::VmRecord *LoadTask::Impl::zoneRepresentative(std::string_view availabilityZone,
                                                           Instant now) const
{
    return fleet.zoneRepresentative(availabilityZone, [&](const std::string &vmId) {
        return unresponsive.contains(vmId, now);
    });
}

Duration LoadTask::Impl::interval() const
{
    return options.interval + options.intervalPerVm * static_cast<int64_t>(fleet.vmCount());
}

void LoadTask::Impl::tick()
{
    const Instant now = http::EventLoop::now();
    load.expire(now);
    const InFlightLoadTable localLoad = fleet.targetSelector().inFlightLoad();
    const std::vector<AnnouncedRolloutPlan> plans = fleet.rolloutPlans(now);
    isBusy = isBusy || hasBacklog(localLoad) || !plans.empty()
             || fleet.quarantine().hasChangedSince(now - changeNoticeTime)
             || fleet.haveTargetLimitsChangedSince(now - changeNoticeTime);
    if (const schema::VmRecord *vm = zoneRepresentative(fleet.options().availabilityZone, now)) {
        schema::FleetLoad report;
        report.set_vm_id(fleet.options().vmId);
        writeConfiguration(fleet, now, report);
        writeDesiredWeights(fleet, now, report);
        write(localLoad, report);
        write(plans, now, report);
        write(fleet.targetSelector().takePrefilledSegments(), report);
        query(*vm, report, [this](const schema::FleetLoad &response) {
            const InFlightLoadTable peerLoad = read(response);
            fleet.targetSelector().applyPrefilledSegments(readPrefilledSegments(response));
            isBusy = isBusy || hasBacklog(peerLoad);
            fleet.targetSelector().setPeerLoad(peerLoad, http::EventLoop::now());
        });
    } else {
        exchangeWithZones(localLoad, plans, now);
    }
    const Duration pause = isBusy ? interval() : options.idleInterval;
    isBusy = false;
    timer = loop.startTimer(pause, [this] { tick(); });
}

/// @param isFromOwnZone whether a VM of this availability zone sent the report
void LoadTask::Impl::applyPrefilledSegments(const schema::FleetLoad &report, bool isFromOwnZone)
{
    const std::vector<PrefilledSegment> read = readPrefilledSegments(report);
    fleet.targetSelector().applyPrefilledSegments(read);
    for (const PrefilledSegment &segment : read) {
        prefilledSegments.add(segment, isFromOwnZone);
    }
}

void LoadTask::Impl::exchangeWithZones(const InFlightLoadTable &localLoad,
                                       const std::vector<AnnouncedRolloutPlan> &plans, Instant now)
{
    const InFlightLoadTable peerLoad = load.peerTotal(now);
    isBusy = isBusy || hasBacklog(peerLoad);
    fleet.targetSelector().setPeerLoad(peerLoad, now);
    for (const PrefilledSegment &read : fleet.targetSelector().takePrefilledSegments()) {
        prefilledSegments.add(read, true);
    }
    schema::FleetLoad common;
    writeConfiguration(fleet, now, common);
    common.set_availability_zone(fleet.options().availabilityZone);
    writeDesiredWeights(fleet, now, common);
    write(load.zoneTotal(localLoad, now), common);
    write(plans, now, common);
    for (const std::string &zone : fleet.otherZones()) {
        const schema::VmRecord *vm = zoneRepresentative(zone, now);
        // One query updates both sides.
        if (vm == nullptr || load.isZoneUpdatedWithin(zone, interval() / 2, now)) {
            continue;
        }
        schema::FleetLoad report = common;
        write(prefilledSegments.takeForZone(zone), report);
        query(*vm, report, [this, zone](const schema::FleetLoad &response) {
            const Instant receivedAt = http::EventLoop::now();
            load.updateZone(zone, read(response), receivedAt);
            applyPrefilledSegments(response, false);
            fleet.targetSelector().setPeerLoad(load.peerTotal(receivedAt), receivedAt);
        });
    }
}

/// Writes crash records and limits of targets, unless the other VM has the same.
void LoadTask::Impl::writeRecords(schema::FleetLoad &message, const std::optional<Digests> &known,
                                  Instant now)
{
    *message.mutable_crash_reports() = crashReportsFor(
            fleet.quarantine(), known ? std::optional(known->crashes) : std::nullopt, now);
    *message.mutable_target_limits() = targetLimitsFor(
            fleet.targetLimits(), known ? std::optional(known->targetLimits) : std::nullopt,
            firstLimit, now);
    *message.mutable_brittle_services() = targetLimitsFor(
            fleet.brittleServices(), known ? std::optional(known->brittleServices) : std::nullopt,
            firstLimit, now);
    firstLimit += static_cast<size_t>(message.target_limits().limits_size());
    writeTargetSpeeds(fleet.targetSelector(), now, message);
}

void LoadTask::Impl::mergeRecords(const schema::FleetLoad &message, Instant now)
{
    fleet.quarantine().merge(readCrashReports(message.crash_reports(), now), now);
    applyTargetSpeeds(message, now, fleet.targetSelector());
    for (const schema::TargetLimit &limit : message.target_limits().limits()) {
        fleet.applyTargetLimit(limit, now);
    }
    for (const schema::TargetLimit &limit : message.brittle_services().limits()) {
        fleet.applyBrittleService(limit, now);
    }
}

void LoadTask::Impl::rememberDigests(const std::string &vmId, const schema::FleetLoad &response)
{
    if (digests.size() >= maxDigests && !digests.contains(vmId)) {
        digests.clear();
    }
    digests[vmId] = {.crashes = response.crash_reports().digest(),
                     .targetLimits = response.target_limits().digest(),
                     .brittleServices = response.brittle_services().digest()};
}

void LoadTask::Impl::query(const schema::VmRecord &vm, schema::FleetLoad report, Handler handler)
{
    http::Endpoint endpoint;
    if (!http::parseEndpoint(vm.peer_address(), endpoint)) {
        return;
    }
    const auto known = digests.find(vm.vm_id());
    writeRecords(report, known == digests.end() ? std::nullopt : std::optional(known->second),
                 http::EventLoop::now());
    calls.start(endpoint,
                {.method = "POST", .path = std::string(path), .body = report.SerializeAsString()},
                options.responseTimeout + calls.connectDelay(),
                [this, vmId = vm.vm_id(),
                 handler = std::move(handler)](const http::BufferedResponse &response) {
                    schema::FleetLoad load;
                    if (response.status == statusOk && load.ParseFromString(response.body)) {
                        unresponsive.remove(vmId);
                        mergeRecords(load, http::EventLoop::now());
                        rememberDigests(vmId, load);
                        applyDesiredWeights(load, fleet, http::EventLoop::now());
                        applyPlans(load, fleet, http::EventLoop::now());
                        applyConfiguration(load, fleet, http::EventLoop::now());
                        handler(load);
                        return;
                    }
                    unresponsive.add(vmId, http::EventLoop::now());
                    metrics.counter({"teaseldrift_load_unanswered_total"}).add();
                    log.write(telemetry::EventPriority::Routine, "load_gatherer_silent",
                              {{"silent_vm", std::string_view(vmId)},
                               {"status", static_cast<int64_t>(response.status)},
                               {"failure", toString(response.failure)},
                               {"elapsed_ms", toMs(response.elapsed)}});
                });
}

void LoadTask::handle(http::Exchange &exchange)
{
    schema::FleetLoad report;
    if (!report.ParseFromArray(exchange.body().data(), static_cast<int>(exchange.body().size()))) {
        exchange.respond({.status = statusBadRequest});
        return;
    }
    Impl &impl = *m_impl;
    const Instant now = http::EventLoop::now();
    const InFlightLoadTable inFlight = read(report);
    impl.isBusy = impl.isBusy || hasBacklog(inFlight);
    applyDesiredWeights(report, impl.fleet, now);
    applyPlans(report, impl.fleet, now);
    impl.mergeRecords(report, now);
    const InFlightLoadTable localLoad = impl.fleet.targetSelector().inFlightLoad();
    applyConfiguration(report, impl.fleet, now);
    schema::FleetLoad response;
    writeConfiguration(impl.fleet, now, response);
    writeDesiredWeights(impl.fleet, now, response);
    write(impl.fleet.rolloutPlans(now), now, response);
    impl.writeRecords(response,
                      Impl::Digests{.crashes = report.crash_reports().digest(),
                                    .targetLimits = report.target_limits().digest(),
                                    .brittleServices = report.brittle_services().digest()},
                      now);
    if (report.vm_id().empty()) {
        impl.load.updateZone(report.availability_zone(), inFlight, now);
        impl.applyPrefilledSegments(report, false);
        write(impl.prefilledSegments.takeForZone(report.availability_zone()), response);
        response.set_availability_zone(impl.fleet.options().availabilityZone);
        write(impl.load.zoneTotal(localLoad, now), response);
    } else {
        impl.load.updateVm(report.vm_id(), inFlight, now);
        impl.applyPrefilledSegments(report, true);
        write(impl.prefilledSegments.takeForVm(report.vm_id()), response);
        write(impl.load.totalExcludingVm(report.vm_id(), localLoad, now), response);
    }
    exchange.respond({.body = response.SerializeAsString()});
}

} // namespace teaseldrift::relay
