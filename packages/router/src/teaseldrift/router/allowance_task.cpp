#include "teaseldrift/router/allowance_task.hpp"

#include <cmath>
#include <map>

#include <nlohmann/json.hpp>

#include "teaseldrift/fleet/peer_network.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/store/etcd_store.hpp"

namespace teaseldrift::router {

namespace {

using allowance::microTokensPerToken;

/// Time after an organisation becomes known here in which its division may still be unknown.
constexpr Duration settlingTime = 2s;
constexpr Duration settlingRetry = 25ms;
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
    case store::StoreOutcome::NotSent:
        return allowance::RecordWriteOutcome::NotSent;
    default:
        return allowance::RecordWriteOutcome::Unknown;
    }
}

AdmissionAnswer answerOf(const allowance::Decision &decision)
{
    AdmissionAnswer answer{.code = decision.code, .ticket = decision.ticket};
    if (decision.retryAfter > Duration::zero()) {
        answer.retryAfter = decision.retryAfter;
    }
    return answer;
}

} // namespace

struct AllowanceTask::Impl
{
    using Done = std::function<void(const AdmissionAnswer &)>;

    http::EventLoop &loop;
    store::EtcdStore &store;
    fleet::PeerNetwork &peers;
    std::string prefix;
    allowance::Options options;
    allowance::AllowanceManager book;
    /// When each organisation became known.
    std::map<std::string, Instant> organisations;
    /// Callers of pending questions, by organisation and request id.
    std::map<std::pair<std::string, uint64_t>, Done> pending;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    AllowanceTask *task = nullptr;

    Impl(http::EventLoop &eventLoop, store::EtcdStore &etcdStore, fleet::PeerNetwork &peerNetwork,
         allowance::ProcessIdentity self, std::string storePrefix)
        : loop(eventLoop), store(etcdStore), peers(peerNetwork),
          prefix(std::move(storePrefix) + "allowance/"), book(std::move(self), options)
    { }

    void perform();
    void read(const std::string &organisation);
    void write(const allowance::RecordWrite &write);
    void decide(const allowance::PendingDecision &decision);
    [[nodiscard]] bool isSettling(const std::string &organisation) const;
    void admitLater(const AdmissionRequest &request, const Done &done);
    void scheduleTick();
};

void AllowanceTask::Impl::perform()
{
    const allowance::Actions actions = book.takeActions();
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
        decide(decision);
    }
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
        book.onRead(organisation, state, http::EventLoop::now());
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
        book.onWrite(organisation, outcomeOf(result.outcome), http::EventLoop::now());
        perform();
    });
}

void AllowanceTask::Impl::decide(const allowance::PendingDecision &decision)
{
    const auto found = pending.find({decision.organisation, decision.decision.requestId});
    if (found == pending.end()) {
        return;
    }
    const Done done = std::move(found->second);
    pending.erase(found);
    done(answerOf(decision.decision));
}

bool AllowanceTask::Impl::isSettling(const std::string &organisation) const
{
    const auto known = organisations.find(organisation);
    return known != organisations.end() && http::EventLoop::now() - known->second < settlingTime;
}

/// A process that has just started asks its peers and the store how the organisation is divided;
/// its first requests wait for that.
void AllowanceTask::Impl::admitLater(const AdmissionRequest &request, const Done &done)
{
    loop.startTimer(settlingRetry, [this, stillAlive = alive, request, done] {
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
        book.tick(http::EventLoop::now());
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
        impl->book.onMessage(message.sender().vm_id(), message.allowance(), http::EventLoop::now());
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
        const auto known = m_impl->organisations.find(organisation.name());
        configured[organisation.name()]
                = known == m_impl->organisations.end() ? now : known->second;
        m_impl->book.configure(organisation.name(),
                               allowance::limitsFromTokens(organisation.rate_tokens_per_s(),
                                                           organisation.burst_tokens()),
                               now);
    }
    for (auto it = m_impl->organisations.begin(); it != m_impl->organisations.end(); ++it) {
        if (!configured.contains(it->first)) {
            m_impl->book.remove(it->first, now);
        }
    }
    m_impl->organisations = std::move(configured);
    m_impl->perform();
}

void AllowanceTask::setVms(std::span<const homes::VmView> vms, Duration age)
{
    m_impl->book.setVms(vms, http::EventLoop::now(), age);
    m_impl->perform();
}

void AllowanceTask::admit(const AdmissionRequest &request,
                          std::function<void(const AdmissionAnswer &)> done)
{
    Impl *impl = m_impl.get();
    const allowance::Decision decision = impl->book.admit(
            request.organisation, toMicroTokens(request.tokens), http::EventLoop::now());
    Impl::Done answered = [impl, request, done = std::move(done)](const AdmissionAnswer &answer) {
        if (answer.code != schema::ALLOWANCE_UNCONFIRMED
            || !impl->isSettling(request.organisation)) {
            done(answer);
            return;
        }
        impl->admitLater(request, done);
    };
    if (decision.verdict == allowance::Verdict::Pending) {
        impl->pending[{request.organisation, decision.requestId}] = std::move(answered);
        impl->perform();
        return;
    }
    impl->perform();
    answered(answerOf(decision));
}

void AllowanceTask::giveBack(const std::string &organisation, const allowance::Ticket &ticket,
                             double tokens)
{
    m_impl->book.refund(organisation, ticket,
                        static_cast<MicroTokens>(tokens * microTokensPerToken),
                        http::EventLoop::now());
    m_impl->perform();
}

void AllowanceTask::drain()
{
    m_impl->book.drain(http::EventLoop::now());
    m_impl->perform();
}

std::string AllowanceTask::statusJson() const
{
    const Instant now = http::EventLoop::now();
    nlohmann::json list = nlohmann::json::array();
    for (auto it = m_impl->organisations.begin(); it != m_impl->organisations.end(); ++it) {
        const std::string &organisation = it->first;
        const double share
                = static_cast<double>(m_impl->book.share(organisation)) / allowance::wholeShare;
        list.push_back({{"name", organisation},
                        {"share", share},
                        {"level_tokens", static_cast<double>(m_impl->book.level(organisation, now))
                                                 / microTokensPerToken},
                        {"homes", m_impl->book.members(organisation)}});
    }
    return list.dump();
}

} // namespace teaseldrift::router
