#include "teaseldrift/router/quarantine_task.hpp"

#include <algorithm>
#include <random>

#include "teaseldrift/base/rendezvous.hpp"
#include "teaseldrift/fleet/peer_network.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/quarantine/crash_reports.hpp"
#include "teaseldrift/telemetry/log.hpp"

namespace teaseldrift::router {

struct QuarantineTask::Impl
{
    http::EventLoop &loop;
    fleet::PeerNetwork &peers;
    QuarantineTaskOptions options;
    std::mt19937_64 generator;
    SegmentQuarantine quarantine;
    std::vector<std::string> vms;
    http::EventLoop::TimerId timer = 0;

    void tick();
    void sendTo(const std::string &vmId, std::optional<uint64_t> otherDigest, bool isReply);
    void onReports(const std::string &sender, const schema::CrashReports &reports);
    void logChanges(Instant now);
};

QuarantineTask::QuarantineTask(http::EventLoop &loop, fleet::PeerNetwork &peers,
                               QuarantineTaskOptions options)
    : m_impl(new Impl{.loop = loop,
                      .peers = peers,
                      .options = options,
                      .generator = std::mt19937_64(options.seed)})
{
    peers.handle(schema::PeerMessage::kCrashReports,
                 [impl = m_impl.get()](const schema::PeerMessage &message) {
                     impl->onReports(message.sender().vm_id(), message.crash_reports());
                 });
}

QuarantineTask::~QuarantineTask()
{
    m_impl->loop.cancelTimer(m_impl->timer);
}

void QuarantineTask::start()
{
    m_impl->tick();
}

void QuarantineTask::setVms(std::vector<std::string> vmIds)
{
    m_impl->vms = std::move(vmIds);
}

SegmentQuarantine &QuarantineTask::quarantine()
{
    return m_impl->quarantine;
}

bool QuarantineTask::tryStartTrial(const QuarantinedSegments &quarantined)
{
    const Instant now = http::EventLoop::now();
    if (!m_impl->quarantine.isTrialDue(quarantined, now)) {
        return false;
    }
    const uint64_t key = rendezvousKey(segmentIds(quarantined.segments));
    const double localScore = rendezvousScore(key, m_impl->options.vmId);
    const bool isFirst
            = std::none_of(m_impl->vms.begin(), m_impl->vms.end(), [&](const std::string &vm) {
                  return rendezvousScore(key, vm) > localScore;
              });
    if (isFirst) {
        m_impl->quarantine.startTrial(quarantined, now);
    }
    return isFirst;
}

void QuarantineTask::Impl::tick()
{
    const Instant now = http::EventLoop::now();
    logChanges(now);
    std::vector<std::string> others;
    std::copy_if(vms.begin(), vms.end(), std::back_inserter(others),
                 [this](const std::string &vm) { return vm != options.vmId; });
    if (!others.empty()) {
        // The receiver compares digests; records follow only if these differ.
        sendTo(others[generator() % others.size()], quarantine.digest(), false);
    }
    const bool isNew = quarantine.hasChangedSince(now - options.noticeTime);
    timer = loop.startTimer(isNew ? options.interval : options.idleInterval, [this] { tick(); });
}

void QuarantineTask::Impl::sendTo(const std::string &vmId, std::optional<uint64_t> otherDigest,
                                  bool isReply)
{
    schema::PeerMessage message;
    *message.mutable_crash_reports()
            = crashReportsFor(quarantine, otherDigest, http::EventLoop::now());
    message.mutable_crash_reports()->set_is_reply(isReply);
    peers.send(vmId, std::move(message));
}

void QuarantineTask::Impl::onReports(const std::string &sender, const schema::CrashReports &reports)
{
    const Instant now = http::EventLoop::now();
    quarantine.merge(readCrashReports(reports, now), now);
    const bool hasRecords = reports.crashes_size() > 0;
    // A reply with records is answered with records once, so that both sides have all of them.
    if (reports.digest() != quarantine.digest() && !(reports.is_reply() && hasRecords)) {
        sendTo(sender, reports.digest(), !reports.is_reply());
    }
}

void QuarantineTask::Impl::logChanges(Instant now)
{
    for (const QuarantineChange &change : quarantine.takeChanges(now)) {
        std::string targets;
        for (const std::string &target : change.segments.targets) {
            targets += (targets.empty() ? "" : ",") + target;
        }
        telemetry::log(telemetry::LogLevel::Warn,
                       change.isQuarantined ? "prompt parts quarantined" : "prompt parts released",
                       {{"model", change.segments.model},
                        {"segments", segmentIds(change.segments.segments)},
                        {"crashes", std::to_string(change.segments.crashes)},
                        {"targets", targets}});
    }
}

} // namespace teaseldrift::router
