#include "teaseldrift/relay/load_task.hpp"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "teaseldrift/http/whole_calls.hpp"
#include "teaseldrift/relay/unresponsive_vms.hpp"
#include "teaseldrift/schema/vm_record.pb.h"
#include "teaseldrift/targets/peer_load_tracker.hpp"

namespace teaseldrift::relay {

namespace {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;

void write(const InFlightLoadTable &work, schema::FleetLoad &load)
{
    for (const std::pair<const uint32_t, InFlightLoad> &target : work) {
        load.add_target_keys(target.first);
        load.add_unread_tokens(target.second.backlogTokens);
        load.add_requests(target.second.requests);
    }
}

InFlightLoadTable read(const schema::FleetLoad &load)
{
    InFlightLoadTable work;
    const int count
            = std::min({load.target_keys_size(), load.unread_tokens_size(), load.requests_size()});
    for (int i = 0; i < count; ++i) {
        work[load.target_keys(i)]
                += {.backlogTokens = load.unread_tokens(i), .requests = load.requests(i)};
    }
    return work;
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

void takePlans(const schema::FleetLoad &load, FleetState &fleet, Instant now)
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

void write(const std::vector<PrefilledSegment> &news, schema::FleetLoad &load)
{
    for (const PrefilledSegment &one : news) {
        load.add_read_targets(one.targetKey);
        load.add_read_parts(one.event.segmentKey);
        load.add_read_tokens(one.event.tokens);
    }
}

std::vector<PrefilledSegment> readNews(const schema::FleetLoad &load)
{
    std::vector<PrefilledSegment> news;
    const int count
            = std::min({load.read_targets_size(), load.read_parts_size(), load.read_tokens_size()});
    for (int i = 0; i < count; ++i) {
        news.push_back(
                {.targetKey = load.read_targets(i),
                 .event = {.segmentKey = load.read_parts(i), .tokens = load.read_tokens(i)}});
    }
    return news;
}

bool hasUnread(const InFlightLoadTable &work)
{
    return std::any_of(work.begin(), work.end(),
                       [](const std::pair<const uint32_t, InFlightLoad> &w) {
                           return w.second.backlogTokens > 0;
                       });
}

} // namespace

struct LoadTask::Impl
{
    using Handler = std::function<void(const schema::FleetLoad &)>;

    http::EventLoop &loop;
    http::WholeCalls calls;
    FleetState &fleet;
    telemetry::EventLog &log;
    telemetry::Metrics &metrics;
    LoadTaskOptions options;
    PeerLoadTracker load;
    PrefilledSegmentLog news;
    UnresponsiveVms unresponsive{options.unresponsiveCooldown};
    bool isBusy = false;
    http::EventLoop::TimerId timer = 0;

