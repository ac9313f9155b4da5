#include "teaseldrift/router/claim_task.hpp"

#include <map>

#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/idempotency/claim_table.hpp"
#include "wall_clock.hpp"

namespace teaseldrift::router {

namespace {

constexpr Duration expiryInterval = 100ms;
/// Time to live of the leases of claim records. All records of an hour share one lease, which is
/// never kept alive.
constexpr Duration leaseTtl = std::chrono::hours(24);
constexpr Duration leaseInterval = std::chrono::hours(1);
constexpr Duration leaseRetryDelay = 5s;

ClaimWriteOutcome outcomeOf(store::StoreOutcome outcome)
{
    switch (outcome) {
    case store::StoreOutcome::Written:
        return ClaimWriteOutcome::Written;
    case store::StoreOutcome::Conflict:
        return ClaimWriteOutcome::Conflict;
    case store::StoreOutcome::NotApplied:
        return ClaimWriteOutcome::NotSent;
    default:
        return ClaimWriteOutcome::Unknown;
    }
}

ClaimReadResult toReadResult(std::error_code error, const store::StoreSnapshot &snapshot,
                             const std::string &key)
{
    ClaimReadResult result{.isAnswered = !error};
    for (const store::StoreEntry &entry : snapshot.entries) {
        schema::ClaimRecord record;
        if (entry.key == key && record.ParseFromString(entry.value)) {
            result.record = std::move(record);
            result.revision = entry.revision;
        }
    }
    return result;
}

} // namespace

struct ClaimTask::Impl
{
    http::EventLoop &loop;
    store::EtcdStore &store;
    std::string prefix;
    ClaimTable table;
    std::map<std::string, std::function<void(const ClaimResult &)>> callbacks;
    /// Lease that new records are attached to; 0 until the store has granted the first one.
    uint64_t lease = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    Impl(http::EventLoop &eventLoop, store::EtcdStore &etcdStore, std::string storePrefix)
        : loop(eventLoop), store(etcdStore), prefix(std::move(storePrefix))
    { }

    void perform(const std::string &claimId, const ClaimStep &step);
    void write(const std::string &claimId, store::StoreWrite write);
    void read(const std::string &claimId, const std::string &key);
    void invokeCallback(const std::string &claimId, const ClaimResult &result);
    void scheduleExpiry();
    void replaceLease();
};

void ClaimTask::Impl::perform(const std::string &claimId, const ClaimStep &step)
{
    if (step.decision.has_value()) {
        invokeCallback(claimId, {.decision = *step.decision,
                                 .code = step.code,
                                 .response = step.answer,
                                 .sendDeadline = step.sendDeadline});
    }
    if (step.read.has_value()) {
        read(claimId, prefix + step.read->key);
    }
    if (step.write.has_value()) {
        write(claimId, {.key = prefix + step.write->key,
                        .value = step.write->record.SerializeAsString(),
                        .expectedRevision = step.write->expectedRevision,
                        .lease = lease});
    }
    if (step.erase.has_value()) {
        write(claimId, {.key = prefix + step.erase->key,
                        .isDelete = true,
                        .expectedRevision = step.erase->expectedRevision});
    }
}

void ClaimTask::Impl::write(const std::string &claimId, store::StoreWrite write)
{
    store.write({&write, 1}, [this, stillAlive = alive, claimId](store::StoreWriteResult result) {
        if (*stillAlive) {
            perform(claimId, table.writeDone(claimId, outcomeOf(result.outcome), result.revision,
                                             http::EventLoop::now()));
        }
    });
}

void ClaimTask::Impl::read(const std::string &claimId, const std::string &key)
{
    store.readPrefix(key, [this, stillAlive = alive, claimId,
                           key](std::error_code error, const store::StoreSnapshot &snapshot) {
        if (*stillAlive) {
            perform(claimId, table.readDone(claimId, toReadResult(error, snapshot, key),
                                            http::EventLoop::now(), nowUnixMs()));
        }
    });
}

void ClaimTask::Impl::invokeCallback(const std::string &claimId, const ClaimResult &result)
{
    const auto found = callbacks.find(claimId);
    if (found == callbacks.end()) {
        return;
    }
    const std::function<void(const ClaimResult &)> done = std::move(found->second);
    callbacks.erase(found);
    done(result);
}

void ClaimTask::Impl::scheduleExpiry()
{
    loop.startTimer(expiryInterval, [this, stillAlive = alive] {
        if (!*stillAlive) {
            return;
        }
        for (const std::string &claimId : table.expire(http::EventLoop::now())) {
            invokeCallback(claimId, {.decision = ClaimDecision::Refused,
                                     .code = schema::IDEMPOTENCY_CLAIM_FAILED});
        }
        scheduleExpiry();
    });
}

void ClaimTask::Impl::replaceLease()
{
    store.grantLease(leaseTtl, [this, stillAlive = alive](std::error_code error, uint64_t granted) {
        if (!*stillAlive) {
            return;
        }
        lease = error ? lease : granted;
        loop.startTimer(error ? leaseRetryDelay : leaseInterval, [this, stillAlive] {
            if (*stillAlive) {
                replaceLease();
            }
        });
    });
}

ClaimTask::ClaimTask(http::EventLoop &loop, store::EtcdStore &store, std::string storePrefix)
    : m_impl(std::make_unique<Impl>(loop, store, std::move(storePrefix)))
{
    m_impl->scheduleExpiry();
    m_impl->replaceLease();
}

ClaimTask::~ClaimTask()
{
    *m_impl->alive = false;
}

void ClaimTask::claim(const ClaimRequest &request, std::function<void(const ClaimResult &)> done)
{
    m_impl->callbacks[request.claimId] = std::move(done);
    m_impl->perform(request.claimId, m_impl->table.begin(request, http::EventLoop::now()));
}

void ClaimTask::complete(const std::string &claimId, ClaimOutcome outcome,
                         const schema::KeptAnswer &response)
{
    m_impl->perform(claimId,
                    m_impl->table.complete(claimId, outcome, response, http::EventLoop::now()));
}

} // namespace teaseldrift::router
