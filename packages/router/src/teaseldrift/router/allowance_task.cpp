#include "teaseldrift/router/allowance_task.hpp"

#include <cmath>
#include <map>

#include <nlohmann/json.hpp>

#include "teaseldrift/fleet/peer_network.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/store/etcd_store.hpp"
#include "teaseldrift/telemetry/log.hpp"

namespace teaseldrift::router {

namespace {

using allowance::microTokensPerToken;

/// Time after an organisation is first configured in which its division record may not be loaded
/// yet.
constexpr Duration divisionLoadTimeout = 2s;
constexpr Duration divisionRetryInterval = 25ms;
/// At most one line about refused messages in this time.
constexpr Duration refusalLogInterval = 1s;
using allowance::MicroTokens;

MicroTokens toMicroTokens(double tokens)
{
    return static_cast<MicroTokens>(std::ceil(tokens * microTokensPerToken));
}

allowance::RecordWriteOutcome outcomeOf(store::StoreOutcome outcome)
{
    switch (outcome) {
    case store::StoreOutcome::Written:
        return allowance::RecordWriteOutcome::Written;
    case store::StoreOutcome::Conflict:
        return allowance::RecordWriteOutcome::Conflict;
    case store::StoreOutcome::NotApplied:
        return allowance::RecordWriteOutcome::NotSent;
    default:
        return allowance::RecordWriteOutcome::Unknown;
    }
}

AdmissionDecision toAdmissionDecision(const allowance::Decision &decision)
{
    AdmissionDecision admission{.code = decision.code, .ticket = decision.ticket};
    if (decision.retryAfter > Duration::zero()) {
        admission.retryAfter = decision.retryAfter;
    }
    return admission;
}

} // namespace

struct AllowanceTask::Impl
{
    using Done = std::function<void(const AdmissionDecision &)>;

    http::EventLoop &loop;
    store::EtcdStore &store;
    fleet::PeerNetwork &peers;
    std::string prefix;
    allowance::Options options;
    allowance::AllowanceManager manager;
    /// When each organisation was first configured.
    std::map<std::string, Instant> configuredSince;
    /// Callbacks of pending admissions, by organisation and request id.
    std::map<std::pair<std::string, uint64_t>, Done> pending;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    AllowanceTask *task = nullptr;
    Instant refusalLoggedAt{};

    Impl(http::EventLoop &eventLoop, store::EtcdStore &etcdStore, fleet::PeerNetwork &peerNetwork,
         allowance::ProcessIdentity self, std::string storePrefix)
        : loop(eventLoop), store(etcdStore), peers(peerNetwork),
          prefix(std::move(storePrefix) + "allowance/"), manager(std::move(self), options)
    { }