    [[nodiscard]] Duration interval() const;
    void tick();
    void takeNews(const schema::FleetLoad &told, bool isFromOwnZone);
    void tellZones(const InFlightLoadTable &own, const std::vector<AnnouncedRolloutPlan> &plans,
                   Instant now);
    void ask(const schema::VmRecord &vm, const schema::FleetLoad &told, Handler handler);
    [[nodiscard]] const schema::VmRecord *zoneRepresentative(std::string_view availabilityZone,
                                                             Instant now) const;
};

LoadTask::LoadTask(http::EventLoop &loop, http::Client &peers, FleetState &fleet,
                   telemetry::EventLog &log, telemetry::Metrics &metrics, LoadTaskOptions options)
    : m_impl(new Impl{.loop = loop,
                      .calls = http::WholeCalls(loop, peers),
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
    const InFlightLoadTable own = fleet.targetSelector().inFlightLoad();
    const std::vector<AnnouncedRolloutPlan> plans = fleet.rolloutPlans(now);
    isBusy = isBusy || hasUnread(own) || !plans.empty();
    if (const schema::VmRecord *vm = zoneRepresentative(fleet.options().availabilityZone, now)) {
        schema::FleetLoad told;
        told.set_vm_id(fleet.options().vmId);
        write(own, told);
        write(plans, now, told);
        write(fleet.targetSelector().takePrefilledSegments(), told);
        ask(*vm, told, [this](const schema::FleetLoad &answer) {
            const InFlightLoadTable others = read(answer);
            fleet.targetSelector().applyPrefilledSegments(readNews(answer));
            isBusy = isBusy || hasUnread(others);
            fleet.targetSelector().setPeerLoad(others, http::EventLoop::now());
        });
    } else {
        tellZones(own, plans, now);
    }
    const Duration pause = isBusy ? interval() : options.idleInterval;
    isBusy = false;
    timer = loop.startTimer(pause, [this] { tick(); });
}

/// @param isFromOwnZone whether a VM of this availability zone told it
void LoadTask::Impl::takeNews(const schema::FleetLoad &told, bool isFromOwnZone)
{
    const std::vector<PrefilledSegment> read = readNews(told);
    fleet.targetSelector().applyPrefilledSegments(read);
    for (const PrefilledSegment &one : read) {
        news.add(one, isFromOwnZone);
    }
}

void LoadTask::Impl::tellZones(const InFlightLoadTable &own,
                               const std::vector<AnnouncedRolloutPlan> &plans, Instant now)
{
    const InFlightLoadTable others = load.peerTotal(now);
    isBusy = isBusy || hasUnread(others);
    fleet.targetSelector().setPeerLoad(others, now);
    for (const PrefilledSegment &read : fleet.targetSelector().takePrefilledSegments()) {
        news.add(read, true);
    }
    schema::FleetLoad common;
    common.set_availability_zone(fleet.options().availabilityZone);
    write(load.zoneTotal(own, now), common);
    write(plans, now, common);
    for (const std::string &zone : fleet.otherZones()) {
        const schema::VmRecord *vm = zoneRepresentative(zone, now);
        // Both sides learn from one question.
        if (vm == nullptr || load.isZoneUpdatedWithin(zone, interval() / 2, now)) {
            continue;
        }
        schema::FleetLoad told = common;
        write(news.takeForZone(zone), told);
        ask(*vm, told, [this, zone](const schema::FleetLoad &answer) {
            const Instant answeredAt = http::EventLoop::now();
            load.updateZone(zone, read(answer), answeredAt);
            takeNews(answer, false);
            fleet.targetSelector().setPeerLoad(load.peerTotal(answeredAt), answeredAt);
        });
    }
}

void LoadTask::Impl::ask(const schema::VmRecord &vm, const schema::FleetLoad &told, Handler handler)
{
    http::Endpoint endpoint;
    if (!http::parseEndpoint(vm.peer_address(), endpoint)) {
        return;
    }
    calls.start(endpoint,
                {.method = "POST", .path = std::string(path), .body = told.SerializeAsString()},
                options.answerTimeout,
                [this, vmId = vm.vm_id(),
                 handler = std::move(handler)](const http::WholeAnswer &answer) {
                    schema::FleetLoad load;
                    if (answer.status == statusOk && load.ParseFromString(answer.body)) {
                        unresponsive.remove(vmId);
                        takePlans(load, fleet, http::EventLoop::now());
                        handler(load);
                        return;
                    }
                    unresponsive.add(vmId, http::EventLoop::now());
                    metrics.counter({"teaseldrift_load_unanswered_total"}).add();
                    log.write(telemetry::EventWeight::Routine, "load_gatherer_silent",
                              {{"silent_vm", std::string_view(vmId)},
                               {"status", static_cast<int64_t>(answer.status)}});
                });
}

void LoadTask::answer(http::Exchange &exchange)
{
    schema::FleetLoad told;
    if (!told.ParseFromArray(exchange.body().data(), static_cast<int>(exchange.body().size()))) {
        exchange.respond({.status = statusBadRequest});
        return;
    }
    Impl &impl = *m_impl;
    const Instant now = http::EventLoop::now();
    const InFlightLoadTable work = read(told);
    impl.isBusy = impl.isBusy || hasUnread(work);
    takePlans(told, impl.fleet, now);
    const InFlightLoadTable own = impl.fleet.targetSelector().inFlightLoad();
    schema::FleetLoad answer;
    write(impl.fleet.rolloutPlans(now), now, answer);
    if (told.vm_id().empty()) {
        impl.load.updateZone(told.availability_zone(), work, now);
        impl.takeNews(told, false);
        write(impl.news.takeForZone(told.availability_zone()), answer);
        answer.set_availability_zone(impl.fleet.options().availabilityZone);
        write(impl.load.zoneTotal(own, now), answer);
    } else {
        impl.load.updateVm(told.vm_id(), work, now);
        impl.takeNews(told, true);
        write(impl.news.takeForVm(told.vm_id()), answer);
        write(impl.load.totalExcludingVm(told.vm_id(), own, now), answer);
    }
    exchange.respond({.body = answer.SerializeAsString()});
}

} // namespace teaseldrift::relay