    void perform();
    void logRefusal(const allowance::RefusedMessage &refused);
    void read(const std::string &organisation);
    void write(const allowance::RecordWrite &write);
    void completePending(const allowance::PendingDecision &decision);
    [[nodiscard]] bool isDivisionLoading(const std::string &organisation) const;
    void retryAdmission(const AdmissionRequest &request, const Done &done);
    void scheduleTick();
};

void AllowanceTask::Impl::perform()
{
    const allowance::Actions actions = manager.takeActions();
    if (!actions.refused.empty()) {
        logRefusal(actions.refused.front());
    }
    for (const allowance::OutgoingMessage &outgoing : actions.messages) {
        schema::PeerMessage message;
        *message.mutable_allowance() = outgoing.message;
        peers.send(outgoing.vm, std::move(message));
    }
    for (const allowance::RecordRead &wanted : actions.reads) {
        read(wanted.organisation);
    }
    for (const allowance::RecordWrite &wanted : actions.writes) {
        write(wanted);
    }
    for (const allowance::PendingDecision &decision : actions.decisions) {
        completePending(decision);
    }
}

void AllowanceTask::Impl::logRefusal(const allowance::RefusedMessage &refused)
{
    const Instant now = http::EventLoop::now();
    if (now < refusalLoggedAt + refusalLogInterval) {
        return;
    }
    refusalLoggedAt = now;
    telemetry::log(telemetry::LogLevel::Warn, "allowance message refused",
                   {{"organisation", refused.organisation},
                    {"vm", refused.vm},
                    {"reason", std::string(refused.reason)},
                    {"total", std::to_string(manager.refusedMessages())}});
}

void AllowanceTask::Impl::read(const std::string &organisation)
{
    const std::string key = prefix + organisation;
    store.readPrefix(key, [this, stillAlive = alive, organisation,
                           key](std::error_code error, const store::StoreSnapshot &snapshot) {
        if (!*stillAlive) {
            return;
        }
        allowance::RecordReadResult state{.failed = static_cast<bool>(error)};
        for (const store::StoreEntry &entry : snapshot.entries) {
            schema::DivisionRecord record;
            if (entry.key == key && record.ParseFromString(entry.value)) {
                state.record = std::move(record);
                state.revision = entry.revision;
            }
        }
        manager.onRead(organisation, state, http::EventLoop::now());
        perform();
    });
}

void AllowanceTask::Impl::write(const allowance::RecordWrite &wanted)
{
    const store::StoreWrite write{
            .key = prefix + wanted.organisation,
            .value = wanted.record.SerializeAsString(),
            .expectedRevision = wanted.expectedRevision,
    };
    store.write({&write, 1}, [this, stillAlive = alive,
                              organisation = wanted.organisation](store::StoreWriteResult result) {
        if (!*stillAlive) {
            return;
        }
        manager.onWrite(organisation, outcomeOf(result.outcome), http::EventLoop::now());
        perform();
    });
}

void AllowanceTask::Impl::completePending(const allowance::PendingDecision &decision)
{
    const auto found = pending.find({decision.organisation, decision.decision.requestId});
    if (found == pending.end()) {
        return;
    }
    const Done done = std::move(found->second);
    pending.erase(found);
    done(toAdmissionDecision(decision.decision));
}

bool AllowanceTask::Impl::isDivisionLoading(const std::string &organisation) const
{
    const auto known = configuredSince.find(organisation);
    return known != configuredSince.end()
           && http::EventLoop::now() - known->second < divisionLoadTimeout;
}

/// Retries an admission that cannot be decided yet: after a start, the division of an organisation
/// is first queried from peers and store.
void AllowanceTask::Impl::retryAdmission(const AdmissionRequest &request, const Done &done)
{
    loop.startTimer(divisionRetryInterval, [this, stillAlive = alive, request, done] {
        if (*stillAlive) {
            task->admit(request, done);
        }
    });
}

void AllowanceTask::Impl::scheduleTick()
{
    loop.startTimer(options.tickInterval, [this, stillAlive = alive] {
        if (!*stillAlive) {
            return;
        }
        manager.tick(http::EventLoop::now());
        perform();
        scheduleTick();
    });
}

AllowanceTask::AllowanceTask(http::EventLoop &loop, store::EtcdStore &store,
                             fleet::PeerNetwork &peers, allowance::ProcessIdentity self,
                             std::string storePrefix)
    : m_impl(std::make_unique<Impl>(loop, store, peers, std::move(self), std::move(storePrefix)))
{
    m_impl->task = this;
    m_impl->scheduleTick();
    Impl *impl = m_impl.get();
    peers.handle(schema::PeerMessage::kAllowance, [impl](const schema::PeerMessage &message) {
        impl->manager.onMessage(message.sender().vm_id(), message.allowance(),
                                http::EventLoop::now());
        impl->perform();
    });
}

AllowanceTask::~AllowanceTask()
{
    *m_impl->alive = false;
}

void AllowanceTask::configure(const schema::Configuration &configuration)
{
    const Instant now = http::EventLoop::now();
    std::map<std::string, Instant> configured;
    for (const schema::Organisation &organisation : configuration.organisations()) {
        const auto known = m_impl->configuredSince.find(organisation.name());
        configured[organisation.name()]
                = known == m_impl->configuredSince.end() ? now : known->second;
        m_impl->manager.configure(organisation.name(),
                                  allowance::limitsFromTokens(organisation.rate_tokens_per_s(),
                                                              organisation.burst_tokens()),
                                  now);
    }
    for (auto it = m_impl->configuredSince.begin(); it != m_impl->configuredSince.end(); ++it) {
        if (!configured.contains(it->first)) {
            m_impl->manager.remove(it->first, now);
        }
    }
    m_impl->configuredSince = std::move(configured);
    m_impl->perform();
}

void AllowanceTask::setLimit(const std::string &name, const allowance::Limits &limits)
{
    m_impl->manager.configure(name, limits, http::EventLoop::now());
    m_impl->perform();
}

void AllowanceTask::removeLimit(const std::string &name)
{
    m_impl->manager.remove(name, http::EventLoop::now());
    m_impl->perform();
}

void AllowanceTask::setVms(std::span<const homes::VmView> vms, Duration age)
{
    m_impl->manager.setVms(vms, http::EventLoop::now(), age);
    m_impl->perform();
}

void AllowanceTask::admit(const AdmissionRequest &request,
                          std::function<void(const AdmissionDecision &)> done)
{
    Impl *impl = m_impl.get();
    const allowance::Decision decision = impl->manager.admit(
            request.organisation, toMicroTokens(request.tokens), http::EventLoop::now());
    Impl::Done onDecision
            = [impl, request, done = std::move(done)](const AdmissionDecision &admission) {
                  if (admission.code != schema::ALLOWANCE_UNCONFIRMED
                      || !impl->isDivisionLoading(request.organisation)) {
                      done(admission);
                      return;
                  }
                  impl->retryAdmission(request, done);
              };
    if (decision.verdict == allowance::Verdict::Pending) {
        impl->pending[{request.organisation, decision.requestId}] = std::move(onDecision);
        impl->perform();
        return;
    }
    impl->perform();
    onDecision(toAdmissionDecision(decision));
}

void AllowanceTask::refund(const std::string &organisation, const allowance::Ticket &ticket,
                           double tokens)
{
    m_impl->manager.refund(organisation, ticket,
                           static_cast<MicroTokens>(tokens * microTokensPerToken),
                           http::EventLoop::now());
    m_impl->perform();
}

void AllowanceTask::drain()
{
    m_impl->manager.drain(http::EventLoop::now());
    m_impl->perform();
}

uint64_t AllowanceTask::refusedMessages() const
{
    return m_impl->manager.refusedMessages();
}

std::string AllowanceTask::statusJson() const
{
    const Instant now = http::EventLoop::now();
    nlohmann::json list = nlohmann::json::array();
    for (auto it = m_impl->configuredSince.begin(); it != m_impl->configuredSince.end(); ++it) {
        const std::string &organisation = it->first;
        const double share
                = static_cast<double>(m_impl->manager.share(organisation)) / allowance::wholeShare;
        list.push_back(
                {{"name", organisation},
                 {"share", share},
                 {"level_tokens", static_cast<double>(m_impl->manager.level(organisation, now))
                                          / microTokensPerToken},
                 {"homes", m_impl->manager.members(organisation)}});
    }
    return list.dump();
}

} // namespace teaseldrift::router
